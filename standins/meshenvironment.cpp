#include "meshenvironment.h"

#include "platformdocuments.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>

namespace chervilpaddle::standins {

namespace {

constexpr std::size_t maximumBodyBytes = 1 * mebibyte;
constexpr Duration outerServiceTime = std::chrono::milliseconds(20);
constexpr Duration innerServiceTime = std::chrono::milliseconds(10);
constexpr Duration callerTimeout = std::chrono::seconds(2);
constexpr double routeTimeoutSeconds = 1.5;
constexpr Duration readinessRetryInterval = std::chrono::milliseconds(100);
//! Time after a change in the store within which requests must stop reaching a draining backend server or an old route.
constexpr Duration maximumPropagationTime = std::chrono::seconds(2);
//! Delay of the first change after the start of the load.
constexpr Duration firstEventDelay = std::chrono::seconds(1);
constexpr Duration routeChangeInterval = std::chrono::milliseconds(50);
constexpr Duration outageDuration = std::chrono::seconds(2);
//! When the store is copied, goes down and is restored, and when the routes change afterwards.
constexpr Duration copyDelay = std::chrono::milliseconds(500);
constexpr Duration restorationOutageDelay = std::chrono::milliseconds(2500);
constexpr Duration restorationDelay = std::chrono::milliseconds(3000);
constexpr Duration routeAfterRestorationDelay = std::chrono::milliseconds(4500);
//! Writes that a restoration undoes, so that the revisions go back.
constexpr int lostWrites = 100;
//! Calls of a node to the store per second: a few for each of two prefixes, and some more during faults.
constexpr double maximumStoreCallsPerNode = 12;
//! Minimum fraction of requests that must be served in spite of the faults.
constexpr double minimumServedShare = 0.9;
constexpr Duration longRouteTimeout = std::chrono::seconds(10);
//! How long the configuration allows clients to leave a connection idle.
constexpr Duration clientIdleTimeout = std::chrono::seconds(150);
//! The stopped instance is stopped this long after the start of the load.
constexpr Duration stopDelay = std::chrono::seconds(1);
constexpr Duration probeInterval = std::chrono::milliseconds(5);
//! Grace beyond the deadline of a call for its answer.
constexpr Duration answerGracePeriod = std::chrono::seconds(1);
//! The calls of these requests' runs come late in the grace period of the stopped instance, with time-outs that end after it.
constexpr int requestsAcrossStop = 9;
const std::string pathAcrossStop = "/long/4200";
const std::string pathBeyondStop = "/long/20000";
constexpr Duration timeoutAcrossStop = std::chrono::seconds(8);
constexpr Duration oddEntryInterval = std::chrono::milliseconds(150);
const std::string host = "world.example";
const std::string drainedInstance = "outer-2";
const std::string removedInstance = "outer-3";
//! Long enough after a change for the next watches to have begun, and when the changes follow that must be known in time.
constexpr Duration silenceDelay = std::chrono::milliseconds(600);
constexpr Duration changeAfterSilenceDelay = std::chrono::seconds(1);
//! Offsets of the ports that are used with a relay before the store.
constexpr int storeBehindRelayPort = 6;
constexpr int relayControlPort = 7;

Endpoint loopbackAddress(const MeshEnvironmentOptions &options, int portOffset)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(options.port + portOffset)};
}

Endpoint storeAddress(const MeshEnvironmentOptions &options)
{
    return loopbackAddress(options, options.events.count("silent") != 0 ? storeBehindRelayPort : 0);
}

} // namespace

//! One request of a caller.
struct MeshEnvironment::SentRequest
{
    std::string id;
    bool isIdempotent = true;
    TimePoint at;
    HttpResult result;
    bool isEnded = false;
};

//! A call to the instance that is being stopped.
struct MeshEnvironment::StopCall
{
    Duration afterStop{};
    bool isIdempotent = false;
    std::string path;
    Duration timeout{};
};

