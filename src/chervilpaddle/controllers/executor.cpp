#include <chervilpaddle/controllers/executor.h>

#include <chervilpaddle/base/random.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilpaddle {

namespace {

constexpr Duration childPriceLifetime = std::chrono::milliseconds(500);
//! A queueing delay that persists counts as a standing queue where it is above both half the mean service time and
//! this share of the mean time until the calls' deadlines.
constexpr int waitTargetServiceTimeDivisor = 2;
constexpr double waitTargetSlackShare = 1.0 / 16;
constexpr double slackSmoothing = 0.02;
//! Slots count as idle below this mean occupancy of a window.
constexpr double idleOccupancy = 0.9;
//! A longer interval between two ticks means that this process was suspended or busy.
constexpr Duration maxTickInterval = std::chrono::milliseconds(100);
//! Bounds the queue where deadlines are not enforced.
constexpr std::size_t maxQueuedCallsPerSlot = 4;

//! Sets a flag for the duration of a scope.
class ScopedFlag
{
public:
    explicit ScopedFlag(bool &flag)
        : m_flag(flag)
    {
        m_flag = true;
    }
    ~ScopedFlag()
    {
        m_flag = false;
    }
    ScopedFlag(const ScopedFlag &) = delete;
    ScopedFlag &operator=(const ScopedFlag &) = delete;

private:
    bool &m_flag;
};

std::uint64_t contentDigest(const CallMessage &call)
{
    const std::uint64_t bodyDigest = call.payload.body ? stableHash(*call.payload.body) : 0;
    return stableHash(call.context.customer.value() + '\n' + call.context.operation.value() + '\n' + std::to_string(bodyDigest));
}

} // namespace

Executor::Executor(Options options, Hooks hooks)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_tickets(m_options.ticketLimits)
    , m_queue(m_options.policy.priorityOrder)
    , m_slotLimit(m_options.slots)
    , m_occupancyTuner(m_hooks.clock())
    , m_windowStart(m_hooks.clock())
    , m_occupancyUpdated(m_windowStart)
{
}

void Executor::submit(CallMessage call, Duration receiveDelay, Reply reply)
{
    ++m_counters.arrivals;
    if (call.ticket.executorIncarnation != m_options.incarnation) {
        reply(responseFor(call, ResultCode::ExecutorReplaced, 0));
        return;
    }
    const TicketId ticket = call.ticket.id;
    const TimePoint deadline = m_hooks.clock() + call.remaining - receiveDelay;
    switch (m_tickets.admit(ticket, contentDigest(call))) {
    case TicketRegistry::Verdict::Fresh:
        enqueue(std::move(call), deadline, std::move(reply));
        return;
    case TicketRegistry::Verdict::InFlight:
        joinDuplicate(ticket, std::move(reply));
        return;
    case TicketRegistry::Verdict::Answered:
        ++m_counters.duplicates;
        reply(*m_tickets.response(ticket));
        return;
    case TicketRegistry::Verdict::ResponseEvicted:
        reply(responseFor(call, ResultCode::AnswerLost, 0));
        return;
    case TicketRegistry::Verdict::Voided:
        reply(responseFor(call, ResultCode::TicketVoided, 0));
        return;
    case TicketRegistry::Verdict::TooOld:
        reply(responseFor(call, ResultCode::TicketTooOld, 0));
        return;
    case TicketRegistry::Verdict::Mismatch:
        reply(responseFor(call, ResultCode::TicketMismatch, 0));
        return;
    case TicketRegistry::Verdict::Full:
        reply(responseFor(call, ResultCode::MintersExhausted, call.retryAllowance));
        renewIncarnation();
        return;
    }
}

std::optional<ResultCode> Executor::startRefusal(const CallMessage &call) const
{
    return m_hooks.startRefusal ? m_hooks.startRefusal(call) : std::nullopt;
}

