#include "plainbackend.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>

namespace chervilpaddle::standins {

namespace {

constexpr std::size_t maximumBodyBytes = 8 * mebibyte;
constexpr Duration callTimeout = std::chrono::seconds(2);
const std::string longPathPrefix = "/long/";
const std::string bytesPathPrefix = "/bytes/";

} // namespace

struct PlainBackend::Work
{
    std::shared_ptr<HttpExchange> exchange;
    std::string request;
    //! Size of the answer's body; zero: the body that bodyFor() returns.
    std::size_t answerBytes = 0;
    int callsLeft = 0;
};

PlainBackend::PlainBackend(boost::asio::io_context &context, Options options)
    : m_context(context)
    , m_options(std::move(options))
    , m_server({&context}, {m_options.address, maximumBodyBytes}, [this](auto exchange) { handle(exchange); })
    , m_node(context, {m_options.node, maximumBodyBytes})
{
}

std::error_code PlainBackend::listen()
{
    return m_server.listen();
}

const PlainBackend::Options &PlainBackend::options() const
{
    return m_options;
}

const std::vector<PlainBackend::RunRecord> &PlainBackend::runs() const
{
    return m_runs;
}

std::string PlainBackend::bodyFor(const std::string &request)
{
    return "answer to " + request;
}

void PlainBackend::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    auto work = std::make_shared<Work>();
    work->exchange = exchange;
    work->request = exchange->request().headers.valueOr("Request-Id", {});
    work->callsLeft = m_options.calls;
    const std::string *expected = exchange->request().headers.find("Expected-Instance");
    if (work->request.empty() || (expected != nullptr && *expected != m_options.id)) {
        HttpResponse response;
        response.status = work->request.empty() ? 400 : 421;
        response.headers.add("Not-Executed", "1");
        response.headers.add("Request-Id", work->request);
        exchange->respond(std::move(response));
        return;
    }
    if (const std::string &target = exchange->request().target; target.rfind(bytesPathPrefix, 0) == 0) {
        work->answerBytes = std::strtoull(target.c_str() + bytesPathPrefix.size(), nullptr, 10);
    }
    m_runs.push_back({work->request, exchange->request().target, steadyClock()()});
    const Duration serviceTime = serviceTimeOf(exchange->request());
    const std::string *deadline = exchange->request().headers.find("Deadline-Milliseconds");
    const Duration remaining = deadline == nullptr ? serviceTime : std::chrono::milliseconds(std::strtoll(deadline->c_str(), nullptr, 10));
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::min(serviceTime, remaining));
    timer->async_wait([this, timer, work, isInTime = serviceTime <= remaining](const boost::system::error_code & /*error*/) {
        isInTime ? callNext(work) : answer(*work, 504);
    });
}

Duration PlainBackend::serviceTimeOf(const HttpRequest &request) const
{
    if (request.target.rfind(longPathPrefix, 0) != 0) {
        return m_options.serviceTime;
    }
    return std::chrono::milliseconds(std::strtoll(request.target.c_str() + longPathPrefix.size(), nullptr, 10));
}

void PlainBackend::callNext(const std::shared_ptr<Work> &work)
{
    if (work->callsLeft == 0) {
        answer(*work, 200);
        return;
    }
    const std::string id = work->request + "." + std::to_string(work->callsLeft--);
    HttpRequest request;
    request.target = m_options.callPath;
    request.headers.add("Host", m_options.callHost);
    request.headers.add("Request-Id", id);
    request.headers.add("Deadline-Milliseconds", std::to_string(callTimeout / std::chrono::milliseconds(1)));
    m_node.send(std::move(request), callTimeout, [this, work, id](const HttpResult &result) {
        const bool isServed = result.stage == HttpStage::Complete && result.response.status == 200 && result.response.body == bodyFor(id);
        isServed ? callNext(work) : answer(*work, 500);
    });
}

void PlainBackend::answer(const Work &work, int status)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Request-Id", work.request);
    response.headers.add("Response-Signature", "signed by " + m_options.id);
    const std::string body = work.answerBytes == 0 ? bodyFor(work.request) : std::string(work.answerBytes, 'a');
    response.body = status == 200 ? body : (status == 504 ? "the deadline passed" : "a call failed");
    work.exchange->respond(std::move(response));
}

} // namespace chervilpaddle::standins
