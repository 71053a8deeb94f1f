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

//! Names one call of a router.
using CallId = StrongNumber<struct CallIdTag>;

//! A call to be sent to an executor of its operation's service.
struct OutboundCall
{
    CallContext context;
    TimePoint deadline;
    Payload payload;
    //! Shared with all calls of the same parent.
    std::shared_ptr<RetryAllowance> allowance;
    //! Given where an outside caller holds the ticket: the call goes there or nowhere.
    std::optional<Ticket> boundTicket;
    //! The caller says that it presents the ticket for the first time: unless it goes out from here, it has not run.
    bool isFirstTicketUse = false;
    //! A call that no backend server has seen may be sent elsewhere without spending allowance.
    bool freeReroutes = false;
    //! Whether the backend server's own calls may spend from the allowance.
    bool delegatesAllowance = true;
};

//! How a call ended for its caller.
struct CallResult
{
    ResultCode code = ResultCode::Done;
    Payload payload;
    int attempts = 0;
    //! What of the held allowance was spent here, below, or lost with an answer.
    int retriesSpent = 0;
    //! Where the last attempt went; empty where there was none.
    InstanceId executor;
    //! What the call's tree has held of which service.
    std::vector<ServiceCost> costs;
};

//! Counters of a router since its start.
struct RouterCounters
{
    std::uint64_t calls = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t refusedByPrice = 0;
    std::uint64_t resent = 0;
    std::uint64_t lateAnswers = 0;
};

//! Sends calls to executors: picks an instance, binds a ticket, repeats where that is safe and paid for.
//! Does no I/O. Not thread safe: all calls come from the thread that owns it.
class Router
{
public:
    struct Hooks
    {
        Clock clock;
        Scheduler schedule;
        //! The instances of a service to which a link is open.
        std::function<const std::vector<Candidate> &(const ServiceName &)> candidates;
        //! Sends a message; false where no link is open, in which case nothing was sent. Never answers before it returns.
        std::function<bool(const InstanceId &, const PeerMessage &)> send;
        //! Pays for a repeat of a call that a backend server of the service has seen; not set: every repeat is allowed.
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

    //! Starts a call; the completion is called exactly once, later or at once.
    CallId call(OutboundCall call, Completion completion);
    //! Ends a call for its caller: what has not started is dropped at its executor.
    //! A call that is not idempotent goes on, so that its record can answer a repeat.
    void cancel(CallId call);
    //! An answer has arrived. Late and duplicated ones are ignored.
    void handleResponse(const InstanceId &instance, const AnswerMessage &answer);
    //! No link to the instance can be opened: idempotent calls are given up there and may be repeated elsewhere.
    void handleInstanceUnreachable(const InstanceId &instance);
    //! The instance is now another incarnation: nothing sent to the one before will be answered.
    void handleInstanceReplaced(const InstanceId &instance, Incarnation current);
    //! A new link to the same incarnation is open: what is unanswered is sent again under the same tickets.
    void handleInstanceReconnected(const InstanceId &instance);

    //! Binds a ticket for an outside caller to an instance of the service, where one is linked.
    std::optional<Ticket> mintTicket(const OperationName &operation, Rank rank);

    bool hasOutstanding(const InstanceId &instance) const;
    std::size_t outstanding() const;
    //! What a call of the operation must be able to pay, over all linked instances.
    Rank price(const OperationName &operation) const;
    const InstancePicker &picker() const;
    const RouterCounters &counters() const;

private:
    struct Pending
    {
        OutboundCall call;
        Completion completion;
        std::set<InstanceId> tried;
        int allowanceBefore = 0;
        int attempts = 0;
        int moves = 0;
        bool mayHaveRun = false;
        ResultCode lastCode = ResultCode::NoInstance;
        Payload lastPayload;
        InstanceId lastExecutor;
        std::vector<ServiceCost> costs;
        //! The attempt in progress.
        std::optional<CallMessage> message;
        TimePoint sentAt;
        int lent = 0;
    };

    void attempt(CallId id);
    void attemptBound(CallId id, const Ticket &ticket);
    bool sendAttempt(CallId id, const Ticket &ticket, const BackendId &backend);
    const Candidate *choose(const Pending &pending, ResultCode &refusal);
    const Candidate *linked(const ServiceName &service, const InstanceId &instance) const;
    void attemptEnded(CallId id, ResultCode code, const Payload &payload);
    bool mayRepeat(Pending &pending, ResultCode code);
    bool payForRepeat(Pending &pending, ResultCode code);
    void finish(CallId id, ResultCode code, const Payload &payload);
    void deadlinePassed(CallId id);
    void sendCancel(const Pending &pending);
    void recordHealth(const InstanceId &instance, ResultCode code);
    void recordLatency(const Pending &pending, ResultCode code);
    void closeAttempt(Pending &pending);
    std::vector<CallId> outstandingAt(const InstanceId &instance) const;

    Options m_options;
    Hooks m_hooks;
    InstancePicker m_picker;
    RouterCounters m_counters;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastSequence = 0;
    double m_hopBudget = 0;
    std::unordered_map<CallId, Pending> m_pending;
    std::unordered_map<TicketId, CallId> m_callOfTicket;
    std::unordered_map<InstanceId, std::set<TicketId>> m_ticketsAt;
};

} // namespace chervilpaddle