void Executor::enqueue(CallMessage call, TimePoint deadline, Reply reply)
{
    if (m_draining) {
        ++m_counters.refusedDraining;
        refuse(call, ResultCode::Leaving, reply);
        return;
    }
    if (const auto code = startRefusal(call); code) {
        refuse(call, *code, reply);
        return;
    }
    const TimePoint now = m_hooks.clock();
    const QueuedCall queued{call.ticket.id, call.context.operation, call.context.rank, call.context.depth, now, deadline};
    if (deadline <= now) {
        ++m_counters.expired;
        refuse(call, ResultCode::DeadlinePast, reply);
        return;
    }
    m_priceController.recordArrival(call.context.rank);
    m_arrivedSlotSeconds[static_cast<int>(call.context.rank)] += expectedSlotSeconds(call.context.operation);
    m_meanSlackSeconds += slackSmoothing * (toSeconds(deadline - now) - m_meanSlackSeconds);
    PendingCall &pending = m_pendingCalls[queued.ticket];
    pending.call = std::move(call);
    pending.replies.push_back(std::move(reply));
    m_queue.push(queued);
    dispatch();
    shedExcess();
}

void Executor::joinDuplicate(const TicketId &ticket, Reply reply)
{
    ++m_counters.duplicates;
    if (const auto pending = m_pendingCalls.find(ticket); pending != m_pendingCalls.end()) {
        pending->second.replies.push_back(std::move(reply));
        pending->second.withholdsAllowance = true;
        return;
    }
    const auto run = m_runOfTicket.find(ticket);
    if (run == m_runOfTicket.end()) {
        return;
    }
    ActiveRun &active = m_runs.at(run->second);
    active.replies.push_back(std::move(reply));
    active.withholdsAllowance = true;
    active.responded = false;
}

void Executor::refuse(const CallMessage &call, ResultCode code, const Reply &reply)
{
    m_tickets.voidTicket(call.ticket.id);
    reply(responseFor(call, code, call.retryAllowance));
}

void Executor::dropQueued(TicketId ticket, ResultCode code)
{
    m_queue.remove(ticket);
    m_tickets.voidTicket(ticket);
    auto node = m_pendingCalls.extract(ticket);
    if (node.empty()) {
        return;
    }
    const PendingCall &pending = node.mapped();
    const int allowance = pending.withholdsAllowance ? 0 : pending.call.retryAllowance;
    const ResponseMessage response = responseFor(pending.call, code, allowance);
    for (const Reply &reply : pending.replies) {
        reply(response);
    }
}

//! Sheds calls from the end of the queue as long as the calls ahead of the last one take longer than its deadline allows.
void Executor::shedExcess()
{
    if (!m_options.policy.deadlineEnforcement) {
        const std::size_t bound = maxQueuedCallsPerSlot * static_cast<std::size_t>(m_slotLimit.slots());
        while (m_queue.size() > bound) {
            ++m_counters.shed;
            dropQueued(m_queue.last()->ticket, ResultCode::Shed);
        }
        return;
    }
    const TimePoint now = m_hooks.clock();
    const double rate = startsPerSecond();
    while (rate > 0 && !m_queue.isEmpty()) {
        const QueuedCall &last = *m_queue.last();
        const Duration wait = fromSeconds(static_cast<double>(m_queue.size() - 1) / rate);
        if (now + wait + m_serviceTimes.lowerBound(last.operation, now) <= last.deadline) {
            return;
        }
        ++m_counters.shed;
        dropQueued(last.ticket, ResultCode::Shed);
    }
}

void Executor::dispatch()
{
    if (m_dispatching) {
        return;
    }
    const ScopedFlag dispatching(m_dispatching);
    const TimePoint now = m_hooks.clock();
    while (!m_queue.isEmpty() && (!m_options.policy.concurrencyLimit || running() < slotLimit())) {
        const QueuedCall next = *m_queue.next(now);
        if (!canMeetDeadline(next, now)) {
            ++m_counters.expired;
            dropQueued(next.ticket, now >= next.deadline ? ResultCode::DeadlinePast : ResultCode::DeadlineTooClose);
            continue;
        }
        if (const auto pending = m_pendingCalls.find(next.ticket); pending != m_pendingCalls.end()) {
            if (const auto code = startRefusal(pending->second.call); code) {
                dropQueued(next.ticket, *code);
                continue;
            }
        }
        m_queue.remove(next.ticket);
        startCall(next);
    }
    m_minQueueLength = std::min(m_minQueueLength, m_queue.size());
}

