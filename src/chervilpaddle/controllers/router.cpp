#include <chervilpaddle/controllers/router.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

//! How long after its deadline a call still waits for the executor to report whether it ran.
constexpr Duration responseGracePeriod = std::chrono::milliseconds(20);
constexpr double maxHopBudget = 10;
//! Free retries of one call after refusals that did not reach a backend server.
constexpr int maxFreeReroutes = 3;

bool isRetriableRefusal(ResultCode code)
{
    switch (code) {
    case ResultCode::Shed:
    case ResultCode::Leaving:
    case ResultCode::DeadlineTooClose:
    case ResultCode::BackendUnreachable:
    case ResultCode::BackendRefused:
    case ResultCode::MintersExhausted:
        return true;
    default:
        return false;
    }
}

//! Whether the executor refused the call before it reached the backend server.
bool isRefusedBeforeBackend(ResultCode code)
{
    switch (code) {
    case ResultCode::Shed:
    case ResultCode::Leaving:
    case ResultCode::DeadlineTooClose:
    case ResultCode::BackendUnreachable:
    case ResultCode::MintersExhausted:
        return true;
    default:
        return false;
    }
}

bool isInstanceFailure(ResultCode code)
{
    switch (code) {
    case ResultCode::BackendUnreachable:
    case ResultCode::AnswerLost:
    case ResultCode::AnswerTruncated:
    case ResultCode::AnswerTooLarge:
    case ResultCode::ExecutorGone:
        return true;
    default:
        return false;
    }
}

} // namespace

Router::Router(Options options, Hooks hooks)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_picker(m_options.dataCentre, m_options.seed)
{
}

CallId Router::call(OutboundCall call, Completion completion)
{
    ++m_counters.calls;
    m_hopBudget = std::min(maxHopBudget, m_hopBudget + m_options.policy.hopRetryBudget);
    const CallId id(++m_lastCall);
    const TimePoint deadline = call.deadline;
    PendingCall &pending = m_pending[id];
    pending.call = std::move(call);
    pending.completion = std::move(completion);
    pending.allowanceBefore = pending.call.allowance->remaining();
    const TimePoint now = m_hooks.clock();
    if (deadline <= now) {
        const bool mayHaveRunBefore = pending.call.boundTicket && !pending.call.isFirstTicketUse;
        finish(id, mayHaveRunBefore ? ResultCode::RepeatUndecided : ResultCode::DeadlinePast, {});
        return id;
    }
    attempt(id);
    if (m_pending.count(id) != 0) {
        m_hooks.schedule(deadline - now + responseGracePeriod, [this, id] { handleDeadline(id); });
    }
    return id;
}

void Router::attempt(CallId id)
{
    PendingCall &pending = m_pending.at(id);
    if (pending.call.boundTicket) {
        const Ticket ticket = *pending.call.boundTicket;
        attemptBound(id, ticket);
        return;
    }
    // If sending fails, the instance has not received the call, so trying the next one is not a retry.
    while (true) {
        ResultCode refusal = ResultCode::NoInstance;
        const Candidate *candidate = pickCandidate(pending, refusal);
        if (candidate == nullptr) {
            const bool first = pending.attempts == 0;
            const ResultCode code = first ? refusal : pending.lastCode;
            const Payload payload = pending.lastPayload;
            finish(id, code, payload);
            return;
        }
        const Ticket ticket{{m_options.incarnation, ++m_lastSequence}, candidate->instance, candidate->incarnation};
        pending.tried.insert(ticket.executor);
        const BackendId backend = candidate->backend;
        if (sendAttempt(id, ticket, backend)) {
            return;
        }
    }
}

//! A call whose ticket was presented before may have run. Only its executor can report that it has not, so the result is
//! "not run" only for a ticket that is presented for the first time.
void Router::attemptBound(CallId id, const Ticket &ticket)
{
    const PendingCall &pending = m_pending.at(id);
    const bool first = pending.call.isFirstTicketUse;
    const Candidate *candidate = findLinked(serviceOf(pending.call.context.operation), ticket.executor);
    if (candidate != nullptr && candidate->incarnation != ticket.executorIncarnation) {
        finish(id, first ? ResultCode::NoInstance : ResultCode::ExecutorReplaced, {});
        return;
    }
    if (candidate == nullptr || !sendAttempt(id, ticket, candidate->backend)) {
        finish(id, first ? ResultCode::NoInstance : ResultCode::ExecutorGone, {});
    }
}

