#include <chervilpaddle/base/units.h>
#include <chervilpaddle/node/node.h>

#include <chervilpaddle/node/callersfrontend.h>
#include <chervilpaddle/node/nodecore.h>
#include <chervilpaddle/node/nodemetrics.h>
#include <chervilpaddle/node/statedump.h>
#include <chervilpaddle/transport/eventloop.h>
#include <chervilpaddle/transport/httpserver.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <thread>
#include <vector>

namespace chervilpaddle {

namespace {

namespace asio = boost::asio;

constexpr auto drainPollInterval = std::chrono::milliseconds(20);
//! Time to flush the last responses to the sockets.
constexpr auto flushTime = std::chrono::milliseconds(200);
//! An HTTP server cannot safely close an idle connection, as the caller may be sending a request on it. Connections stay open
//! until their next response, which asks the caller to close them, or until all have been idle for this long.
constexpr auto callerQuietTime = std::chrono::milliseconds(1000);
//! Time that the drain may take beyond the longest deadline of the contracts.
constexpr Duration drainGracePeriod = std::chrono::seconds(1);
constexpr std::size_t maxOperatorBodyBytes = 64 * kibibyte;

//! An event loop with its own thread.
class EventLoop
{
public:
    asio::io_context &context()
    {
        return m_context;
    }
    void start(HandlerFailed handlerFailed)
    {
        m_thread = std::thread([this, handlerFailed = std::move(handlerFailed)] {
            const rcu::ThreadRegistration registration;
            runEventLoop(m_context, handlerFailed);
        });
    }
    void stop()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    std::thread m_thread;
};

} // namespace

class Node::Impl
{
public:
    explicit Impl(const NodeSettings &settings)
        : m_settings(settings)
        , m_log(settings.instance, settings.logFormat, settings.logLevel)
        , m_frontendLoops(static_cast<std::size_t>(settings.threads))
        , m_core(m_coreLoop.context(), settings, m_log)
        , m_callersFrontend(m_coreLoop.context(), m_core, m_log)
        , m_egressFrontend(m_coreLoop.context(), m_core)
        , m_callers(frontendContexts(), serverOptions(settings.callers), [this](auto exchange) { m_callersFrontend.handle(exchange); })
        , m_egress(frontendContexts(), serverOptions(settings.egress), [this](auto exchange) { m_egressFrontend.handle(exchange); })
        , m_operators({&m_mainContext}, {settings.operators, maxOperatorBodyBytes}, [this](auto exchange) { handleOperator(exchange); })
        , m_signals(m_mainContext, SIGTERM, SIGINT)
        , m_timer(m_mainContext)
    {
    }

    std::error_code run()
    {
        if (const std::error_code error = listenAll(); error) {
            return error;
        }
        const HandlerFailed handlerFailed = [this](const std::string &what) { logFailedHandler(m_log, what); };
        m_coreLoop.start(handlerFailed);
        for (EventLoop &loop : m_frontendLoops) {
            loop.start(handlerFailed);
        }
        m_log.info({"node started", ResultCode::Success, {}, toText(m_settings.callers)});
        m_signals.async_wait([this](const boost::system::error_code &error, int /*signal*/) {
            if (!error) {
                beginShutdown();
            }
        });
        runEventLoop(m_mainContext, handlerFailed);
        for (EventLoop &loop : m_frontendLoops) {
            loop.stop();
        }
        m_coreLoop.stop();
        m_log.flush();
        return {};
    }

private:
    HttpServer::Options serverOptions(const Endpoint &address)
    {
        HttpServer::Options options;
        options.address = address;
        options.maxBodyBytes = maxBodyBytes;
        options.responseMemory = m_core.responseMemory();
        options.connectionClosed = [this](const ClosedConnection &closed) { logClosedConnection(m_log, closed); };
        return options;
    }

    std::vector<asio::io_context *> frontendContexts()
    {
        std::vector<asio::io_context *> contexts;
        for (EventLoop &loop : m_frontendLoops) {
            contexts.push_back(&loop.context());
        }
        return contexts;
    }