MeshEnvironment::MeshEnvironment(boost::asio::io_context &context, MeshEnvironmentOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_store(context, storeAddress(m_options))
{
    if (m_options.events.count("silent") != 0) {
        const StandinRelay::Options relay{
            loopbackAddress(m_options, 0), storeAddress(m_options), loopbackAddress(m_options, relayControlPort)};
        m_storeRelay = std::make_unique<StandinRelay>(m_context, relay);
    }
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

MeshEnvironment::~MeshEnvironment() = default;

void MeshEnvironment::addBackend(const std::string &name, const std::string &service, const std::string &dataCentre)
{
    // tests/process/lib/mesh.sh gives the nodes the same addresses.
    const std::string address = "127.0.0." + std::to_string(11 + m_backends.size());
    const auto port = [this](int offset) { return static_cast<std::uint16_t>(m_options.port + offset); };
    PlainBackend::Options options;
    options.id = name;
    options.service = service;
    options.address = {address, port(5)};
    options.node = {address, port(1)};
    options.serviceTime = service == "inner" ? innerServiceTime : outerServiceTime;
    if (service != "inner") {
        options.callHost = host;
        options.callPath = "/inner/item";
        options.calls = 2;
    }
    m_callers.push_back(std::make_unique<HttpClient>(m_context, HttpClient::Options{options.node, maximumBodyBytes}));
    m_backends.push_back(std::make_unique<PlainBackend>(m_context, options));
    m_dataCentres.push_back(dataCentre);
}

std::error_code MeshEnvironment::listen()
{
    for (const auto &backend : m_backends) {
        if (const std::error_code error = backend->listen(); error) {
            return error;
        }
    }
    if (const std::error_code error = m_storeRelay ? m_storeRelay->listen() : std::error_code(); error) {
        return error;
    }
    return m_store.listen();
}

nlohmann::json MeshEnvironment::instanceEntry(const std::string &id, const std::string &state) const
{
    const std::size_t index = indexOf(id);
    return instanceDocument(m_backends[index]->options(), m_dataCentres[index], state);
}

void MeshEnvironment::publishInstance(const std::string &id, const std::string &state)
{
    m_store.put("servers/" + id, instanceEntry(id, state).dump());
}

//! Writes entries that name no instance: one that is odd in another way each round, one that alternates with a valid entry, one
//! that is rewritten, and one of an unknown service at the address of a backend server.
void MeshEnvironment::publishOddEntries(std::size_t round)
{
    const std::string valid = instanceEntry("spare-1", "ready").dump();
    const auto with = [&valid](const std::string &field, const std::string &value) {
        const auto begin = valid.find("\"" + field + "\":") + field.size() + 3;
        const auto end = valid.find_first_of(",}", begin);
        return valid.substr(0, begin) + value + valid.substr(end);
    };
    constexpr std::size_t depth = 20'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    const std::string large(300'000, 'a');
    const std::string values[] = {deep,
                                  with("version", deep),
                                  with("slots", "1e300"),
                                  with("slots", "18446744073709551615"),
                                  with("slots", "true"),
                                  with("born", "9223372036854775808"),
                                  with("address", "\"127.0.0.16:99999\""),
                                  with("address", "\"0.0.0.0:8501\""),
                                  with("address", "\":8501\""),
                                  with("zone", "\"\\r\\nX-Odd: 1\""),
                                  with("zone", "\"\xff\""),
                                  with("service", "\"\""),
                                  with("state", "\"" + large + "\""),
                                  "\"" + large,
                                  "[]",
                                  ""};
    m_store.put("servers/odd", values[round % std::size(values)]);
    if (round % std::size(values) == std::size(values) - 1) {
        m_store.remove("servers/odd");
    }
    m_store.put("servers/inner-2", round % 2 == 0 ? deep : instanceEntry("inner-2", "ready").dump());
    m_store.put("servers/rewritten", "no JSON " + std::to_string(round));
    nlohmann::json impostor = instanceEntry("outer-1", "ready");
    impostor["service"] = "unknown";
    impostor["born"] = 2000;
    impostor["sequence"] = round + 1;
    m_store.put("servers/impostor", impostor.dump());
    after(oddEntryInterval, [this, round] { publishOddEntries(round + 1); });
}

void MeshEnvironment::publishRoutes(int version, const std::string &extraService)
{
    PublishedConfiguration configuration;
    configuration.version = version;
    configuration.host = host;
    configuration.limits = {{"idle_timeout_s", toSeconds(clientIdleTimeout)}};
    configuration.services = {"outer", "inner", "spare"};
    configuration.routes = {{"look", true, "/look/", "outer", 1, routeTimeoutSeconds},
                            {"pay", false, "/pay/", "outer", 0, routeTimeoutSeconds},
                            {"long", false, "/long/", "outer", 0, toSeconds(longRouteTimeout)},
                            {"inner", true, "/inner/", "inner", 2, routeTimeoutSeconds}};
    if (!extraService.empty()) {
        configuration.routes.push_back({"extra", true, "/extra/", extraService, 1, routeTimeoutSeconds});
    }
    m_store.put("op/config", configurationDocument(configuration));
}

//! Publishes versions in quick succession: a route moves to another service, is dropped and comes back.
void MeshEnvironment::publishChanges(int version)
{
    const char *services[] = {"spare", "", "outer"};
    publishRoutes(version, services[version % std::size(services)]);
    after(routeChangeInterval, [this, version] { publishChanges(version + 1); });
}

void MeshEnvironment::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code & /*error*/) { action(); });
}

