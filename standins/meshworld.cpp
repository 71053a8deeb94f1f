#include "meshworld.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>

namespace chervilpaddle::standins {

namespace {

constexpr std::size_t largestBody = 1 * mebibyte;
constexpr int slots = 30;
constexpr Duration outerWork = std::chrono::milliseconds(20);
constexpr Duration innerWork = std::chrono::milliseconds(10);
constexpr Duration callerPatience = std::chrono::seconds(2);
constexpr double routeTimeoutSeconds = 1.5;
constexpr Duration readinessPause = std::chrono::milliseconds(100);
//! Nothing may reach a backend server that is leaving, or by an old route, for longer than this after the store's word.
constexpr Duration longestEffect = std::chrono::seconds(2);
//! When the changes of a play come.
constexpr Duration firstEvent = std::chrono::seconds(1);
constexpr Duration downLength = std::chrono::seconds(2);
//! The part of the requests that must be served, whatever the faults of a play.
constexpr double leastServed = 0.9;
const std::string host = "world.example";
const std::string drainedName = "outer-2";

} // namespace

//! One request of a caller.
struct MeshWorld::Sent
{
    std::string id;
    bool isIdempotent = true;
    TimePoint at;
    HttpResult result;
    bool isEnded = false;
};

MeshWorld::MeshWorld(boost::asio::io_context &context, MeshWorldOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_store(context, {"127.0.0.1", static_cast<std::uint16_t>(m_options.port)})
{
    addBackend("outer-1", "outer", "a");
    addBackend("outer-2", "outer", "b");
    addBackend("outer-3", "outer", "b");
    addBackend("inner-1", "inner", "a");
    addBackend("inner-2", "inner", "b");
    addBackend("spare-1", "spare", "a");
    for (const auto &backend : m_backends) {
        publishInstance(backend->options().id, "ready");
    }
    publishRoutes(1, "outer");
}

MeshWorld::~MeshWorld() = default;

void MeshWorld::addBackend(const std::string &name, const std::string &service, const std::string &dataCentre)
{
    // The script that starts the nodes numbers their addresses alike.
    const std::string address = "127.0.0." + std::to_string(11 + m_backends.size());
    const auto port = [this](int offset) { return static_cast<std::uint16_t>(m_options.port + offset); };
    PlainBackend::Options options;
    options.id = name;
    options.service = service;
    options.address = {address, port(5)};
    options.node = {address, port(1)};
    options.work = service == "inner" ? innerWork : outerWork;
    if (service != "inner") {
        options.callHost = host;
        options.callPath = "/inner/item";
        options.calls = 2;
    }
    m_callers.push_back(std::make_unique<HttpClient>(m_context, HttpClient::Options{options.node, largestBody}));
    m_backends.push_back(std::make_unique<PlainBackend>(m_context, options));
    m_dataCentres.push_back(dataCentre);
}

std::error_code MeshWorld::listen()
{
    for (const auto &backend : m_backends) {
        if (const std::error_code error = backend->listen(); error) {
            return error;
        }
    }
    return m_store.listen();
}

void MeshWorld::publishInstance(const std::string &id, const std::string &state)
{
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
        const PlainBackend::Options &options = m_backends[i]->options();
        if (options.id == id) {
            const nlohmann::json entry = {{"service", options.service},
                                          {"address", toText(options.address)},
                                          {"zone", m_dataCentres[i]},
                                          {"version", "v1"},
                                          {"slots", slots},
                                          {"state", state},
                                          {"cold_remaining_s", 0},
                                          {"sequence", 1},
                                          {"born", 1000}};
            m_store.put("servers/" + id, entry.dump());
        }
    }
}

void MeshWorld::publishRoutes(int version, const std::string &extraService)
{
    const auto rule = [](const char *name, const char *kind, const char *prefix, const std::string &service, int priority) {
        return nlohmann::json{{"name", name},
                              {"kind", kind},
                              {"target_latency_s", 1},
                              {"priority", priority},
                              {"match", {{"prefix", prefix}}},
                              {"action", {{"service", service}, {"timeout_s", routeTimeoutSeconds}, {"attempts", 2}}}};
    };
    const nlohmann::json rules = {rule("look", "idempotent", "/look/", "outer", 1),
                                  rule("pay", "non_idempotent", "/pay/", "outer", 0),
                                  rule("extra", "idempotent", "/extra/", extraService, 1),
                                  rule("inner", "idempotent", "/inner/", "inner", 2)};
    const nlohmann::json listeners = nlohmann::json::array({{{"host", host}, {"rules", rules}}});
    const nlohmann::json clusters = {{{"name", "outer"}}, {{"name", "inner"}}, {{"name", "spare"}}};
    const nlohmann::json document = {{"version", version}, {"limits", {}}, {"listeners", listeners}, {"clusters", clusters}};
    m_store.put("op/config", document.dump());
}

void MeshWorld::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code & /*error*/) { action(); });
}

