#pragma once

#include <chervilpaddle/controllers/instancepicker.h>
#include <chervilpaddle/controllers/policyswitches.h>
#include <chervilpaddle/controllers/retryallowance.h>
#include <chervilpaddle/peer/messages.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace chervilpaddle {

//! Identifies an outbound call of one router.
using CallId = StrongNumber<struct CallIdTag>;

//! A call to send to one of the instances that execute its operation.
struct OutboundCall
{
    CallContext context;
    TimePoint deadline;
    Payload payload;
    //! Shared by all calls that the same parent call makes.
    std::shared_ptr<RetryAllowance> allowance;
    //! The ticket that an external client presented. Such a call is sent to the ticket's executor only.
    std::optional<Ticket> boundTicket;
    //! The client declares that it has not presented the ticket before: if this router cannot send the call, it has not run.
    bool isFirstTicketUse = false;
    //! Whether an attempt that was refused before it reached a backend server may be retried elsewhere without spending allowance.
    bool freeReroutes = false;
    //! Whether the calls that the backend server makes for this call may spend from the allowance.
    bool delegatesAllowance = true;
};

//! The final result of a call, over all of its attempts.
struct CallResult
{
    ResultCode code = ResultCode::Done;
    Payload payload;
    int attempts = 0;
    //! Retries spent by this call and its call tree. A share that was delegated and not returned counts as spent.
    int retriesSpent = 0;
    //! The instance of the last attempt; empty if there was none.
    InstanceId executor;
    //! Slot time that the call tree used, by service.
    std::vector<ServiceCost> costs;
};

//! Monotonic counters of a router.
struct RouterCounters
{
    std::uint64_t calls = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t refusedByPrice = 0;
    std::uint64_t resent = 0;
    std::uint64_t lateResponses = 0;
};

//! Sends calls to executors: picks an instance, binds the call to it with a ticket, and retries a failed attempt if that is
//! safe and covered by the retry allowance and the retry budget. Does no I/O. Not thread-safe: use from one thread only.
class Router
{
public:
    struct Hooks
    {
        Clock clock;
        Scheduler schedule;
        //! Returns the instances of a service to which a link is open.
        std::function<const std::vector<Candidate> &(const ServiceName &)> candidates;
        //! Sends a message. Returns false if no link is open; nothing was sent then. Must not deliver the response before it returns.
        std::function<bool(const InstanceId &, const PeerMessage &)> send;
        //! Takes one retry from the service's retry budget; false if none is left. Not asked for free reroutes.
        //! If unset, retries are limited by the allowance only.
        std::function<bool(const CallContext &)> spendRetryBudget = nullptr;
    };
    struct Options
    {
        DataCentreName dataCentre;
        Incarnation incarnation;
        PolicySwitches policy;
        std::uint64_t seed = 0;
    };
    using Completion = std::function<void(const CallResult &)>;

    Router(Options options, Hooks hooks);

    //! Starts a call. The completion is called exactly once, possibly before this function returns.
    CallId call(OutboundCall call, Completion completion);
    //! Completes a call as cancelled. Its executor drops it if it has not started.
    //! A running non-idempotent call continues there, so that its record can answer a retry.
    void cancel(CallId call);
    //! Completes all calls with a code whose outcome is unknown, as no response can be waited for any longer. Their executors are told
    //! as by cancel().
    void abandonCalls(ResultCode code);
    //! Handles a response. Late and duplicate responses are counted and ignored.
    void handleResponse(const InstanceId &instance, const ResponseMessage &response);
    //! No link to the instance can be opened: ends the attempts of idempotent calls there, which may then be retried elsewhere.
    //! Other calls keep waiting, since they may have run.
    void handleInstanceUnreachable(const InstanceId &instance);
    //! The instance has restarted: ends all attempts that were sent to an earlier incarnation.
    void handleInstanceReplaced(const InstanceId &instance, Incarnation current);
    //! A new link to the same incarnation is open: resends all outstanding calls under their tickets.
    void handleInstanceReconnected(const InstanceId &instance);

    //! Sets the backend server that an instance has now. The health and speed of an earlier one no longer count.
    void setBackend(const InstanceId &instance, const BackendId &backend);

    //! Issues a ticket to an external client, bound to a linked instance of the service. Returns nothing if none is available.
    std::optional<Ticket> issueTicket(const OperationName &operation, Rank rank);

    bool hasOutstanding(const InstanceId &instance) const;
    std::size_t outstanding() const;
    //! The lowest price of the operation among the linked instances: the lowest rank that is admitted anywhere.
    Rank price(const OperationName &operation) const;
    const InstancePicker &picker() const;
    const RouterCounters &counters() const;

private:
    struct PendingCall
    {
        OutboundCall call;
        Completion completion;
        std::set<InstanceId> tried;
        int allowanceBefore = 0;
        int attempts = 0;
        int reroutes = 0;
        bool mayHaveRun = false;
        ResultCode lastCode = ResultCode::NoInstance;
        Payload lastPayload;
        InstanceId lastExecutor;
        std::vector<ServiceCost> costs;
        //! The attempt in progress, if any.
        std::optional<CallMessage> message;
        TimePoint sentAt;
        int delegated = 0;
    };

    void attempt(CallId id);
    void attemptBound(CallId id, const Ticket &ticket);
    bool sendAttempt(CallId id, const Ticket &ticket, const BackendId &backend);
    const Candidate *pickCandidate(const PendingCall &pending, ResultCode &refusal);
    const Candidate *findLinked(const ServiceName &service, const InstanceId &instance) const;
    void handleAttemptEnd(CallId id, ResultCode code, const Payload &payload);
    bool mayRetry(PendingCall &pending, ResultCode code);
    bool spendForRetry(PendingCall &pending, ResultCode code);
    void finish(CallId id, ResultCode code, const Payload &payload);
    void handleDeadline(CallId id);
    void sendCancel(const PendingCall &pending);
    bool isAtCurrentBackend(const CallMessage &call) const;
    void recordHealth(const InstanceId &instance, ResultCode code);
    void recordLatency(const PendingCall &pending, ResultCode code);
    void closeAttempt(PendingCall &pending);
    std::vector<CallId> outstandingAt(const InstanceId &instance) const;

    Options m_options;
    Hooks m_hooks;
    InstancePicker m_picker;
    RouterCounters m_counters;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastSequence = 0;
    double m_hopBudget = 0;
    std::unordered_map<CallId, PendingCall> m_pending;
    std::unordered_map<TicketId, CallId> m_callByTicket;
    std::unordered_map<InstanceId, std::set<TicketId>> m_ticketsByInstance;
    std::unordered_map<InstanceId, BackendId> m_backends;
};

} // namespace chervilpaddle
