#include "standinrelay.h"

#include <chervilpaddle/base/inidocument.h>
#include <chervilpaddle/base/units.h>

#include <array>
#include <boost/asio/write.hpp>
#include <cstdlib>

namespace chervilpaddle::standins {

namespace {
namespace asio = boost::asio;
using asio::ip::tcp;
constexpr std::size_t bufferBytes = 64 * kibibyte;

tcp::endpoint tcpEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.host), endpoint.port};
}
} // namespace

//! A client connection and the connection to the target.
class StandinRelay::Pipe : public std::enable_shared_from_this<StandinRelay::Pipe>
{
public:
    Pipe(tcp::socket client, asio::io_context &context, long responseBytes)
        : m_client(std::move(client))
        , m_target(context)
        , m_responseBytesLeft(responseBytes)
    {
    }

    void start(const tcp::endpoint &target)
    {
        m_target.async_connect(target, [self = shared_from_this()](const boost::system::error_code &error) {
            if (error) {
                self->close();
                return;
            }
            boost::system::error_code ignored;
            self->m_target.set_option(tcp::no_delay(true), ignored);
            self->m_client.set_option(tcp::no_delay(true), ignored);
            self->receive(self->m_client, self->m_target, self->m_requestBuffer, false);
            self->receive(self->m_target, self->m_client, self->m_responseBuffer, true);
        });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_client.close(ignored);
        m_target.close(ignored);
    }

    //! From now on reads and discards all data, like a middlebox that has lost its connection state.
    void dropTraffic()
    {
        m_dropsTraffic = true;
    }

private:
    using Buffer = std::array<char, bufferBytes>;

    void receive(tcp::socket &from, tcp::socket &to, Buffer &buffer, bool isResponse)
    {
        from.async_read_some(
            asio::buffer(buffer),
            [self = shared_from_this(), &from, &to, &buffer, isResponse](const boost::system::error_code &error, std::size_t bytes) {
                if (error) {
                    if (!self->m_dropsTraffic) {
                        self->close();
                    }
                    return;
                }
                self->forward(from, to, buffer, bytes, isResponse);
            });
    }

    void forward(tcp::socket &from, tcp::socket &to, Buffer &buffer, std::size_t bytes, bool isResponse)
    {
        if (m_dropsTraffic) {
            receive(from, to, buffer, isResponse);
            return;
        }
        bool isLast = false;
        if (isResponse && m_responseBytesLeft >= 0) {
            isLast = static_cast<long>(bytes) >= m_responseBytesLeft;
            bytes = std::min(bytes, static_cast<std::size_t>(m_responseBytesLeft));
            m_responseBytesLeft -= static_cast<long>(bytes);
        }
        asio::async_write(to,
                          asio::buffer(buffer, bytes),
                          [self = shared_from_this(), &from, &to, &buffer, isResponse, isLast](const boost::system::error_code &error,
                                                                                               std::size_t /*bytes*/) {
                              if (error || isLast) {
                                  self->close();
                                  return;
                              }
                              self->receive(from, to, buffer, isResponse);
                          });
    }

    tcp::socket m_client;
    tcp::socket m_target;
    Buffer m_requestBuffer{};
    Buffer m_responseBuffer{};
    bool m_dropsTraffic = false;
    long m_responseBytesLeft;
};

StandinRelay::StandinRelay(boost::asio::io_context &context, Options options)
    : m_context(context)
    , m_options(std::move(options))
    , m_acceptor(context)
    , m_control({&context}, {m_options.control, 64 * kibibyte}, [this](auto exchange) { handleControl(exchange); })
{
}

std::error_code StandinRelay::listen()
{
    boost::system::error_code error;
    const tcp::endpoint address = tcpEndpoint(m_options.address);
    m_acceptor.open(address.protocol(), error);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(address, error);
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return ResultCode::AddressInUse;
    }
    accept();
    return m_control.listen();
}

void StandinRelay::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (!error && !m_refusing) {
            auto pipe = std::make_shared<Pipe>(std::move(socket), m_context, m_responseByteLimit);
            m_pipes.push_back(pipe);
            pipe->start(tcpEndpoint(m_options.target));
        }
        accept();
    });
}

void StandinRelay::handleControl(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string action = exchange->request().target;
    const std::string body = trimmed(exchange->takeBody());
    const auto pipes = openPipes();
    if (action == "/cut") {
        for (const auto &pipe : pipes) {
            pipe->close();
        }
    } else if (action == "/silence") {
        silence();
    } else if (action == "/refuse") {
        m_refusing = body == "yes";
    } else if (action == "/answer-bytes") {
        m_responseByteLimit = std::strtol(body.c_str(), nullptr, 10);
    }
    HttpResponse response;
    response.body = std::to_string(pipes.size());
    exchange->respond(std::move(response));
}

void StandinRelay::silence()
{
    for (const auto &pipe : openPipes()) {
        pipe->dropTraffic();
    }
}

std::vector<std::shared_ptr<StandinRelay::Pipe>> StandinRelay::openPipes()
{
    std::vector<std::shared_ptr<Pipe>> open;
    for (const auto &weak : m_pipes) {
        if (auto pipe = weak.lock(); pipe) {
            open.push_back(std::move(pipe));
        }
    }
    m_pipes.clear();
    m_pipes.insert(m_pipes.end(), open.begin(), open.end());
    return open;
}

} // namespace chervilpaddle::standins
