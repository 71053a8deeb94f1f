#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/transport/httpclient.h>
#include <chervilpaddle/transport/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilpaddle::standins {

//! A stand-in backend server that speaks plain HTTP: works for a time, calls another service through its node, signs
//! its answer. Keeps what it ran, for the checks. One thread.
class PlainBackend
{
public:
    struct Options
    {
        //! The start of the backend server; a request that names another one is turned away.
        std::string id;
        std::string service;
        Endpoint address;
        //! The node beside it, for its own calls.
        Endpoint node;
        Duration work{};
        //! Host and path that it calls while it runs a request; empty for none.
        std::string callHost;
        std::string callPath;
        int calls = 0;
    };
    struct RunRecord
    {
        std::string request;
        std::string path;
        TimePoint at;
    };

    PlainBackend(boost::asio::io_context &context, Options options);

    std::error_code listen();
    const Options &options() const;
    const std::vector<RunRecord> &runs() const;
    //! What the answer to a request must be.
    static std::string bodyFor(const std::string &request);

private:
    struct Work;

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void callNext(const std::shared_ptr<Work> &work);
    void answer(const Work &work, int status);

    boost::asio::io_context &m_context;
    Options m_options;
    HttpServer m_server;
    HttpClient m_node;
    std::vector<RunRecord> m_runs;
};

} // namespace chervilpaddle::standins