    std::error_code listenAll()
    {
        const std::pair<HttpServer *, const char *> servers[] = {
            {&m_callers, "listen.callers"}, {&m_egress, "listen.egress"}, {&m_operators, "listen.operators"}};
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

    void handleOperator(const std::shared_ptr<HttpExchange> &exchange)
    {
        const HttpRequest &request = exchange->request();
        if (request.target == "/healthz") {
            exchange->respond(textResponse(m_core.isDraining() ? 503 : 200, "text/plain", m_core.isDraining() ? "draining\n" : "ok\n"));
        } else if (request.target == "/state") {
            asio::post(m_coreLoop.context(),
                       [this, exchange] { exchange->respond(textResponse(200, "application/json", stateDump(m_core))); });
        } else if (request.target == "/metrics") {
            asio::post(m_coreLoop.context(),
                       [this, exchange] { exchange->respond(textResponse(200, "text/plain; version=0.0.4", m_metrics.scrape(m_core))); });
        } else if (request.target == "/drain" && request.method == "POST") {
            asio::post(m_coreLoop.context(), [this, exchange] {
                m_core.drain("operator");
                exchange->respond(textResponse(200, "application/json", "{\"draining\":true}\n"));
            });
        } else {
            exchange->respond(textResponse(404, "text/plain", "not found\n"));
        }
    }

    void beginShutdown()
    {
        m_log.info({"graceful shutdown started", ResultCode::Leaving, {}, {}});
        m_callers.closeAfterResponses();
        asio::post(m_coreLoop.context(), [this] {
            m_core.drain("signal");
            m_shutdownDeadline = m_core.clock()() + m_core.bundle()->longestDeadline() + drainGracePeriod;
            asio::post(m_mainContext, [this] { pollDrain(); });
        });
    }

    void pollDrain()
    {
        m_timer.expires_after(drainPollInterval);
        m_timer.async_wait([this](const boost::system::error_code & /*error*/) {
            asio::post(m_coreLoop.context(), [this] {
                const bool isDrained = m_core.isDrained();
                const bool isLate = m_core.clock()() >= m_shutdownDeadline;
                if (!isDrained && isLate) {
                    logAbandonedWork();
                }
                asio::post(m_mainContext, [this, isDrained, isLate] { pollCallers(isDrained, isLate); });
            });
        });
    }

    void logAbandonedWork()
    {
        std::string detail = std::to_string(m_core.executor().running()) + " runs and " + std::to_string(m_core.router().outstanding())
            + " outbound calls; drain not confirmed by";
        for (const InstanceId &instance : m_core.links().drainUnacknowledgedBy()) {
            detail += " " + instance.value();
        }
        m_log.warn({"graceful shutdown gives up work in flight", ResultCode::ExecutorGone, {}, detail});
    }

    void pollCallers(bool isDrained, bool isLate)
    {
        if (isDrained) {
            m_callers.stopAccepting();
        }
        const bool isDone = isLate || (isDrained && m_callers.hasBeenIdleFor(callerQuietTime));
        isDone ? finishShutdown() : pollDrain();
    }

    void finishShutdown()
    {
        m_callers.stopAccepting();
        m_egress.stopAccepting();
        m_operators.stopAccepting();
        asio::post(m_coreLoop.context(), [this] { m_core.closeConnections(); });
        m_timer.expires_after(flushTime);
        m_timer.async_wait([this](const boost::system::error_code & /*error*/) {
            m_log.info({"node stopped", ResultCode::Success, {}, {}});
            m_mainContext.stop();
        });
    }

    const rcu::ThreadRegistration m_registration;
    NodeSettings m_settings;
    EventLog m_log;
    asio::io_context m_mainContext{1};
    EventLoop m_coreLoop;
    std::vector<EventLoop> m_frontendLoops;
    NodeCore m_core;
    NodeMetrics m_metrics;
    CallersFrontend m_callersFrontend;
    EgressFrontend m_egressFrontend;
    HttpServer m_callers;
    HttpServer m_egress;
    HttpServer m_operators;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    TimePoint m_shutdownDeadline;
};

Node::Node(const NodeSettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Node::~Node() = default;

std::error_code Node::run()
{
    return m_impl->run();
}

} // namespace chervilpaddle