void MeshWorld::play(std::function<void(int broken)> done)
{
    m_done = std::move(done);
    waitForNodes();
}

//! Ready is who answers a request that needs another node.
void MeshWorld::waitForNodes()
{
    auto left = std::make_shared<std::size_t>(m_callers.size());
    auto served = std::make_shared<std::size_t>(0);
    for (std::size_t node = 0; node < m_callers.size(); ++node) {
        HttpRequest request;
        request.target = "/look/ready";
        request.headers.add("Host", host);
        request.headers.add("Request-Id", "ready-" + std::to_string(node) + "-" + std::to_string(m_random()));
        m_callers[node]->send(std::move(request), callerPatience, [this, left, served](const HttpResult &result) {
            *served += result.stage == HttpStage::Complete && result.response.status == 200 ? 1 : 0;
            if (--*left > 0) {
                return;
            }
            if (*served < m_callers.size()) {
                after(readinessPause, [this] { waitForNodes(); });
                return;
            }
            std::printf("the nodes are ready\n");
            std::fflush(stdout);
            m_began = steadyClock()();
            scheduleEvents();
            sendNext();
        });
    }
}

void MeshWorld::scheduleEvents()
{
    const auto has = [this](const char *event) { return m_options.events.count(event) != 0; };
    if (has("drain")) {
        after(firstEvent, [this] {
            publishInstance(drainedName, "draining");
            m_drainedAt = steadyClock()();
        });
    }
    if (has("route")) {
        after(firstEvent, [this] {
            publishRoutes(2, "spare");
            m_routedAt = steadyClock()();
        });
    }
    if (has("history")) {
        after(firstEvent, [this] {
            m_store.put("servers/unreadable", "{\"service\":");
            m_store.forgetHistory();
        });
    }
    if (has("down")) {
        after(firstEvent + downLength, [this] { m_store.setDown(true); });
        after(firstEvent + downLength + downLength, [this] { m_store.setDown(false); });
    }
}

void MeshWorld::sendNext()
{
    if (steadyClock()() - m_began >= m_options.length) {
        after(callerPatience, [this] { m_done(check()); });
        return;
    }
    std::size_t node = 0;
    do {
        node = uniformIndex(m_random, m_callers.size());
    } while (m_options.sparedInstances.count(m_backends[node]->options().id) != 0);
    const double kind = uniformFraction(m_random);
    sendOne(node, kind >= 0.3, kind < 0.3 ? "/pay/1" : (kind < 0.9 ? "/look/1" : "/extra/1"));
    after(fromSeconds(1 / m_options.requestsPerSecond), [this] { sendNext(); });
}

void MeshWorld::sendOne(std::size_t node, bool isIdempotent, const std::string &path)
{
    auto sent = std::make_shared<Sent>();
    sent->id = "r" + std::to_string(m_sent.size());
    sent->isIdempotent = isIdempotent;
    sent->at = steadyClock()();
    m_sent.push_back(sent);
    HttpRequest request;
    request.method = isIdempotent ? "GET" : "POST";
    request.target = path;
    request.headers.add("Host", host);
    request.headers.add("Request-Id", sent->id);
    request.headers.add("Deadline-Milliseconds", std::to_string(callerPatience / std::chrono::milliseconds(1)));
    request.body = isIdempotent ? "" : "a body";
    m_callers[node]->send(std::move(request), callerPatience, [sent](const HttpResult &result) {
        sent->result = result;
        sent->isEnded = true;
    });
}