bool Router::sendAttempt(CallId id, const Ticket &ticket, const BackendId &backend)
{
    PendingCall &pending = m_pending.at(id);
    CallMessage message;
    message.ticket = ticket;
    message.context = pending.call.context;
    message.context.backend = backend;
    message.context.branchMayHaveRun = pending.call.context.branchMayHaveRun || pending.mayHaveRun;
    message.remaining = std::chrono::duration_cast<Duration>(pending.call.deadline - m_hooks.clock());
    message.payload = pending.call.payload;
    message.retryAllowance = pending.call.delegatesAllowance ? pending.call.allowance->delegate() : 0;
    pending.message = message;
    pending.sentAt = m_hooks.clock();
    pending.lastExecutor = ticket.executor;
    pending.delegated = message.retryAllowance;
    m_callByTicket[ticket.id] = id;
    m_ticketsByInstance[ticket.executor].insert(ticket.id);
    m_picker.callStarted(ticket.executor);
    ++pending.attempts;
    ++m_counters.attempts;
    if (m_hooks.send(ticket.executor, message)) {
        return true;
    }
    --pending.attempts;
    --m_counters.attempts;
    pending.call.allowance->reclaim(pending.delegated, pending.delegated);
    closeAttempt(pending);
    return false;
}

const Candidate *Router::pickCandidate(const PendingCall &pending, ResultCode &refusal)
{
    const CallContext &context = pending.call.context;
    const auto &candidates = m_hooks.candidates(serviceOf(context.operation));
    InstancePicker::Criteria criteria{context.operation, context.rank, &pending.tried, !m_options.policy.price || context.depth > 0};
    InstancePicker::Selection selection = m_picker.pick(candidates, criteria, m_hooks.clock());
    if (selection.refusal == InstancePicker::Refusal::NoInstance && !pending.tried.empty() && !m_options.policy.retryAllowance) {
        const std::set<InstanceId> none;
        criteria.excluded = &none;
        selection = m_picker.pick(candidates, criteria, m_hooks.clock());
    }
    if (selection.refusal == InstancePicker::Refusal::Price) {
        ++m_counters.refusedByPrice;
        refusal = ResultCode::ShedByPrice;
    }
    return selection.candidate;
}

const Candidate *Router::findLinked(const ServiceName &service, const InstanceId &instance) const
{
    const auto &candidates = m_hooks.candidates(service);
    const auto found = std::find_if(candidates.begin(), candidates.end(), [&](const auto &c) { return c.instance == instance; });
    return found == candidates.end() ? nullptr : &*found;
}

void Router::cancel(CallId id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    sendCancel(found->second);
    finish(id, found->second.message ? ResultCode::CancelledWhileRunning : ResultCode::CancelledBeforeStart, {});
}

//! Tells the executor of the attempt in progress that its response is no longer needed.
void Router::sendCancel(const PendingCall &pending)
{
    if (pending.message) {
        const Ticket &ticket = pending.message->ticket;
        m_hooks.send(ticket.executor, CancelMessage{ticket.id});
    }
}

void Router::abandonCalls(ResultCode code)
{
    std::vector<CallId> ids;
    for (const auto &[id, pending] : m_pending) {
        ids.push_back(id);
    }
    for (const CallId id : ids) {
        if (const auto found = m_pending.find(id); found != m_pending.end()) {
            sendCancel(found->second);
            finish(id, code, {});
        }
    }
}

void Router::handleResponse(const InstanceId &instance, const ResponseMessage &response)
{
    const auto call = m_callByTicket.find(response.ticket);
    if (call == m_callByTicket.end()) {
        ++m_counters.lateResponses;
        return;
    }
    const CallId id = call->second;
    PendingCall &pending = m_pending.at(id);
    if (pending.message->ticket.executor != instance) {
        ++m_counters.lateResponses;
        return;
    }
    pending.call.allowance->reclaim(response.retryAllowance, pending.delegated);
    m_picker.recordLoad(instance, response.load, m_hooks.clock());
    m_picker.prices().record(instance, pending.call.context.operation, response.price, m_hooks.clock());
    pending.costs.insert(pending.costs.end(), response.costs.begin(), response.costs.end());
    if (isAtCurrentBackend(*pending.message)) {
        recordHealth(instance, response.code);
        recordLatency(pending, response.code);
    }
    handleAttemptEnd(id, response.code, response.payload);
}

