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

//! A stand-in for a backend server with plain HTTP: works for the service time, calls another service through its node
//! and signs its response. Requests for /long/MILLISECONDS take that long instead, those for /bytes/SIZE are
//! answered with a body of that size. Stops work at the deadline that it was given. Records its runs for the checks. Single-threaded.
class PlainBackend
{
public:
    struct Options
    {
        //! Identifies the process. Requests that name another one in Expected-Instance are refused.
        std::string id;
        std::string service;
        Endpoint address;
        //! The node beside the backend server, used for its own calls.
        Endpoint node;
        Duration serviceTime{};
        //! Host and path of the calls that each run makes.
        std::string callHost;
        std::string callPath;
        //! Number of calls that each run makes.
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
    //! The expected response body for a request.
    static std::string bodyFor(const std::string &request);

private:
    struct Work;

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    Duration serviceTimeOf(const HttpRequest &request) const;
    void callNext(const std::shared_ptr<Work> &work);
    void answer(const Work &work, int status);

    boost::asio::io_context &m_context;
    Options m_options;
    HttpServer m_server;
    HttpClient m_node;
    std::vector<RunRecord> m_runs;
};

} // namespace chervilpaddle::standins