void MeshWorld::breakPromise(int &broken, const std::string &what) const
{
    constexpr int mostPrinted = 10;
    if (++broken <= mostPrinted) {
        std::printf("BROKEN: %s\n", what.c_str());
    }
}

int MeshWorld::check()
{
    const int broken = checkRuns() + checkDrain() + checkRoute();
    std::map<std::string, int> ends;
    int served = 0;
    for (const auto &sent : m_sent) {
        const bool isWhole = sent->result.stage == HttpStage::Complete;
        const char *stage = !sent->isEnded ? "no answer" : (sent->result.stage == HttpStage::NotSent ? "no connection" : "cut");
        ++ends[isWhole ? std::to_string(sent->result.response.status) : stage];
        served += isWhole && sent->result.response.status == 200 ? 1 : 0;
    }
    std::printf("%zu requests", m_sent.size());
    for (const auto &[end, count] : ends) {
        std::printf(", %s: %d", end.c_str(), count);
    }
    std::printf("\n");
    int all = broken;
    if (served < leastServed * static_cast<double>(m_sent.size())) {
        breakPromise(all, "only " + std::to_string(served) + " requests were served");
    }
    return all;
}

//! Each answer is the request's own; "not run" is true; what was passed on is answered; what may not run twice has not.
int MeshWorld::checkRuns()
{
    int broken = 0;
    std::map<std::string, int> runs;
    for (const auto &backend : m_backends) {
        for (const auto &run : backend->runs()) {
            ++runs[run.request];
        }
    }
    for (const auto &sent : m_sent) {
        const HttpResponse &response = sent->result.response;
        const bool isWhole = sent->result.stage == HttpStage::Complete;
        if (isWhole && response.status == 200 && response.body != PlainBackend::bodyFor(sent->id)) {
            breakPromise(broken, sent->id + " got somebody else's answer");
        }
        if (isWhole && response.status == 503 && runs[sent->id] > 0) {
            breakPromise(broken, sent->id + " was said not to have run, but has");
        }
        if (!isWhole && sent->result.stage != HttpStage::NotSent && runs[sent->id] > 0) {
            breakPromise(broken, sent->id + " was passed on and cut off");
        }
        if (!sent->isIdempotent && runs[sent->id] > 1) {
            breakPromise(broken, sent->id + " ran " + std::to_string(runs[sent->id]) + " times");
        }
    }
    return broken;
}

int MeshWorld::checkDrain()
{
    int broken = 0;
    for (const auto &backend : m_backends) {
        if (m_drainedAt == TimePoint() || backend->options().id != drainedName) {
            continue;
        }
        for (const auto &run : backend->runs()) {
            if (run.at > m_drainedAt + longestEffect) {
                breakPromise(broken, run.request + " reached a backend server that was leaving");
            }
        }
    }
    return broken;
}

//! After the change of the route its requests go to the new service only, and never back.
int MeshWorld::checkRoute()
{
    int broken = 0;
    bool isSeen = m_routedAt == TimePoint();
    for (const auto &backend : m_backends) {
        const bool isNew = backend->options().service == "spare";
        for (const auto &run : backend->runs()) {
            if (run.path != "/extra/1") {
                continue;
            }
            isSeen = isSeen || isNew;
            const bool isLate = m_routedAt != TimePoint() && run.at > m_routedAt + longestEffect;
            if ((isNew && (m_routedAt == TimePoint() || run.at < m_routedAt)) || (!isNew && isLate)) {
                breakPromise(broken, run.request + " ran at " + backend->options().id);
            }
        }
    }
    if (!isSeen) {
        breakPromise(broken, "the new route was never used");
    }
    return broken;
}

} // namespace chervilpaddle::standins
