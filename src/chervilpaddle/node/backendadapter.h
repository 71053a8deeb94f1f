#pragma once

#include <chervilpaddle/controllers/executor.h>
#include <chervilpaddle/transport/httpclient.h>

#include <functional>
#include <unordered_map>

namespace chervilpaddle {

//! Runs calls at the backend server beside this node over HTTP. Used on the core thread only.
class BackendAdapter
{
public:
    struct Hooks
    {
        Clock clock;
        std::function<void(RunId, const BackendResult &)> finished;
        //! The backend server has announced that it is leaving.
        std::function<void()> leaving;
        //! How long to wait for the response to a non-idempotent run after its deadline.
        std::function<Duration()> lateResponseTimeout;
    };

    BackendAdapter(boost::asio::io_context &context,
                   const Endpoint &address,
                   Incarnation incarnation,
                   std::shared_ptr<BodyMemory> responseMemory,
                   Hooks hooks);

    void start(const Run &run);
    void cancel(RunId run);
    //! Asks the health endpoint whether the backend server is leaving. Anything else that it reports is ignored.
    void pollHealth();

    //! The run that a context header names; zero if the header was not issued by this process.
    RunId parseContext(const std::string &header) const;

private:
    HttpRequest makeRequest(const Run &run) const;
    void checkLeavingHeader(const HttpResponse &response);

    HttpClient m_client;
    HttpClient m_healthClient;
    std::string m_contextPrefix;
    Hooks m_hooks;
    std::unordered_map<RunId, HttpRequestNumber> m_requests;
};

} // namespace chervilpaddle
