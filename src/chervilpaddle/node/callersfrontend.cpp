#include <chervilpaddle/node/callersfrontend.h>

#include <chervilpaddle/node/callresponse.h>

#include <boost/asio/post.hpp>

namespace chervilpaddle {

namespace {

constexpr int maxDeadlineMilliseconds = 300'000;
constexpr int maxAttempt = 1'000'000;
constexpr std::size_t maxRequestIdLength = 128;

Payload takePayload(HttpExchange &exchange)
{
    return {0, exchange.request().headers.valueOr(headers::contentType, {}), std::make_shared<const std::string>(exchange.takeBody())};
}

} // namespace

CallersFrontend::CallersFrontend(boost::asio::io_context &coreContext, NodeCore &core, EventLog &log)
    : m_coreContext(coreContext)
    , m_core(core)
    , m_log(log)
    , m_chain(entryFilterChain(
          {core.clock(), [&core] { return core.isDraining(); }, [&core] { return core.bundle(); }, [&core] { return core.rates(); }}))
    , m_requestPrefix(std::to_string(core.incarnation().value()) + "-")
{
}

void CallersFrontend::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto request = std::make_shared<EntryRequest>(parse(*exchange));
    exchange->setRequestId(request->request);
    if (request->operation.isEmpty() || request->request.value().size() > maxRequestIdLength) {
        refuse(exchange, *request, ResultCode::Malformed);
        return;
    }
    const auto refusal = m_chain.run(*request);
    if (!refusal) {
        submit(exchange, request);
    } else if (refusal->code == ResultCode::TicketRequired) {
        offerTicket(exchange, *request);
    } else {
        refuse(exchange, *request, refusal->code);
    }
}

EntryRequest CallersFrontend::parse(HttpExchange &exchange) const
{
    const HttpRequest &http = exchange.request();
    EntryRequest request;
    request.arrival = m_core.clock()();
    request.operation = operationOf(http);
    request.customer = CustomerName(http.headers.valueOr(headers::customer, {}));
    request.request = RequestId(http.headers.valueOr(headers::request, {}));
    if (const std::string *ticket = http.headers.find(headers::ticket); ticket != nullptr) {
        request.ticket = parseTicket(*ticket);
        request.ticketMalformed = !request.ticket;
    }
    const auto deadline = parseIntegerHeader(http.headers.valueOr(headers::deadline, "-1"), -1, maxDeadlineMilliseconds);
    const auto attempt = parseIntegerHeader(http.headers.valueOr(headers::attempt, "0"), 0, maxAttempt);
    // A missing header counts as a retry: the caller may have presented its ticket before.
    const auto ticketAttempt = parseIntegerHeader(http.headers.valueOr(headers::ticketAttempt, "1"), 0, maxAttempt);
    if (!deadline || !attempt || !ticketAttempt) {
        request.operation = OperationName();
    } else if (*deadline >= 0) {
        request.requestedTimeout = std::chrono::milliseconds(*deadline);
    }
    request.attempt = attempt.value_or(0);
    request.ticketAttempt = ticketAttempt.value_or(0);
    request.payload = takePayload(exchange);
    return request;
}

void CallersFrontend::refuse(const std::shared_ptr<HttpExchange> &exchange, const EntryRequest &request, ResultCode code)
{
    // This refusal does not rule out that an earlier attempt with the same ticket has run.
    const bool isTicketedRetry = request.ticket && request.ticketAttempt > 0;
    const ResultCode reported = isTicketedRetry && outcomeOf(code) == Outcome::NotRun ? ResultCode::RepeatUndecided : code;
    m_log.debug({"request refused", code, request.request, request.operation.value()});
    exchange->respond(makeResponse(refusedResult(reported), request.request));
}

void CallersFrontend::offerTicket(const std::shared_ptr<HttpExchange> &exchange, const EntryRequest &request)
{
    boost::asio::post(m_coreContext, [this, exchange, request] {
        const auto ticket = m_core.issueTicket(request.operation, request.terms->priority.value());
        const ResultCode code = ticket ? ResultCode::TicketRequired : ResultCode::NoInstance;
        exchange->respond(makeResponse(refusedResult(code), request.request, ticket));
    });
}

void CallersFrontend::submit(const std::shared_ptr<HttpExchange> &exchange, const std::shared_ptr<EntryRequest> &request)
{
    if (request->request.isEmpty()) {
        request->request = RequestId(m_requestPrefix + std::to_string(++m_lastRequest));
        request->rank = rankOf(request->request, request->terms->priority, request->attempt > 0, request->rank >= minPriority);
    }
    // Accessed on the core thread only: set before the call can end, read when the caller disconnects.
    const auto entry = std::make_shared<EntryRequestId>();
    boost::asio::post(m_coreContext, [this, exchange, request, entry] {
        *entry = m_core.startRequest(*request, [this, exchange, request](const CallResult &result) {
            m_log.debug({"request ended", result.code, request->request, request->operation.value()});
            std::optional<Ticket> newTicket;
            if (request->ticket && outcomeOf(result.code) == Outcome::NotRun) {
                newTicket = m_core.issueTicket(request->operation, request->rank);
            }
            exchange->respond(makeResponse(result, request->request, newTicket));
        });
    });
    exchange->onDisconnect([this, entry] { boost::asio::post(m_coreContext, [this, entry] { m_core.cancelRequest(*entry); }); });
}

EgressFrontend::EgressFrontend(boost::asio::io_context &coreContext, NodeCore &core)
    : m_coreContext(coreContext)
    , m_core(core)
{
}

void EgressFrontend::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    EgressRequest request;
    request.contextHeader = exchange->request().headers.valueOr(headers::context, {});
    request.operation = operationOf(exchange->request());
    request.payload = takePayload(*exchange);
    const RequestId id(exchange->request().headers.valueOr(headers::request, {}));
    exchange->setRequestId(id);
    const auto call = std::make_shared<CallId>();
    boost::asio::post(m_coreContext, [this, exchange, request, id, call] {
        *call = m_core.startBackendCall(request, [exchange, id](const CallResult &result) { exchange->respond(makeResponse(result, id)); });
    });
    exchange->onDisconnect([this, call] { boost::asio::post(m_coreContext, [this, call] { m_core.cancelBackendCall(*call); }); });
}

} // namespace chervilpaddle
