#include "crowd.h"

#include <chervilpaddle/base/units.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>

namespace chervilpaddle::standins {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int receiveBufferBytes = 4096;
constexpr Duration pause = std::chrono::milliseconds(100);
constexpr Duration reconnectDelay = std::chrono::milliseconds(20);
constexpr std::size_t statusLineBytes = 12; // "HTTP/1.1 200"
constexpr std::size_t statusOffset = 9;
constexpr std::size_t slowReadBytes = 100;
constexpr std::size_t largeBodyBytes = 7 * mebibyte;
constexpr int pipelinedRequests = 32;
constexpr int repeatedConnections = 5;
constexpr int floodConnections = 50;

using End = CrowdBehaviour::End;

// The columns are those of CrowdBehaviour.
constexpr CrowdBehaviour behaviours[] = {
    {"slow-readers", 1, 0, 0, 0, slowReadBytes, End::Stays, repeatedConnections},
    {"non-readers", 1, 0, 0, 0, 0, End::Stays, repeatedConnections},
    {"half-closers", 1, 0, 0, 0, slowReadBytes, End::HalfCloses, repeatedConnections},
    {"resetters", 1, 0, 0, 0, slowReadBytes, End::Resets, floodConnections},
    {"pipeliners", pipelinedRequests, 0, 0, 0, 0, End::Stays, repeatedConnections},
    {"slow-heads", 1, 0, 0, 1, slowReadBytes, End::Stays, repeatedConnections},
    {"slow-bodies", 1, largeBodyBytes, largeBodyBytes, 1, slowReadBytes, End::Stays, repeatedConnections},
    {"missing-bodies", 1, largeBodyBytes, 0, 0, slowReadBytes, End::Stays, repeatedConnections},
    {"unfinished-bodies", 1, largeBodyBytes, largeBodyBytes - 1, 0, slowReadBytes, End::Stays, repeatedConnections},
    {"idlers", 0, 0, 0, 0, 0, End::Stays, repeatedConnections},
    {"flood", 0, 0, 0, 0, 0, End::Leaves, floodConnections},
};

} // namespace

const CrowdBehaviour *findCrowdBehaviour(const std::string &name)
{
    const auto *found = std::find_if(std::begin(behaviours), std::end(behaviours), [&name](const auto &row) { return name == row.name; });
    return found == std::end(behaviours) ? nullptr : found;
}

class Crowd::Client : public std::enable_shared_from_this<Client>
{
public:
    Client(Crowd &crowd, std::size_t number)
        : m_crowd(crowd)
        , m_number(number)
        , m_socket(crowd.m_context)
        , m_readTimer(crowd.m_context)
        , m_writeTimer(crowd.m_context)
    {
    }

    void connect()
    {
        if (m_hasLeft || m_connections == behaviour().connections) {
            return;
        }
        ++m_connections;
        ++m_crowd.m_opened;
        m_received.clear();
        m_sent = 0;
        m_socket = tcp::socket(m_crowd.m_context);
        m_socket.open(tcp::v4());
        m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        const tcp::endpoint address(asio::ip::make_address(m_crowd.m_options.address.host), m_crowd.m_options.address.port);
        m_socket.async_connect(address, [self = shared_from_this()](const error_code &error) {
            if (error) {
                self->connectAgain();
                return;
            }
            self->m_output = self->requests();
            self->write();
            self->waitForEnd();
        });
    }

    void leave()
    {
        m_hasLeft = true;
        close();
    }

private:
    const CrowdBehaviour &behaviour() const
    {
        return m_crowd.m_options.behaviour;
    }

    std::string firstId() const
    {
        return m_crowd.m_options.idPrefix + std::to_string(m_number) + "-" + std::to_string(m_connections);
    }

    std::string requests() const
    {
        std::string text;
        for (int i = 0; i < behaviour().requests; ++i) {
            const std::string id = i == 0 ? firstId() : firstId() + "-" + std::to_string(i);
            text += (behaviour().bodyBytes > 0 ? "POST " : "GET ") + m_crowd.m_options.target
                + " HTTP/1.1\r\nHost: " + m_crowd.m_options.host + "\r\nRequest-Id: " + id + "\r\nDeadline-Milliseconds: 10000\r\n";
            if (behaviour().bodyBytes > 0) {
                text += "Content-Length: " + std::to_string(behaviour().bodyBytes) + "\r\n";
            }
            text += "\r\n" + std::string(behaviour().sentBodyBytes, 'b');
        }
        return text;
    }