void MeshEnvironment::run(std::function<void(int violations)> done)
{
    m_done = std::move(done);
    waitForNodes();
}

//! The nodes are ready when each one serves a request that needs a call through another node.
void MeshEnvironment::waitForNodes()
{
    auto pending = std::make_shared<std::size_t>(m_callers.size());
    auto served = std::make_shared<std::size_t>(0);
    for (std::size_t node = 0; node < m_callers.size(); ++node) {
        HttpRequest request;
        request.target = "/look/ready";
        request.headers.add("Host", host);
        request.headers.add("Request-Id", "ready-" + std::to_string(node) + "-" + std::to_string(m_random()));
        m_callers[node]->send(std::move(request), callerTimeout, [this, pending, served](const HttpResult &result) {
            *served += result.stage == HttpStage::Complete && result.response.status == 200 ? 1 : 0;
            if (--*pending > 0) {
                return;
            }
            if (*served < m_callers.size()) {
                after(readinessRetryInterval, [this] { waitForNodes(); });
                return;
            }
            std::printf("the nodes are ready\n");
            std::fflush(stdout);
            m_loadStart = steadyClock()();
            m_storeCallsBeforeLoad = m_store.requestCount();
            scheduleEvents();
            if (!m_options.stoppedInstance.empty()) {
                prepareStop();
            }
            sendNext();
        });
    }
}

void MeshEnvironment::scheduleEvents()
{
    const auto has = [this](const char *event) { return m_options.events.count(event) != 0; };
    const bool isSilent = has("silent");
    if (isSilent) {
        scheduleSilence();
    }
    const Duration changeDelay = firstEventDelay + (isSilent ? silenceDelay + changeAfterSilenceDelay : Duration::zero());
    if (has("drain")) {
        after(changeDelay, [this] {
            publishInstance(drainedInstance, "draining");
            m_leftAt[drainedInstance] = steadyClock()();
        });
    }
    if (has("removal")) {
        after(changeDelay, [this] {
            m_store.remove("servers/" + removedInstance);
            m_leftAt[removedInstance] = steadyClock()();
        });
    }
    if (has("route")) {
        // The change before a silence has version 2.
        after(changeDelay, [this, version = isSilent ? 3 : 2] {
            publishRoutes(version, "spare");
            m_routedAt = steadyClock()();
        });
    }
    if (has("changes")) {
        publishChanges(2);
    }
    if (has("odd")) {
        publishOddEntries(0);
    }
    if (has("history")) {
        after(firstEventDelay, [this] {
            m_store.put("servers/unreadable", "{\"service\":");
            m_store.discardHistory();
        });
    }
    if (has("restored")) {
        scheduleRestoration();
    }
    if (has("down")) {
        after(firstEventDelay + outageDuration, [this] { m_store.setDown(true); });
        after(firstEventDelay + outageDuration + outageDuration, [this] { m_store.setDown(false); });
    }
}

//! A change of each prefix ends all watches, so that those that become silent have just begun.
void MeshEnvironment::scheduleSilence()
{
    after(firstEventDelay, [this] {
        publishRoutes(2, "outer");
        m_store.put("servers/unreadable", "{\"service\":");
    });
    after(firstEventDelay + silenceDelay, [this] { m_storeRelay->silence(); });
}