void Router::handleAttemptEnd(CallId id, ResultCode code, const Payload &payload)
{
    PendingCall &pending = m_pending.at(id);
    closeAttempt(pending);
    if (outcomeOf(code) != Outcome::NotRun) {
        pending.mayHaveRun = true;
    }
    if (!mayRetry(pending, code)) {
        // A refused retry does not change the result of an earlier attempt that has run or may have run.
        const bool isEarlierKept = outcomeOf(code) == Outcome::NotRun && pending.mayHaveRun;
        const ResultCode final = isEarlierKept ? pending.lastCode : code;
        const Payload response = isEarlierKept ? pending.lastPayload : payload;
        finish(id, final, response);
        return;
    }
    if (!pending.mayHaveRun || outcomeOf(code) != Outcome::NotRun) {
        pending.lastCode = code;
        pending.lastPayload = payload;
    }
    ++m_counters.retries;
    attempt(id);
}

bool Router::mayRetry(PendingCall &pending, ResultCode code)
{
    if (pending.call.boundTicket || code == ResultCode::Done) {
        return false;
    }
    if (m_hooks.clock() >= pending.call.deadline) {
        return false;
    }
    const Outcome outcome = outcomeOf(code);
    const bool safe = outcome == Outcome::NotRun || pending.call.context.idempotent;
    if (!m_options.policy.retryAllowance) {
        return safe && spendForRetry(pending, code);
    }
    const bool useful = outcome == Outcome::Unknown || isRetriableRefusal(code);
    if (!safe || !useful) {
        return false;
    }
    // Check that an instance is available first: a retry that cannot be sent must not spend allowance or budget.
    ResultCode refusal = ResultCode::NoInstance;
    return pickCandidate(pending, refusal) != nullptr && spendForRetry(pending, code);
}

bool Router::spendForRetry(PendingCall &pending, ResultCode code)
{
    if (pending.call.freeReroutes && isRefusedBeforeBackend(code)) {
        return ++pending.reroutes <= maxFreeReroutes;
    }
    if (m_options.policy.retryAllowance) {
        if (pending.call.allowance->remaining() == 0) {
            return false;
        }
        const bool paid = !m_hooks.spendRetryBudget || m_hooks.spendRetryBudget(pending.call.context);
        return paid && pending.call.allowance->spend();
    }
    if (pending.attempts >= m_options.policy.attemptsPerHop) {
        return false;
    }
    if (m_options.policy.hopRetryBudget == 0) {
        return true;
    }
    if (m_hopBudget < 1) {
        return false;
    }
    m_hopBudget -= 1;
    return true;
}

void Router::finish(CallId id, ResultCode code, const Payload &payload)
{
    auto node = m_pending.extract(id);
    PendingCall &pending = node.mapped();
    closeAttempt(pending);
    const int spent = std::max(0, pending.allowanceBefore - pending.call.allowance->remaining());
    const CallResult result{code, payload, pending.attempts, spent, pending.lastExecutor, pending.costs};
    pending.completion(result);
}

void Router::handleDeadline(CallId id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    if (found->second.message && isAtCurrentBackend(*found->second.message)) {
        recordLatency(found->second, ResultCode::DeadlineWhileRunning);
    }
    sendCancel(found->second);
    finish(id, ResultCode::DeadlineWhileRunning, {});
}

void Router::handleInstanceUnreachable(const InstanceId &instance)
{
    for (const CallId id : outstandingAt(instance)) {
        const auto found = m_pending.find(id);
        if (found != m_pending.end() && found->second.call.context.idempotent) {
            recordHealth(instance, ResultCode::ExecutorGone);
            handleAttemptEnd(id, ResultCode::ExecutorGone, {});
        }
    }
    m_picker.prices().forget(instance);
}

void Router::handleInstanceReplaced(const InstanceId &instance, Incarnation current)
{
    for (const CallId id : outstandingAt(instance)) {
        const auto found = m_pending.find(id);
        if (found != m_pending.end() && found->second.message->ticket.executorIncarnation != current) {
            handleAttemptEnd(id, ResultCode::ExecutorReplaced, {});
        }
    }
    m_picker.prices().forget(instance);
    m_picker.outlierDetector().forget(instance);
    m_picker.latencyEstimator().forget(instance);
}

