#include "crowdenvironment.h"

#include "platformdocuments.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <set>

namespace chervilpaddle::standins {

namespace {

constexpr std::size_t maximumBodyBytes = 8 * mebibyte;
constexpr Duration serviceTime = std::chrono::milliseconds(20);
constexpr Duration callerTimeout = std::chrono::seconds(5);
constexpr double routeTimeoutSeconds = 5;
constexpr Duration retryInterval = std::chrono::milliseconds(100);
const std::string host = "world.example";
const std::string service = "archive";
//! The statuses that promise that the request has not run and never will.
const std::set<int> notRunStatuses = {408, 421, 429, 503};

} // namespace

//! Sends ordinary requests to one node and probes whether it is ready, each time on a new connection.
struct CrowdEnvironment::Caller
{
    Caller(boost::asio::io_context &context, const Endpoint &node, const Endpoint &readiness)
        : client(context, {node, maximumBodyBytes})
        , prober(context, {readiness, maximumBodyBytes})
    {
    }

    HttpClient client;
    HttpClient prober;
    //! The status of each request's response; zero if there was no complete one.
    std::map<std::string, int> statuses;
    int servedBesideCrowd = 0;
    int readyBesideCrowd = 0;
};

CrowdEnvironment::CrowdEnvironment(boost::asio::io_context &context, CrowdEnvironmentOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_store(context, {"127.0.0.1", static_cast<std::uint16_t>(m_options.port)})
{
    for (std::size_t node = 0; node < m_options.nodes; ++node) {
        PlainBackend::Options backend;
        backend.id = service + "-" + std::to_string(node + 1);
        backend.service = service;
        backend.address = addressOf(node, 5);
        backend.node = addressOf(node, 1);
        backend.serviceTime = serviceTime;
        m_backends.push_back(std::make_unique<PlainBackend>(m_context, backend));
        m_callers.push_back(std::make_unique<Caller>(m_context, addressOf(node, 1), addressOf(node, 3)));
    }
    publish();
}

CrowdEnvironment::~CrowdEnvironment() = default;

//! tests/process/lib/mesh.sh gives the nodes the same addresses.
Endpoint CrowdEnvironment::addressOf(std::size_t node, int portOffset) const
{
    return {"127.0.0." + std::to_string(11 + node), static_cast<std::uint16_t>(m_options.port + portOffset)};
}

void CrowdEnvironment::publish()
{
    for (const auto &backend : m_backends) {
        m_store.put("servers/" + backend->options().id, instanceDocument(backend->options(), "a", "ready").dump());
    }
    PublishedConfiguration configuration;
    configuration.host = host;
    configuration.services = {service};
    configuration.routes = {{"pay", false, "/pay/", service, 0, routeTimeoutSeconds},
                            {"bytes", true, "/bytes/", service, 2, routeTimeoutSeconds}};
    m_store.put("op/config", configurationDocument(configuration));
}

std::error_code CrowdEnvironment::listen()
{
    for (const auto &backend : m_backends) {
        if (const std::error_code error = backend->listen(); error) {
            return error;
        }
    }
    return m_store.listen();
}

void CrowdEnvironment::run(std::function<void(int violations)> done)
{
    m_done = std::move(done);
    sendUntilServed([this] {
        std::printf("the nodes are ready\n");
        std::fflush(stdout);
        startCrowds();
        after(m_options.length, [this] { endCrowds(); });
    });
}

void CrowdEnvironment::startCrowds()
{
    m_isCrowded = true;
    for (std::size_t node = 0; node < m_options.crowdedNodes; ++node) {
        Crowd::Options options;
        options.address = addressOf(node, m_options.doorOffset);
        options.behaviour = *findCrowdBehaviour(m_options.behaviour);
        options.clients = m_options.clientsPerNode;
        options.host = host;
        options.target = m_options.target;
        options.idPrefix = "crowd-" + std::to_string(node) + "-";
        m_crowds.push_back(std::make_unique<Crowd>(m_context, std::move(options)));
        m_crowds.back()->start();
    }
    for (const auto &caller : m_callers) {
        keepSending(*caller);
        keepProbing(*caller);
    }
}

void CrowdEnvironment::keepSending(Caller &caller)
{
    send(caller, [this, &caller](bool isServed) {
        caller.servedBesideCrowd += isServed && m_isCrowded ? 1 : 0;
        if (m_isCrowded) {
            after(retryInterval, [this, &caller] { keepSending(caller); });
        }
    });
}

void CrowdEnvironment::keepProbing(Caller &caller)
{
    probe(caller, [this, &caller](bool isReady) {
        caller.readyBesideCrowd += isReady && m_isCrowded ? 1 : 0;
        if (m_isCrowded) {
            after(retryInterval, [this, &caller] { keepProbing(caller); });
        }
    });
}

void CrowdEnvironment::endCrowds()
{
    m_isCrowded = false;
    for (const auto &crowd : m_crowds) {
        crowd->leave();
    }
    std::printf("the crowd has left\n");
    std::fflush(stdout);
    sendUntilServed([this] { m_done(check()); });
}

void CrowdEnvironment::send(Caller &caller, std::function<void(bool isServed)> ended)
{
    const std::string id = "caller-" + std::to_string(++m_lastId);
    HttpRequest request;
    request.method = "POST";
    request.target = "/pay/1";
    request.body = std::string(m_options.callerBodyBytes, 'p');
    request.headers.add("Host", host);
    request.headers.add("Request-Id", id);
    request.headers.add("Connection", "close");
    caller.client.send(std::move(request), callerTimeout, [&caller, id, ended = std::move(ended)](const HttpResult &result) {
        const bool isWhole = result.stage == HttpStage::Complete;
        caller.statuses[id] = isWhole ? result.response.status : 0;
        ended(isWhole && result.response.status == 200 && result.response.body == PlainBackend::bodyFor(id));
    });
}

void CrowdEnvironment::probe(Caller &caller, std::function<void(bool isReady)> ended)
{
    HttpRequest request;
    request.target = "/readiness";
    request.headers.add("Connection", "close");
    caller.prober.send(std::move(request), callerTimeout, [ended = std::move(ended)](const HttpResult &result) {
        ended(result.stage == HttpStage::Complete && result.response.status == 200);
    });
}

void CrowdEnvironment::sendUntilServed(const std::function<void()> &answered)
{
    const auto pending = std::make_shared<std::size_t>(m_callers.size());
    for (const auto &caller : m_callers) {
        sendUntilServed(*caller, [pending, answered] {
            if (--*pending == 0) {
                answered();
            }
        });
    }
}

void CrowdEnvironment::sendUntilServed(Caller &caller, std::function<void()> answered)
{
    send(caller, [this, &caller, answered = std::move(answered)](bool isServed) {
        probe(caller, [this, &caller, answered, isServed](bool isReady) {
            if (isServed && isReady) {
                answered();
            } else {
                after(retryInterval, [this, &caller, answered] { sendUntilServed(caller, answered); });
            }
        });
    });
}

int CrowdEnvironment::check() const
{
    std::map<std::string, int> runs;
    for (const auto &backend : m_backends) {
        for (const auto &run : backend->runs()) {
            ++runs[run.request];
        }
    }
    int violations = 0;
    std::map<int, int> counts;
    const auto checkPromises = [&](const std::map<std::string, int> &statuses) {
        for (const auto &[id, status] : statuses) {
            ++counts[status];
            if (notRunStatuses.count(status) != 0 && runs[id] > 0) {
                ++violations;
                std::printf("VIOLATION: request %s ran and was answered %d\n", id.c_str(), status);
            }
        }
    };
    for (const auto &crowd : m_crowds) {
        std::printf("a crowd opened %zu connections\n", crowd->opened());
        checkPromises(crowd->statuses());
    }
    for (std::size_t node = 0; node < m_options.nodes; ++node) {
        const Caller &caller = *m_callers[node];
        std::printf("node %zu: beside the crowd, %d of %zu ordinary requests were served and %d probes found it ready\n",
                    node + 1,
                    caller.servedBesideCrowd,
                    caller.statuses.size(),
                    caller.readyBesideCrowd);
        checkPromises(caller.statuses);
        if (caller.servedBesideCrowd == 0) {
            ++violations;
            std::printf("VIOLATION: no ordinary request was served beside the crowd\n");
        }
        if (caller.readyBesideCrowd == 0) {
            ++violations;
            std::printf("VIOLATION: no probe found the node ready beside the crowd\n");
        }
        for (const auto &[id, status] : caller.statuses) {
            if (runs[id] > 1) {
                ++violations;
                std::printf("VIOLATION: payment %s ran %d times\n", id.c_str(), runs[id]);
            }
        }
    }
    for (const auto &[status, count] : counts) {
        std::printf("status %d: %d\n", status, count);
    }
    return violations;
}

void CrowdEnvironment::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code & /*error*/) { action(); });
}

} // namespace chervilpaddle::standins