//! The store loses a version of the routes, which is written again, and the next one has a lower revision than the lost one had.
//! With the event "unwritten", the store keeps the older version.
void MeshEnvironment::scheduleRestoration()
{
    const bool isWrittenAgain = m_options.events.count("unwritten") == 0;
    after(copyDelay, [this] { m_store.copy(); });
    after(firstEventDelay, [this] {
        for (int i = 0; i < lostWrites; ++i) {
            m_store.put("other/" + std::to_string(i), "x");
        }
        publishRoutes(2, "outer");
    });
    after(restorationOutageDelay, [this] { m_store.setDown(true); });
    after(restorationDelay, [this, isWrittenAgain] {
        m_store.restore();
        m_store.setDown(false);
        if (isWrittenAgain) {
            publishRoutes(2, "outer");
        }
    });
    if (isWrittenAgain) {
        after(routeAfterRestorationDelay, [this] {
            publishRoutes(3, "spare");
            m_routedAt = steadyClock()();
        });
    }
}

void MeshEnvironment::sendNext()
{
    if (steadyClock()() - m_loadStart >= m_options.length) {
        after(callerTimeout + answerGracePeriod, [this] { m_done(check()); });
        return;
    }
    std::size_t node = 0;
    do {
        node = uniformIndex(m_random, m_callers.size());
    } while (m_options.sparedInstances.count(m_backends[node]->options().id) != 0);
    const double draw = uniformFraction(m_random);
    sendRequest(node, draw >= 0.3, draw < 0.3 ? "/pay/1" : (draw < 0.9 ? "/look/1" : "/extra/1"));
    after(fromSeconds(1 / m_options.requestsPerSecond), [this] { sendNext(); });
}

void MeshEnvironment::sendRequest(std::size_t node, bool isIdempotent, const std::string &path)
{
    const std::string id = "r" + std::to_string(m_sentRequests.size());
    m_sentRequests.push_back(send(*m_callers[node], id, isIdempotent, path, callerTimeout));
}

std::shared_ptr<MeshEnvironment::SentRequest>
MeshEnvironment::send(HttpClient &caller, const std::string &id, bool isIdempotent, const std::string &path, Duration timeout)
{
    auto sent = std::make_shared<SentRequest>();
    sent->id = id;
    sent->isIdempotent = isIdempotent;
    sent->at = steadyClock()();
    HttpRequest request;
    request.method = isIdempotent ? "GET" : "POST";
    request.target = path;
    request.headers.add("Host", host);
    request.headers.add("Request-Id", sent->id);
    request.headers.add("Deadline-Milliseconds", std::to_string(timeout / std::chrono::milliseconds(1)));
    request.body = isIdempotent ? "" : "a body";
    caller.send(std::move(request), timeout + answerGracePeriod, [sent](const HttpResult &result) {
        sent->result = result;
        sent->isEnded = true;
    });
    return sent;
}

std::size_t MeshEnvironment::indexOf(const std::string &instance) const
{
    const auto found =
        std::find_if(m_backends.begin(), m_backends.end(), [&instance](const auto &backend) { return backend->options().id == instance; });
    return static_cast<std::size_t>(found - m_backends.begin());
}

std::vector<MeshEnvironment::StopCall> MeshEnvironment::stopCalls(const std::string &kind)
{
    using std::chrono::milliseconds;
    std::vector<StopCall> calls;
    if (kind == "stuck") {
        return calls;
    }
    if (kind == "quiet") {
        // An idle process decides to exit 3.2 to 3.25 s after the signal.
        for (milliseconds at(3255); at < milliseconds(3375); at += milliseconds(2)) {
            const bool isIdempotent = calls.size() % 2 == 1;
            calls.push_back({at, isIdempotent, isIdempotent ? "/look/1" : "/pay/1", callerTimeout});
        }
        return calls;
    }
    for (milliseconds at(0); at < milliseconds(5900); at += milliseconds(15)) {
        const bool isIdempotent = calls.size() % 2 == 1;
        calls.push_back({at, isIdempotent, isIdempotent ? "/look/1" : "/pay/1", callerTimeout});
        if (calls.size() % 20 == 0) {
            calls.push_back({at, false, pathBeyondStop, longRouteTimeout});
        }
    }
    return calls;
}