    void write()
    {
        if (m_sent == m_output.size()) {
            endSending();
            return;
        }
        const std::size_t rest = m_output.size() - m_sent;
        const std::size_t size = behaviour().bytesPerWrite == 0 ? rest : std::min(rest, behaviour().bytesPerWrite);
        asio::async_write(
            m_socket, asio::buffer(m_output.data() + m_sent, size), [self = shared_from_this()](const error_code &error, auto bytes) {
                self->m_sent += bytes;
                if (error) {
                    return; // The end of the connection is seen by waitForEnd() or read().
                }
                self->m_writeTimer.expires_after(self->behaviour().bytesPerWrite == 0 ? Duration::zero() : pause);
                self->m_writeTimer.async_wait([self](const error_code &timerError) {
                    if (!timerError) {
                        self->write();
                    }
                });
            });
    }

    void endSending()
    {
        m_output.clear();
        m_output.shrink_to_fit();
        if (behaviour().end == End::Leaves) {
            close();
            connectAgain();
        } else if (behaviour().end == End::HalfCloses) {
            error_code ignored;
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
    }

    //! A client that reads nothing only sees that its connection has been reset.
    void waitForEnd()
    {
        if (behaviour().bytesPerRead > 0) {
            read();
            return;
        }
        m_socket.async_wait(tcp::socket::wait_error, [self = shared_from_this()](const error_code &error) {
            if (!error) {
                self->close();
                self->connectAgain();
            }
        });
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_input.data(), std::min(m_input.size(), behaviour().bytesPerRead)),
                                 [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                                     self->take(bytes);
                                     if (error == asio::error::operation_aborted) {
                                         return;
                                     }
                                     if (error || self->behaviour().end == End::Resets) {
                                         self->close();
                                         self->connectAgain();
                                         return;
                                     }
                                     self->m_readTimer.expires_after(pause);
                                     self->m_readTimer.async_wait([self](const error_code &timerError) {
                                         if (!timerError) {
                                             self->read();
                                         }
                                     });
                                 });
    }

    void take(std::size_t bytes)
    {
        if (m_received.size() < statusLineBytes) {
            m_received.append(m_input.data(), bytes);
            if (m_received.size() >= statusLineBytes) {
                m_crowd.m_statuses[firstId()] = std::atoi(m_received.c_str() + statusOffset);
            }
        }
    }

    void close()
    {
        m_readTimer.cancel();
        m_writeTimer.cancel();
        error_code ignored;
        if (behaviour().end == End::Resets) {
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        m_socket.close(ignored);
    }

    void connectAgain()
    {
        m_readTimer.expires_after(reconnectDelay);
        m_readTimer.async_wait([self = shared_from_this()](const error_code &error) {
            if (!error) {
                self->connect();
            }
        });
    }

    Crowd &m_crowd;
    std::size_t m_number;
    tcp::socket m_socket;
    asio::steady_timer m_readTimer;
    asio::steady_timer m_writeTimer;
    std::string m_output;
    std::size_t m_sent = 0;
    //! The beginning of the response.
    std::string m_received;
    std::array<char, 4096> m_input{};
    int m_connections = 0;
    bool m_hasLeft = false;
};

Crowd::Crowd(asio::io_context &context, Options options)
    : m_context(context)
    , m_options(std::move(options))
{
}

Crowd::~Crowd() = default;

void Crowd::start()
{
    for (std::size_t i = 0; i < m_options.clients; ++i) {
        m_clients.push_back(std::make_shared<Client>(*this, i));
        m_clients.back()->connect();
    }
}

void Crowd::leave()
{
    for (const auto &client : m_clients) {
        client->leave();
    }
}

const std::map<std::string, int> &Crowd::statuses() const
{
    return m_statuses;
}

std::size_t Crowd::opened() const
{
    return m_opened;
}

} // namespace chervilpaddle::standins