void Executor::startCall(const QueuedCall &call)
{
    auto node = m_pendingCalls.extract(call.ticket);
    if (node.empty() || !m_tickets.start(call.ticket)) {
        return;
    }
    accumulateOccupancy();
    ++m_counters.started;
    PendingCall &pending = node.mapped();
    const RunId id(++m_lastRun);
    ActiveRun &active = m_runs[id];
    active.run.id = id;
    active.run.allowance = std::make_shared<RetryAllowance>(pending.call.retryAllowance);
    active.run.started = m_hooks.clock();
    active.run.deadline = call.deadline;
    active.pausedTimeBefore = pausedTime(active.run.started);
    active.run.call = std::move(pending.call);
    active.replies = std::move(pending.replies);
    active.withholdsAllowance = pending.withholdsAllowance;
    m_runOfTicket[call.ticket] = id;
    m_runOfRequest[active.run.call.context.request] = id;
    const Run run = active.run;
    try {
        m_hooks.start(run);
    } catch (...) {
        // Nothing else would end the run.
        completeRun(id, {ResultCode::NodeFailed, {}});
        throw;
    }
}

void Executor::completeRun(RunId id, const BackendResult &result)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        return;
    }
    accumulateOccupancy();
    ActiveRun active = std::move(found->second);
    m_runs.erase(found);
    m_runOfTicket.erase(active.run.call.ticket.id);
    const CallContext &context = active.run.call.context;
    if (const auto latest = m_runOfRequest.find(context.request); latest != m_runOfRequest.end() && latest->second == id) {
        m_runOfRequest.erase(latest);
    }
    ++m_counters.finished;

    const TimePoint now = m_hooks.clock();
    const bool served = outcomeOf(result.code) == Outcome::Done;
    if (served) {
        ++m_windowCompletions;
        // When a run ended during a pause is not known. Pauses that counted as service time would refuse calls afterwards.
        const Duration serviceTime = now - active.run.started - (pausedTime(now) - active.pausedTimeBefore);
        if (serviceTime > Duration::zero()) {
            m_serviceTimes.record(context.operation, serviceTime, now);
            m_occupancyTuner.record(context.operation, serviceTime);
        }
        m_slotLimit.recordSuccess();
    } else if (result.code == ResultCode::BackendUnreachable) {
        m_slotLimit.enterSlowStart();
    } else if (result.code == ResultCode::BackendRefused) {
        m_slotLimit.recordRefusal();
    }
    ResponseMessage response = responseFor(active.run.call, result.code, 0);
    response.payload = result.payload;
    response.costs = std::move(active.costs);
    response.costs.push_back({serviceOf(context.operation), toSeconds(now - active.run.started)});
    m_tickets.finish(active.run.call.ticket.id, response);
    respond(active, response);
    dispatch();
}

void Executor::respond(ActiveRun &active, const ResponseMessage &response)
{
    ResponseMessage message = response;
    if (!active.withholdsAllowance && !active.responded) {
        // The unspent allowance goes back only to a sole caller, which lent it. With several callers it counts as spent.
        message.retryAllowance = active.run.allowance->release();
    }
    for (const Reply &reply : std::exchange(active.replies, {})) {
        reply(message);
    }
    active.responded = true;
}

void Executor::cancel(const TicketId &ticket)
{
    if (!m_options.policy.deadlineEnforcement) {
        return;
    }
    if (m_pendingCalls.count(ticket) != 0) {
        dropQueued(ticket, ResultCode::CancelledBeforeStart);
        return;
    }
    const auto run = m_runOfTicket.find(ticket);
    if (run == m_runOfTicket.end()) {
        m_tickets.voidTicket(ticket);
        return;
    }
    ActiveRun &active = m_runs.at(run->second);
    if (active.run.call.context.idempotent && !active.cancelled) {
        active.cancelled = true;
        m_hooks.cancelRun(active.run.id);
    }
}

bool Executor::voidTicket(const Ticket &ticket)
{
    if (ticket.executorIncarnation != m_options.incarnation) {
        return false;
    }
    if (m_pendingCalls.count(ticket.id) != 0) {
        dropQueued(ticket.id, ResultCode::TicketVoided);
        return true;
    }
    return m_tickets.voidTicket(ticket.id);
}