void MeshEnvironment::prepareStop()
{
    const std::vector<StopCall> calls = stopCalls(m_options.stopCalls);
    const std::size_t stopped = indexOf(m_options.stoppedInstance);
    const HttpClient::Options options{m_backends[stopped]->options().node, maximumBodyBytes};
    for (std::size_t i = 0; i < calls.size(); ++i) {
        m_stopCallers.push_back(std::make_unique<HttpClient>(m_context, options));
        m_stopRequests.push_back(send(*m_stopCallers.back(), "w" + std::to_string(i), true, "/inner/1", callerTimeout));
    }
    Endpoint readiness = options.address;
    readiness.port = static_cast<std::uint16_t>(m_options.port + 3);
    m_prober = std::make_unique<HttpClient>(m_context, HttpClient::Options{readiness, maximumBodyBytes});
    after(stopDelay, [this, calls, stopped] {
        if (m_options.stopCalls == "late") {
            for (int i = 0; i < requestsAcrossStop; ++i) {
                const std::size_t other = static_cast<std::size_t>(i) % (m_callers.size() - 1);
                HttpClient &caller = *m_callers[(stopped + 1 + other) % m_callers.size()];
                m_requestsAcrossStop.push_back(send(caller, "x" + std::to_string(i), false, pathAcrossStop, timeoutAcrossStop));
            }
        }
        if (m_options.stopCalls == "stuck") {
            for (int i = 0; i < requestsAcrossStop; ++i) {
                const std::string id = "s" + std::to_string(i);
                m_stopRequests.push_back(send(*m_callers[stopped], id, false, pathBeyondStop, longRouteTimeout));
            }
        }
        std::printf("stop now\n");
        std::fflush(stdout);
        waitForStop(calls);
    });
}

//! The shutdown has begun when the node is no longer ready.
void MeshEnvironment::waitForStop(const std::vector<StopCall> &calls)
{
    HttpRequest request;
    request.target = "/readiness";
    m_prober->send(std::move(request), callerTimeout, [this, calls](const HttpResult &result) {
        if (result.stage == HttpStage::Complete && result.response.status == 200) {
            after(probeInterval, [this, calls] { waitForStop(calls); });
            return;
        }
        for (std::size_t i = 0; i < calls.size(); ++i) {
            after(calls[i].afterStop, [this, i, call = calls[i]] {
                m_stopRequests.push_back(send(*m_stopCallers[i], "s" + std::to_string(i), call.isIdempotent, call.path, call.timeout));
            });
        }
    });
}

void MeshEnvironment::reportViolation(int &violations, const std::string &description) const
{
    constexpr int maximumPrinted = 10;
    if (++violations <= maximumPrinted) {
        std::printf("VIOLATION: %s\n", description.c_str());
    }
}

int MeshEnvironment::check()
{
    const int violations = checkRuns() + checkDrain() + checkRoute() + checkStop() + checkStoreCalls();
    std::map<std::string, int> resultCounts;
    int served = 0;
    for (const auto &sent : m_sentRequests) {
        const bool isWhole = sent->result.stage == HttpStage::Complete;
        const char *stage = !sent->isEnded ? "no answer" : (sent->result.stage == HttpStage::NotSent ? "no connection" : "cut");
        ++resultCounts[isWhole ? std::to_string(sent->result.response.status) : stage];
        served += isWhole && sent->result.response.status == 200 ? 1 : 0;
    }
    std::printf("%zu requests", m_sentRequests.size());
    for (const auto &[result, count] : resultCounts) {
        std::printf(", %s: %d", result.c_str(), count);
    }
    std::printf("\n");
    int allViolations = violations;
    if (served < minimumServedShare * static_cast<double>(m_sentRequests.size())) {
        reportViolation(allViolations, "only " + std::to_string(served) + " requests were served");
    }
    return allViolations;
}

//! Checks that each response belongs to its request, that no request reported as not run has run, that requests which ran
//! got a whole response, and that requests which are not idempotent ran at most once.
int MeshEnvironment::checkRuns()
{
    int violations = 0;
    std::map<std::string, int> runs;
    for (const auto &backend : m_backends) {
        for (const auto &run : backend->runs()) {
            ++runs[run.request];
        }
    }
    for (const auto *requests : {&m_sentRequests, &m_stopRequests, &m_requestsAcrossStop}) {
        for (const auto &sent : *requests) {
            violations += checkRun(*sent, runs[sent->id]);
        }
    }
    return violations;
}

