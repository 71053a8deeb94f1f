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
constexpr std::size_t pieceBytes = 64 * kibibyte;

tcp::endpoint tcpEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.host), endpoint.port};
}
} // namespace

//! One connection and its continuation to the target.
class StandinRelay::Pipe : public std::enable_shared_from_this<StandinRelay::Pipe>
{
public:
    Pipe(tcp::socket near, asio::io_context &context, long answerBytes)
        : m_near(std::move(near))
        , m_far(context)
        , m_answerBytes(answerBytes)
    {
    }

    void start(const tcp::endpoint &target)
    {
        m_far.async_connect(target, [self = shared_from_this()](const boost::system::error_code &error) {
            if (error) {
                self->cut();
                return;
            }
            boost::system::error_code ignored;
            self->m_far.set_option(tcp::no_delay(true), ignored);
            self->m_near.set_option(tcp::no_delay(true), ignored);
            self->pass(self->m_near, self->m_far, self->m_outward, false);
            self->pass(self->m_far, self->m_near, self->m_inward, true);
        });
    }

    void cut()
    {
        boost::system::error_code ignored;
        m_near.close(ignored);
        m_far.close(ignored);
    }

    //! From now on everything is taken in and nothing passed on, as by a middlebox that has lost its state.
    void silence()
    {
        m_silent = true;
    }

private:
    using Buffer = std::array<char, pieceBytes>;

    void pass(tcp::socket &from, tcp::socket &to, Buffer &buffer, bool isAnswer)
    {
        from.async_read_some(
            asio::buffer(buffer),
            [self = shared_from_this(), &from, &to, &buffer, isAnswer](const boost::system::error_code &error, std::size_t bytes) {
                if (error) {
                    if (!self->m_silent) {
                        self->cut();
                    }
                    return;
                }
                self->forward(from, to, buffer, bytes, isAnswer);
            });
    }

    void forward(tcp::socket &from, tcp::socket &to, Buffer &buffer, std::size_t bytes, bool isAnswer)
    {
        if (m_silent) {
            pass(from, to, buffer, isAnswer);
            return;
        }
        bool last = false;
        if (isAnswer && m_answerBytes >= 0) {
            last = static_cast<long>(bytes) >= m_answerBytes;
            bytes = std::min(bytes, static_cast<std::size_t>(m_answerBytes));
            m_answerBytes -= static_cast<long>(bytes);
        }
        asio::async_write(to,
                          asio::buffer(buffer, bytes),
                          [self = shared_from_this(), &from, &to, &buffer, isAnswer, last](const boost::system::error_code &error,
                                                                                           std::size_t /*bytes*/) {
                              if (error || last) {
                                  self->cut();
                                  return;
                              }
                              self->pass(from, to, buffer, isAnswer);
                          });
    }

    tcp::socket m_near;
    tcp::socket m_far;
    Buffer m_outward{};
    Buffer m_inward{};
    bool m_silent = false;
    long m_answerBytes;
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
            auto pipe = std::make_shared<Pipe>(std::move(socket), m_context, m_answerBytes);
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
            pipe->cut();
        }
    } else if (action == "/silence") {
        for (const auto &pipe : pipes) {
            pipe->silence();
        }
    } else if (action == "/refuse") {
        m_refusing = body == "yes";
    } else if (action == "/answer-bytes") {
        m_answerBytes = std::strtol(body.c_str(), nullptr, 10);
    }
    HttpResponse response;
    response.body = std::to_string(pipes.size());
    exchange->respond(std::move(response));
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