void Executor::drain()
{
    m_draining = true;
    while (!m_queue.isEmpty()) {
        ++m_counters.refusedDraining;
        dropQueued(m_queue.first()->ticket, ResultCode::Leaving);
    }
}

void Executor::tick()
{
    const TimePoint now = m_hooks.clock();
    m_pausedTime = pausedTime(now);
    m_lastTickAt = now;
    expireQueued(now);
    expireRunning(now);
    endWindowIfDue(now);
    m_occupancyTuner.update(!m_queue.isEmpty(), now);
    dispatch();
}

void Executor::expireQueued(TimePoint now)
{
    while (const QueuedCall *call = m_queue.earliestDeadline()) {
        const bool unmeetable = m_options.policy.deadlineEnforcement ? !canMeetDeadline(*call, now) : call->deadline <= now;
        if (!unmeetable) {
            return;
        }
        ++m_counters.expired;
        dropQueued(call->ticket, call->deadline <= now ? ResultCode::DeadlinePast : ResultCode::DeadlineTooClose);
    }
}

void Executor::expireRunning(TimePoint now)
{
    std::vector<RunId> toCancel;
    for (auto &[id, active] : m_runs) {
        if (active.run.deadline > now) {
            continue;
        }
        if (!active.replies.empty()) {
            // The run continues and may still spend its allowance, so none of it is returned.
            active.withholdsAllowance = true;
            respond(active, responseFor(active.run.call, ResultCode::DeadlineWhileRunning, 0));
        }
        if (active.run.call.context.idempotent && m_options.policy.deadlineEnforcement && !active.cancelled) {
            active.cancelled = true;
            toCancel.push_back(id);
        }
    }
    for (const RunId id : toCancel) {
        m_hooks.cancelRun(id);
    }
}

void Executor::endWindowIfDue(TimePoint now)
{
    const Duration length = now - m_windowStart;
    if (length < priceWindow) {
        return;
    }
    accumulateOccupancy();
    const double occupancy = m_occupiedSlotSeconds / (toSeconds(length) * slotLimit());
    const double rate = startsPerSecond();
    ClearingRank::Window clearingWindow{std::exchange(m_arrivedSlotSeconds, {}), 0, slotLimit(), length, 0};
    clearingWindow.effective = m_hooks.effectiveClearingRank ? m_hooks.effectiveClearingRank() : m_clearingRank.rank();
    clearingWindow.waiting = static_cast<double>(m_queue.size()) * toSeconds(m_serviceTimes.mean());
    m_clearingRank.update(clearingWindow);
    LoadWindow window;
    window.minWait = rate > 0 ? fromSeconds(static_cast<double>(m_minQueueLength) / rate) : Duration::zero();
    window.waitTarget =
        std::max<Duration>(m_serviceTimes.mean() / waitTargetServiceTimeDivisor, fromSeconds(m_meanSlackSeconds * waitTargetSlackShare));
    // A late tick makes the window longer; completions are scaled to the nominal length that the controller expects.
    window.completions = static_cast<int>(std::lround(m_windowCompletions * (toSeconds(priceWindow) / toSeconds(length))));
    window.slotsWereIdle = occupancy < idleOccupancy;
    if (m_options.policy.price) {
        m_priceController.endWindow(window);
    }
    m_windowStart = now;
    m_occupiedSlotSeconds = 0;
    m_minQueueLength = m_queue.size();
    m_windowCompletions = 0;
}

void Executor::backendRestarted()
{
    m_slotLimit.enterSlowStart();
}

void Executor::assumeOrphanedRuns()
{
    m_slotLimit.assumeOrphanedRuns();
}

void Executor::setSlots(int slots)
{
    m_slotLimit.setSlots(slots);
}

const Run *Executor::findRun(RunId run) const
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? nullptr : &found->second.run;
}

const Run *Executor::findRun(const RequestId &request) const
{
    const auto found = m_runOfRequest.find(request);
    return found == m_runOfRequest.end() ? nullptr : findRun(found->second);
}

