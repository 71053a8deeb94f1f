#include <chervilpaddle/base/units.h>
#include <chervilpaddle/node/backendadapter.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace chervilpaddle {

namespace {

constexpr Duration healthTimeout = std::chrono::seconds(1);
//! Idempotent runs are waited for until this long after their deadline.
constexpr Duration idempotentResponseGrace = std::chrono::seconds(1);
constexpr std::size_t maxHealthBodyBytes = 64 * kibibyte;
constexpr int firstServerErrorStatus = 500;
constexpr int statusServiceUnavailable = 503;

bool reportsNotRun(const HttpResponse &response)
{
    return response.status == statusServiceUnavailable && response.headers.find(headers::notRun) != nullptr;
}

HttpClient::Options clientOptions(const Endpoint &address, std::shared_ptr<BodyMemory> responseMemory)
{
    HttpClient::Options options;
    options.address = address;
    options.maxBodyBytes = maxBodyBytes;
    options.requestIdHeader = headers::context;
    options.responseMemory = std::move(responseMemory);
    // A refusal that names no context must not be received a second time, in place of the response to another call.
    options.mayReuseAfter = [](const HttpResponse &response) {
        return !reportsNotRun(response) || response.headers.find(headers::context) != nullptr;
    };
    return options;
}

ResultCode resultCodeOf(const HttpResult &result)
{
    if (const auto failure = transferFailure(result); failure) {
        return *failure;
    }
    if (reportsNotRun(result.response)) {
        return ResultCode::BackendRefused;
    }
    return result.response.status >= firstServerErrorStatus ? ResultCode::DoneWithError : ResultCode::Done;
}

BackendResult backendResult(const HttpResult &result)
{
    BackendResult backend;
    backend.code = resultCodeOf(result);
    if (outcomeOf(backend.code) == Outcome::Done) {
        const std::string *type = result.response.headers.find(headers::contentType);
        backend.payload = {
            result.response.status, type != nullptr ? *type : std::string(), std::make_shared<const std::string>(result.response.body)};
    }
    return backend;
}

} // namespace

BackendAdapter::BackendAdapter(boost::asio::io_context &context,
                               const Endpoint &address,
                               Incarnation incarnation,
                               std::shared_ptr<BodyMemory> responseMemory,
                               Hooks hooks)
    : m_client(context, clientOptions(address, std::move(responseMemory)))
    , m_healthClient(context, {address, maxHealthBodyBytes})
    , m_contextPrefix(std::to_string(incarnation.value()) + "-")
    , m_hooks(std::move(hooks))
{
}

void BackendAdapter::start(const Run &run)
{
    const Duration remaining = std::max(Duration::zero(), std::chrono::duration_cast<Duration>(run.deadline - m_hooks.clock()));
    const Duration timeout = remaining + (run.call.context.idempotent ? idempotentResponseGrace : m_hooks.lateResponseTimeout());
    m_requests[run.id] = m_client.send(makeRequest(run), timeout, [this, id = run.id](const HttpResult &result) {
        m_requests.erase(id);
        checkLeavingHeader(result.response);
        m_hooks.finished(id, backendResult(result));
    });
}

void BackendAdapter::cancel(RunId run)
{
    if (const auto request = m_requests.find(run); request != m_requests.end()) {
        m_client.cancel(request->second);
    }
}

void BackendAdapter::pollHealth()
{
    HttpRequest request;
    request.target = "/health";
    m_healthClient.send(request, healthTimeout, [this](const HttpResult &result) {
        if (result.stage != HttpStage::Complete) {
            return;
        }
        const auto health = nlohmann::json::parse(result.response.body, nullptr, false);
        if (health.is_object() && health.contains("state") && health["state"] == "leaving") {
            m_hooks.leaving();
        }
    });
}

RunId BackendAdapter::parseContext(const std::string &header) const
{
    if (header.rfind(m_contextPrefix, 0) != 0) {
        return RunId();
    }
    std::uint64_t number = 0;
    const char *end = header.data() + header.size();
    const auto [rest, error] = std::from_chars(header.data() + m_contextPrefix.size(), end, number);
    return error == std::errc() && rest == end ? RunId(number) : RunId();
}

HttpRequest BackendAdapter::makeRequest(const Run &run) const
{
    const CallContext &context = run.call.context;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(run.deadline - m_hooks.clock());
    HttpRequest request;
    request.method = "POST";
    request.target = "/" + context.operation.value();
    request.headers.add(headers::context, m_contextPrefix + std::to_string(run.id.value()));
    request.headers.add(headers::request, context.request.value());
    request.headers.add(headers::customer, context.customer.value());
    request.headers.add(headers::deadline, std::to_string(std::max<std::int64_t>(0, remaining.count())));
    request.headers.add(headers::contentType, run.call.payload.contentType);
    request.body = run.call.payload.body ? *run.call.payload.body : std::string();
    return request;
}

void BackendAdapter::checkLeavingHeader(const HttpResponse &response)
{
    if (response.headers.find(headers::leaving) != nullptr) {
        m_hooks.leaving();
    }
}

} // namespace chervilpaddle