void Router::handleInstanceReconnected(const InstanceId &instance)
{
    for (const CallId id : outstandingAt(instance)) {
        const auto found = m_pending.find(id);
        if (found == m_pending.end()) {
            continue;
        }
        ++m_counters.resent;
        CallMessage message = *found->second.message;
        message.remaining = std::chrono::duration_cast<Duration>(found->second.call.deadline - m_hooks.clock());
        m_hooks.send(instance, message);
    }
}

void Router::setBackend(const InstanceId &instance, const BackendId &backend)
{
    const auto [current, isFirst] = m_backends.try_emplace(instance, backend);
    if (isFirst || current->second == backend) {
        return;
    }
    current->second = backend;
    m_picker.outlierDetector().forget(instance);
    m_picker.latencyEstimator().forget(instance);
}

bool Router::isAtCurrentBackend(const CallMessage &call) const
{
    const auto current = m_backends.find(call.ticket.executor);
    return current == m_backends.end() || current->second == call.context.backend;
}

std::optional<Ticket> Router::issueTicket(const OperationName &operation, Rank rank)
{
    const std::set<InstanceId> none;
    const auto &candidates = m_hooks.candidates(serviceOf(operation));
    const InstancePicker::Criteria criteria{operation, rank, &none, true};
    const auto selection = m_picker.pick(candidates, criteria, m_hooks.clock());
    if (selection.candidate == nullptr) {
        return std::nullopt;
    }
    return Ticket{{m_options.incarnation, ++m_lastSequence}, selection.candidate->instance, selection.candidate->incarnation};
}

bool Router::hasOutstanding(const InstanceId &instance) const
{
    return m_ticketsByInstance.count(instance) != 0;
}

std::size_t Router::outstanding() const
{
    return m_pending.size();
}

Rank Router::price(const OperationName &operation) const
{
    return m_picker.lowestPrice(m_hooks.candidates(serviceOf(operation)), operation, m_hooks.clock());
}

const InstancePicker &Router::picker() const
{
    return m_picker;
}

const RouterCounters &Router::counters() const
{
    return m_counters;
}

void Router::recordHealth(const InstanceId &instance, ResultCode code)
{
    if (isInstanceFailure(code)) {
        m_picker.outlierDetector().recordFailure(instance, m_hooks.clock());
    } else if (outcomeOf(code) == Outcome::Done) {
        m_picker.outlierDetector().recordSuccess(instance);
    }
}

//! Failures only raise the estimated response time: an instance that fails quickly must not appear fast.
void Router::recordLatency(const PendingCall &pending, ResultCode code)
{
    if (!pending.message || isRefusedBeforeBackend(code) || code == ResultCode::DeadlinePast) {
        return;
    }
    const TimePoint now = m_hooks.clock();
    const InstanceId &instance = pending.message->ticket.executor;
    const Duration elapsed = now - pending.sentAt;
    LatencyEstimator &estimator = m_picker.latencyEstimator();
    if (code == ResultCode::Done) {
        estimator.recordResponseTime(instance, pending.call.context.operation, elapsed, now);
    } else {
        estimator.recordMinimumResponseTime(instance, pending.call.context.operation, elapsed, now);
    }
    // A passed deadline is not counted as a failure: the elapsed time already accounts for a slow instance.
    estimator.recordOutcome(instance, code != ResultCode::Done && code != ResultCode::DeadlineWhileRunning, now);
}

void Router::closeAttempt(PendingCall &pending)
{
    if (!pending.message) {
        return;
    }
    const Ticket &ticket = pending.message->ticket;
    m_picker.callEnded(ticket.executor);
    m_callByTicket.erase(ticket.id);
    if (const auto tickets = m_ticketsByInstance.find(ticket.executor); tickets != m_ticketsByInstance.end()) {
        tickets->second.erase(ticket.id);
        if (tickets->second.empty()) {
            m_ticketsByInstance.erase(tickets);
        }
    }
    pending.message.reset();
    pending.delegated = 0;
}

std::vector<CallId> Router::outstandingAt(const InstanceId &instance) const
{
    std::vector<CallId> calls;
    const auto tickets = m_ticketsByInstance.find(instance);
    if (tickets == m_ticketsByInstance.end()) {
        return calls;
    }
    for (const TicketId &ticket : tickets->second) {
        calls.push_back(m_callByTicket.at(ticket));
    }
    return calls;
}

} // namespace chervilpaddle
