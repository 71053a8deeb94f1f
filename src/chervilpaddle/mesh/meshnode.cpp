#include <chervilpaddle/mesh/meshnode.h>

#include <chervilpaddle/base/rcucell.h>
#include <chervilpaddle/mesh/meshcore.h>
#include <chervilpaddle/node/nodemetrics.h>
#include <chervilpaddle/transport/eventloop.h>
#include <chervilpaddle/transport/httpserver.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>

namespace chervilpaddle {

namespace {

namespace asio = boost::asio;

constexpr Duration shutdownPollInterval = std::chrono::milliseconds(50);
//! During shutdown, callers count as gone once their connections have been idle for this long.
constexpr auto callerQuietTime = std::chrono::milliseconds(500);
constexpr Duration closingPollInterval = std::chrono::milliseconds(10);
//! Time for the last messages to peers to be written.
constexpr Duration peerFlushTime = std::chrono::milliseconds(100);
constexpr std::size_t maxOperatorBodyBytes = 64 * kibibyte;

HttpServer::Options
serverOptions(const Endpoint &address, std::size_t maxBodyBytes, std::size_t maxConnections, const ResourceBudget &budget)
{
    HttpServer::Options options;
    options.address = address;
    options.maxBodyBytes = maxBodyBytes;
    options.maxConnections = maxConnections;
    options.maxTotalBodyBytes = budget.requestBytes;
    return options;
}

} // namespace

class MeshNode::Impl
{
public:
    Impl(const NodeSettings &settings, PlatformProtocol protocol, Reload reload)
        : m_settings(settings)
        , m_budget(divideResources(settings.machine))
        , m_protocol(std::move(protocol))
        , m_reload(std::move(reload))
        , m_log(settings.instance, settings.logFormat, settings.logLevel)
        , m_core(m_context, settings, m_protocol, m_log)
        , m_callers({&m_context}, callersOptions(), [this](auto exchange) { m_core.handle(exchange); })
        , m_readiness({&m_context},
                      serverOptions(settings.readiness, maxOperatorBodyBytes, m_budget.operatorConnections, m_budget),
                      [this](auto exchange) { handleReadiness(exchange); })
        , m_operators({&m_context},
                      serverOptions(settings.operators, maxOperatorBodyBytes, m_budget.operatorConnections, m_budget),
                      [this](auto exchange) { handleOperator(exchange); })
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_timer(m_context)
    {
        m_core.onClientLimits([this](const ClientLimits &allowed) { m_callers.setLimits(widened({}, allowed)); });
    }

    std::error_code run()
    {
        if (const std::error_code error = listenAll(); error) {
            return error;
        }
        m_log.info({"node started",
                    ResultCode::Success,
                    {},
                    "service " + m_settings.service.value() + ", callers at " + toText(m_settings.callers)});
        waitForSignal();
        runEventLoop(m_context, [this](const std::string &what) { m_core.handleFailedHandler(what); });
        m_log.info(
            {"node stopped",
             ResultCode::Success,
             {},
             "peer frames and bytes sent: " + toText(m_core.transport().sent()) + "; received: " + toText(m_core.transport().received())});
        m_log.flush();
        return {};
    }

private:
    HttpServer::Options callersOptions()
    {
        HttpServer::Options options = serverOptions(m_settings.callers, maxBodyBytes, m_budget.callerConnections, m_budget);
        options.responseMemory = m_core.responseMemory();
        options.connectionClosed = [this](const ClosedConnection &closed) { m_core.handleClosedConnection(closed); };
        return options;
    }

