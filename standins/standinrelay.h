#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/transport/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace chervilpaddle::standins {

//! Passes TCP connections on to a target. Told over HTTP to cut the open ones, to let them go silent for good while
//! new ones work, to cut them after a number of bytes of answer, or to refuse new ones. One thread.
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
    //! Bytes of answer that each connection passes before it is cut; negative for no limit.
    long m_answerBytes = -1;
};

} // namespace chervilpaddle::standins