int MeshEnvironment::checkRun(const SentRequest &sent, int runs)
{
    int violations = 0;
    const HttpResponse &response = sent.result.response;
    const bool isWhole = sent.result.stage == HttpStage::Complete;
    if (isWhole && response.status == 200 && response.body != PlainBackend::bodyFor(sent.id)) {
        reportViolation(violations, sent.id + " got the response to another request");
    }
    if (isWhole && response.status == 503 && runs > 0) {
        reportViolation(violations, sent.id + " was reported as not run but ran");
    }
    if (!isWhole && sent.result.stage != HttpStage::NotSent && runs > 0) {
        reportViolation(violations, sent.id + " ran but its response was lost");
    }
    if (!sent.isIdempotent && runs > 1) {
        reportViolation(violations, sent.id + " ran " + std::to_string(runs) + " times");
    }
    return violations;
}

//! Checks that calls sent to the stopped instance are answered by their backend servers or refused, and that the runs beside it
//! that were in progress could finish. Prints the answers.
int MeshEnvironment::checkStop()
{
    int violations = 0;
    if (m_options.stoppedInstance.empty()) {
        return violations;
    }
    std::map<std::string, int> resultCounts;
    for (const auto &sent : m_stopRequests) {
        const bool isWhole = sent->result.stage == HttpStage::Complete;
        const bool isSent = sent->result.stage != HttpStage::NotSent;
        const bool isOfBackend = sent->result.response.headers.find("Response-Signature") != nullptr;
        const std::string status = std::to_string(sent->result.response.status) + (isOfBackend ? "" : " of the node");
        ++resultCounts[isWhole ? status : (isSent ? "closed" : "no connection")];
    }
    std::printf("%zu requests to the stopped instance", m_stopRequests.size());
    for (const auto &[result, count] : resultCounts) {
        std::printf(", %s: %d", result.c_str(), count);
    }
    std::printf("\n");
    for (const auto &sent : m_requestsAcrossStop) {
        if (sent->result.stage != HttpStage::Complete || sent->result.response.status != 200) {
            reportViolation(violations, sent->id + " was in progress at the stop and got " + std::to_string(sent->result.response.status));
        }
    }
    return violations;
}

int MeshEnvironment::checkDrain()
{
    int violations = 0;
    for (const auto &backend : m_backends) {
        const auto left = m_leftAt.find(backend->options().id);
        if (left == m_leftAt.end()) {
            continue;
        }
        for (const auto &run : backend->runs()) {
            if (run.at > left->second + maximumPropagationTime) {
                reportViolation(violations, run.request + " reached " + left->first + ", which is leaving or gone");
            }
        }
    }
    return violations;
}

//! Checks that no node calls the store in a loop, whatever state it is in.
int MeshEnvironment::checkStoreCalls()
{
    int violations = 0;
    const std::uint64_t calls = m_store.requestCount() - m_storeCallsBeforeLoad;
    const double maximumCalls =
        maximumStoreCallsPerNode * static_cast<double>(m_backends.size()) * toSeconds(steadyClock()() - m_loadStart);
    std::printf("%llu calls to the store\n", static_cast<unsigned long long>(calls));
    if (static_cast<double>(calls) > maximumCalls) {
        reportViolation(violations, std::to_string(calls) + " calls to the store");
    }
    return violations;
}

//! Checks that the changed route leads only to the new service, and that the new service was not used before the change. Routes that
//! change all the time lead to either.
int MeshEnvironment::checkRoute()
{
    int violations = 0;
    if (m_options.events.count("changes") != 0) {
        return violations;
    }
    bool isNewRouteUsed = m_routedAt == TimePoint();
    for (const auto &backend : m_backends) {
        const bool isNew = backend->options().service == "spare";
        for (const auto &run : backend->runs()) {
            if (run.path != "/extra/1") {
                continue;
            }
            isNewRouteUsed = isNewRouteUsed || isNew;
            const bool isLate = m_routedAt != TimePoint() && run.at > m_routedAt + maximumPropagationTime;
            if ((isNew && (m_routedAt == TimePoint() || run.at < m_routedAt)) || (!isNew && isLate)) {
                reportViolation(violations, run.request + " ran at " + backend->options().id);
            }
        }
    }
    if (!isNewRouteUsed) {
        reportViolation(violations, "the new route was never used");
    }
    return violations;
}

} // namespace chervilpaddle::standins