    std::error_code listenAll()
    {
        const std::pair<HttpServer *, const char *> servers[] = {
            {&m_callers, "listen.callers"}, {&m_readiness, "listen.readiness"}, {&m_operators, "listen.operators"}};
        for (const auto &[server, key] : servers) {
            if (const std::error_code error = server->listen(); error) {
                m_log.error({"cannot bind listening address", ResultCode::AddressInUse, {}, key});
                return error;
            }
        }
        const std::error_code error = m_core.start();
        if (error) {
            m_log.error({"cannot bind listening address", ResultCode::AddressInUse, {}, "listen.peers"});
        }
        return error;
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            waitForSignal();
            signal == SIGHUP ? reload() : beginShutdown();
        });
    }

    //! Applies the log level only. Addresses and names are fixed for the life of the process; changes to them take effect at
    //! the next start.
    void reload()
    {
        std::vector<Problem> problems;
        const auto settings = m_reload(problems);
        if (!settings) {
            for (const Problem &problem : problems) {
                m_log.warn({"settings not reloaded", problem.code, {}, toText(problem)});
            }
            return;
        }
        m_log.info({"settings reloaded", ResultCode::Success, {}, "log level " + settings->logLevel});
        m_log.setLevel(settings->logLevel);
    }

    void handleReadiness(const std::shared_ptr<HttpExchange> &exchange)
    {
        const bool isReady = m_core.isReady();
        exchange->respond(textResponse(isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n"));
    }

    void handleOperator(const std::shared_ptr<HttpExchange> &exchange)
    {
        if (exchange->request().target == "/metrics") {
            exchange->respond(textResponse(200, "text/plain; version=0.0.4", m_metrics.scrape(m_core)));
        } else if (exchange->request().target == "/healthz") {
            handleReadiness(exchange);
        } else {
            exchange->respond(textResponse(404, "text/plain", "not found\n"));
        }
    }

    void beginShutdown()
    {
        if (m_core.isShuttingDown()) {
            return;
        }
        m_log.info(
            {"graceful shutdown started", ResultCode::Leaving, {}, std::to_string(m_core.executor().running()) + " runs in progress"});
        m_callers.closeAfterResponses();
        m_core.beginShutdown();
        pollShutdown();
    }

    void pollShutdown()
    {
        m_timer.expires_after(shutdownPollInterval);
        m_timer.async_wait([this](const boost::system::error_code & /*error*/) {
            const bool isIdle = m_core.isIdle() && m_callers.hasBeenIdleFor(callerQuietTime);
            if (m_core.isShutdownComplete(isIdle)) {
                beginClosing();
            } else {
                pollShutdown();
            }
        });
    }

    void beginClosing()
    {
        if (!m_core.isIdle()) {
            m_log.warn({"graceful shutdown gives up work in flight",
                        ResultCode::ExecutorGone,
                        {},
                        std::to_string(m_core.executor().running()) + " runs and " + std::to_string(m_core.router().outstanding())
                            + " outbound calls"});
        }
        m_core.beginClosing();
        for (HttpServer *server : {&m_callers, &m_readiness, &m_operators}) {
            server->beginClosing();
        }
        m_closingSince = steadyClock()();
        pollClosing();
    }

    //! The process exits when callers have their responses, however slowly they read them.
    void pollClosing()
    {
        m_timer.expires_after(closingPollInterval);
        m_timer.async_wait([this](const boost::system::error_code & /*error*/) {
            const bool areResponsesWritten = !m_callers.hasConnections() && steadyClock()() - m_closingSince >= peerFlushTime;
            if (!areResponsesWritten && !m_core.isExitDue()) {
                pollClosing();
                return;
            }
            if (!areResponsesWritten) {
                m_log.warn({"exit cuts open connections of callers", ResultCode::ResponseUndelivered, {}, "the grace period is over"});
            }
            m_context.stop();
        });
    }

    const rcu::ThreadRegistration m_registration;
    NodeSettings m_settings;
    ResourceBudget m_budget;
    PlatformProtocol m_protocol;
    Reload m_reload;
    EventLog m_log;
    asio::io_context m_context{1};
    MeshCore m_core;
    NodeMetrics m_metrics;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_operators;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    TimePoint m_closingSince;
};

MeshNode::MeshNode(const NodeSettings &settings, PlatformProtocol protocol, Reload reload)
    : m_impl(std::make_unique<Impl>(settings, std::move(protocol), std::move(reload)))
{
}

MeshNode::~MeshNode() = default;

std::error_code MeshNode::run()
{
    return m_impl->run();
}

} // namespace chervilpaddle
