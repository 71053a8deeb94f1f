#pragma once

#include <chervilpaddle/controllers/executor.h>
#include <chervilpaddle/transport/httpclient.h>

#include <functional>
#include <unordered_map>

namespace chervilpaddle {

//! Runs calls at the backend server beside this node over HTTP. Belongs to the core thread.
class BackendAdapter
{
public:
    struct Hooks
    {
        Clock clock;
        std::function<void(RunId, const BackendResult &)> finished;
        //! The backend server says that it is leaving.
        std::function<void()> leaving;
        //! The longest time that a run which may not be repeated is waited for after its deadline.
        std::function<Duration()> patience;
    };

    BackendAdapter(boost::asio::io_context &context, const Endpoint &address, Incarnation incarnation, Hooks hooks);

    void start(const Run &run);
    void cancel(RunId run);
    //! Asks the health endpoint whether the backend server is leaving; nothing else of it is believed.
    void pollHealth();

    //! The run that a context header names; zero where it is not one of this process.
    RunId parseContext(const std::string &header) const;

private:
    HttpRequest requestFor(const Run &run) const;
    void noteLeaving(const HttpResponse &response);

    HttpClient m_client;
    HttpClient m_healthClient;
    std::string m_contextPrefix;
    Hooks m_hooks;
    std::unordered_map<RunId, HttpRequestNumber> m_requests;
};

} // namespace chervilpaddle