void Executor::addCosts(RunId run, const std::vector<ServiceCost> &costs)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    for (const ServiceCost &cost : costs) {
        auto &held = found->second.costs;
        const auto existing = std::find_if(held.begin(), held.end(), [&cost](const auto &known) { return known.service == cost.service; });
        existing == held.end() ? held.push_back(cost) : static_cast<void>(existing->seconds += cost.seconds);
    }
}

Rank Executor::clearingRank() const
{
    return m_clearingRank.rank();
}

void Executor::recordChildPrice(const OperationName &operation, const OperationName &child, Rank price)
{
    m_childPrices[operation][child] = {price, m_hooks.clock()};
}

Rank Executor::price(const OperationName &operation) const
{
    Rank highest = localPrice();
    const auto children = m_childPrices.find(operation);
    if (children == m_childPrices.end()) {
        return highest;
    }
    const TimePoint now = m_hooks.clock();
    for (const auto &[child, known] : children->second) {
        if (now - known.updated <= childPriceLifetime) {
            highest = std::max(highest, known.price);
        }
    }
    return highest;
}

Incarnation Executor::incarnation() const
{
    return m_options.incarnation;
}

bool Executor::isDraining() const
{
    return m_draining;
}

int Executor::running() const
{
    return static_cast<int>(m_runs.size());
}

int Executor::remainingRetryAllowance() const
{
    int remaining = 0;
    for (const auto &[id, active] : m_runs) {
        remaining += active.run.allowance->remaining();
    }
    return remaining;
}

int Executor::slotLimit() const
{
    const int tunedLimit = std::max(1, static_cast<int>(std::lround(m_occupancyTuner.share() * m_slotLimit.slots())));
    return std::min(m_slotLimit.limit(), tunedLimit);
}

std::size_t Executor::queued() const
{
    return m_queue.size();
}

Rank Executor::localPrice() const
{
    return m_options.policy.price ? m_priceController.price() : 0;
}

Duration Executor::meanServiceTime() const
{
    return m_serviceTimes.mean();
}

const ExecutorCounters &Executor::counters() const
{
    return m_counters;
}

const TicketRegistry &Executor::tickets() const
{
    return m_tickets;
}

Duration Executor::pausedTime(TimePoint now) const
{
    const Duration gap = m_lastTickAt ? now - *m_lastTickAt : Duration::zero();
    return gap > maxTickInterval ? m_pausedTime + gap : m_pausedTime;
}

void Executor::accumulateOccupancy()
{
    const TimePoint now = m_hooks.clock();
    m_occupiedSlotSeconds += running() * toSeconds(now - m_occupancyUpdated);
    m_occupancyUpdated = now;
}

//! Tickets of a previous incarnation are always refused, so its records can be discarded.
void Executor::renewIncarnation()
{
    while (!m_queue.isEmpty()) {
        dropQueued(m_queue.first()->ticket, ResultCode::MintersExhausted);
    }
    m_options.incarnation = Incarnation(stableHash(std::to_string(m_options.incarnation.value())) | 1U);
    m_tickets = TicketRegistry(m_options.ticketLimits);
}

ResponseMessage Executor::responseFor(const CallMessage &call, ResultCode code, int allowance) const
{
    ResponseMessage response;
    response.ticket = call.ticket.id;
    response.code = code;
    response.retryAllowance = allowance;
    response.price = price(call.context.operation);
    response.load = static_cast<double>(running() + static_cast<int>(m_queue.size())) / slotLimit();
    return response;
}

bool Executor::canMeetDeadline(const QueuedCall &call, TimePoint now) const
{
    if (!m_options.policy.deadlineEnforcement) {
        return true;
    }
    return now < call.deadline && now + m_serviceTimes.lowerBound(call.operation, now) <= call.deadline;
}

//! How long a call is expected to occupy its slot. Operations without a measurement yet count with the overall mean.
double Executor::expectedSlotSeconds(const OperationName &operation) const
{
    return toSeconds(m_serviceTimes.expected(operation).value_or(m_serviceTimes.mean()));
}

double Executor::startsPerSecond() const
{
    const double mean = toSeconds(m_serviceTimes.mean());
    return mean > 0 ? slotLimit() / mean : 0;
}

} // namespace chervilpaddle
