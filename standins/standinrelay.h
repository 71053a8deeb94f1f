#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/transport/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace chervilpaddle::standins {

//! Relays TCP connections to a target. Over HTTP it can be made to close the open connections, to drop all their traffic
//! while new connections work, to close new connections after a number of response bytes, or to refuse new connections.
//! Single-threaded.
class StandinRelay
{
public:
    struct Options
    {
        Endpoint address;
        Endpoint target;
        Endpoint control;
    };

    StandinRelay(boost::asio::io_context &context, Options options);
    std::error_code listen();
    //! Drops all traffic of the open connections from now on, without closing them.
    void silence();

private:
    class Pipe;

    void accept();
    void handleControl(const std::shared_ptr<HttpExchange> &exchange);
    std::vector<std::shared_ptr<Pipe>> openPipes();

    boost::asio::io_context &m_context;
    Options m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpServer m_control;
    std::vector<std::weak_ptr<Pipe>> m_pipes;
    bool m_refusing = false;
    //! Response bytes that each new connection forwards before it is closed. Negative means no limit.
    long m_responseByteLimit = -1;
};

} // namespace chervilpaddle::standins
