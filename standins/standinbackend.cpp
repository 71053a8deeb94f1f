#include "standinbackend.h"

#include <chervilpaddle/base/inidocument.h>
#include <chervilpaddle/contract/contract.h>
#include <chervilpaddle/peer/messages.h>

#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace chervilpaddle::standins {

namespace {

constexpr double jitterRatio = 0.2;
constexpr Duration callTimeout = std::chrono::seconds(10);

HttpResponse plainResponse(int status, std::string body)
{
    return textResponse(status, "text/plain", std::move(body));
}

} // namespace

//! One request at the backend server.
struct StandinBackend::Work
{
    std::shared_ptr<HttpExchange> exchange;
    OperationName operation;
    std::string request;
    std::string context;
    std::string bodyDigest;
    std::size_t nextCall = 0;
    bool running = false;
    bool cancelled = false;
    HttpRequestNumber child;
};

std::map<OperationName, OperationBehaviour> parseBehaviour(const std::string &text, const std::string &file, std::vector<Problem> &problems)
{
    std::map<OperationName, OperationBehaviour> behaviour;
    const IniDocument document = parseIni(text, file, ResultCode::SettingsUnreadable, problems);
    for (const IniSection &section : document.sections) {
        OperationBehaviour &operation = behaviour[OperationName(section.name)];
        for (const IniEntry &entry : section.entries) {
            if (entry.key == "service_time") {
                operation.serviceTime = parseDuration(entry.value).value_or(Duration::zero());
            } else if (entry.key == "calls") {
                for (const std::string &name : splitList(entry.value)) {
                    operation.calls.emplace_back(name);
                }
            } else {
                problems.push_back({ResultCode::SettingUnknown, file, entry.line, entry.key, "the key is not known"});
            }
        }
    }
    return behaviour;
}

StandinBackend::StandinBackend(boost::asio::io_context &context, Options options)
    : m_context(context)
    , m_options(std::move(options))
    , m_server({&context}, {m_options.address, maxBodyBytes, 4096}, [this](auto exchange) { handle(exchange); })
    , m_egress(context, {m_options.egress, maxBodyBytes})
    , m_random(m_options.seed)
{
}

std::error_code StandinBackend::listen()
{
    return m_server.listen();
}

void StandinBackend::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    if (request.target == "/health") {
        exchange->respond(plainResponse(200, "{\"state\":\"" + m_health + "\"}"));
        return;
    }
    if (request.target == "/record") {
        exchange->respond(plainResponse(200, record()));
        return;
    }
    if (request.target.rfind("/control", 0) == 0) {
        handleControl(exchange);
        return;
    }
    auto work = std::make_shared<Work>();
    work->exchange = exchange;
    work->operation = OperationName(request.target.substr(1));
    work->request = request.headers.valueOr(headers::request, {});
    work->context = request.headers.valueOr(headers::context, {});
    work->bodyDigest = hexDigest(exchange->takeBody());
    exchange->onDisconnect([this, work] {
        work->cancelled = true;
        m_egress.cancel(work->child);
        if (work->running) {
            endRun(work);
        }
    });
    m_waiting.push_back(work);
    startNext();
}

void StandinBackend::startNext()
{
    while (m_running < m_options.slots && !m_waiting.empty()) {
        const auto work = m_waiting.front();
        m_waiting.pop_front();
        if (!work->cancelled) {
            startRun(work);
        }
    }
}

void StandinBackend::startRun(const std::shared_ptr<Work> &work)
{
    const auto behaviour = m_options.behaviour.find(work->operation);
    if (behaviour == m_options.behaviour.end()) {
        work->exchange->respond(plainResponse(404, "no such operation"));
        return;
    }
    if (drawEvent(m_refusalRate)) {
        HttpResponse response = plainResponse(503, "refused");
        response.headers.add(headers::notRun, "true");
        response.headers.add(headers::context, work->context);
        work->exchange->respond(std::move(response));
        return;
    }
    ++m_startsByOperation[work->operation.value()];
    ++m_startsByRequest[work->operation.value()][work->request];
    work->running = true;
    ++m_running;
    m_maximumRunning = std::max(m_maximumRunning, m_running);
    const double jitter = 1 + jitterRatio * (2 * uniformFraction(m_random) - 1);
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(m_context, fromSeconds(toSeconds(behaviour->second.serviceTime) * m_slowdown * jitter));
    timer->async_wait([this, timer, work](const boost::system::error_code & /*error*/) { callNext(work); });
}

void StandinBackend::callNext(const std::shared_ptr<Work> &work)
{
    if (work->cancelled) {
        return;
    }
    const auto &calls = m_options.behaviour.at(work->operation).calls;
    if (work->nextCall == calls.size()) {
        const bool fails = drawEvent(m_failureRate);
        answer(work, fails ? 500 : 200, fails ? "failed" : answerBody(*work));
        return;
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/" + calls[work->nextCall].value();
    request.headers.add(headers::context, work->context);
    request.headers.add(headers::request, work->request);
    request.headers.add(headers::contentType, "text/plain");
    request.body = work->bodyDigest;
    ++work->nextCall;
    work->child = m_egress.send(std::move(request), callTimeout, [this, work](const HttpResult &result) {
        if (work->cancelled) {
            return;
        }
        if (result.stage == HttpStage::Complete && result.response.status == 200) {
            callNext(work);
            return;
        }
        const std::string *code = result.response.headers.find(headers::code);
        answer(work, 502, "a call failed with code " + (code != nullptr ? *code : std::string("none")));
    });
}

void StandinBackend::answer(const std::shared_ptr<Work> &work, int status, const std::string &body)
{
    HttpResponse response = plainResponse(status, body);
    response.headers.add(headers::context, work->context);
    if (m_health == "leaving") {
        response.headers.add(headers::leaving, "true");
    }
    work->exchange->respond(std::move(response));
    ++m_answered;
    endRun(work);
}

void StandinBackend::endRun(const std::shared_ptr<Work> &work)
{
    if (!std::exchange(work->running, false)) {
        return;
    }
    --m_running;
    startNext();
}

//! The response body. It holds the request's id and the digest of its body, so that a caller can detect a response that
//! belongs to another request.
std::string StandinBackend::answerBody(const Work &work) const
{
    std::string body = work.request + " " + work.operation.value() + " " + work.bodyDigest + "\n";
    if (body.size() < m_options.answerBytes) {
        body.resize(m_options.answerBytes, '.');
    }
    return body;
}

void StandinBackend::handleControl(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto control = nlohmann::json::parse(exchange->takeBody(), nullptr, false);
    if (!control.is_object()) {
        exchange->respond(plainResponse(400, "malformed"));
        return;
    }
    m_slowdown = control.value("slowdown", m_slowdown);
    m_failureRate = control.value("fail", m_failureRate);
    m_refusalRate = control.value("refuse", m_refusalRate);
    m_health = control.value("health", m_health);
    exchange->respond(plainResponse(200, "ok"));
}

std::string StandinBackend::record() const
{
    const nlohmann::json all = {{"totals", m_startsByOperation},
                                {"started", m_startsByRequest},
                                {"mostRunning", m_maximumRunning},
                                {"running", m_running},
                                {"answered", m_answered}};
    return all.dump();
}

bool StandinBackend::drawEvent(double probability)
{
    return probability > 0 && uniformFraction(m_random) < probability;
}

} // namespace chervilpaddle::standins
