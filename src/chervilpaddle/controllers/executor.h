#pragma once

#include <chervilpaddle/controllers/admissionqueue.h>
#include <chervilpaddle/controllers/clearingrank.h>
#include <chervilpaddle/controllers/occupancytuner.h>
#include <chervilpaddle/controllers/policyswitches.h>
#include <chervilpaddle/controllers/pricecontroller.h>
#include <chervilpaddle/controllers/retryallowance.h>
#include <chervilpaddle/controllers/servicetimes.h>
#include <chervilpaddle/controllers/slotlimit.h>
#include <chervilpaddle/controllers/ticketregistry.h>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chervilpaddle {

//! Identifies one run of a call at this node's backend server; unique within a process.
using RunId = StrongNumber<struct RunIdTag>;

//! How the backend server ended a run.
struct BackendResult
{
    ResultCode code = ResultCode::Done;
    Payload payload;
};

//! A call that the backend server is executing.
struct Run
{
    RunId id;
    CallMessage call;
    //! Retries that the run's outbound calls may spend; shared with them.
    std::shared_ptr<RetryAllowance> allowance;
    TimePoint started;
    TimePoint deadline;
};

//! Counts events since the executor was created.
struct ExecutorCounters
{
    std::uint64_t arrivals = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t refusedDraining = 0;
};

//! Admits calls to a backend server: as many at once as it has slots, in order of priority, and each ticket at most
//! once. All calls to the backend server go through its executor. Does no I/O. Not thread-safe: to be used only on the
//! thread that owns it.
class Executor
{
public:
    struct Hooks
    {
        Clock clock;
        //! Starts a call at the backend server. completeRun() must be called exactly once for each run, possibly from
        //! within this hook.
        std::function<void(const Run &)> start;
        //! Requests cancellation of a run and of its outbound calls; completeRun() must still be called.
        std::function<void(RunId)> cancelRun;
        //! Returns the clearing rank that the entry nodes currently apply. Defaults to this executor's own.
        std::function<Rank()> effectiveClearingRank = nullptr;
        //! Returns why a call must not start at this backend server, if so. Asked only about calls that have not started: what
        //! became of a running or finished call is reported from its record.
        std::function<std::optional<ResultCode>(const CallMessage &)> startRefusal = nullptr;
    };
    struct Options
    {
        InstanceId instance;
        Incarnation incarnation;
        int slots = 1;
        PolicySwitches policy;
        TicketRegistry::Limits ticketLimits;
    };
    //! Sends a response to the caller. Called at most once, possibly before submit() returns.
    using Reply = std::function<void(const ResponseMessage &)>;

    Executor(Options options, Hooks hooks);

    //! Accepts, joins or refuses a call. `receiveDelay` is the time for which the frame waited to be read; it counts
    //! against the deadline.
    void submit(CallMessage call, Duration receiveDelay, Reply reply);
    //! Records the end of a run and responds to its callers. Unknown runs are ignored.
    void completeRun(RunId run, const BackendResult &result);
    //! Handles a caller's cancellation: drops a queued call, and cancels a running one if it is idempotent.
    void cancel(const TicketId &ticket);
    //! Prevents the ticket's call from starting. Returns true if it has not started and never will.
    bool voidTicket(const Ticket &ticket);
    //! Refuses queued and new calls from now on; running calls continue. Cannot be undone.
    void drain();
    //! Expires deadlines and updates the price and the clearing rank. To be called every few milliseconds.
    void tick();
    //! Handles a start or replacement of the backend server: enters slow start.
    void backendRestarted();
    //! Starts with a reduced slot limit, as runs of a previous node process may still occupy the backend server.
    void assumeOrphanedRuns();
    void setSlots(int slots);

    //! Returns a run in progress, or null.
    const Run *findRun(RunId run) const;
    //! Returns the run of the request that started last, or null if it has ended.
    const Run *findRun(const RequestId &request) const;
    //! Adds the slot time used by a run's outbound call to the costs that the run's response reports.
    void addCosts(RunId run, const std::vector<ServiceCost> &costs);
    //! The rank up to which entry nodes must refuse requests; see ClearingRank.
    Rank clearingRank() const;
    //! Records the price of `child`, an operation that `operation` calls.
    void recordChildPrice(const OperationName &operation, const OperationName &child, Rank price);
    //! The lowest rank that the operation's whole call tree admits now.
    Rank price(const OperationName &operation) const;

    Incarnation incarnation() const;
    bool isDraining() const;
    int running() const;
    //! Unspent retries over all runs in progress.
    int remainingRetryAllowance() const;
    int slotLimit() const;
    std::size_t queued() const;
    //! The lowest rank that this executor admits, without the prices of downstream operations.
    Rank localPrice() const;
    Duration meanServiceTime() const;
    const ExecutorCounters &counters() const;
    const TicketRegistry &tickets() const;

private:
    struct PendingCall
    {
        CallMessage call;
        std::vector<Reply> replies;
        //! The response returns no retries to the caller that lent them.
        bool withholdsAllowance = false;
    };
    struct ActiveRun
    {
        Run run;
        std::vector<Reply> replies;
        //! The response returns no retries to the caller that lent them.
        bool withholdsAllowance = false;
        bool responded = false;
        bool cancelled = false;
        std::vector<ServiceCost> costs;
        //! For how long the process had stood still when the run started.
        Duration pausedTimeBefore{};
    };
    struct ChildPrice
    {
        Rank price = 0;
        TimePoint updated;
    };

    void enqueue(CallMessage call, TimePoint deadline, Reply reply);
    void joinDuplicate(const TicketId &ticket, Reply reply);
    void refuse(const CallMessage &call, ResultCode code, const Reply &reply);
    std::optional<ResultCode> startRefusal(const CallMessage &call) const;
    //! Takes the ticket by value, as a reference could point into the queue entry that is removed.
    void dropQueued(TicketId ticket, ResultCode code);
    void shedExcess();
    void dispatch();
    void startCall(const QueuedCall &call);
    void expireQueued(TimePoint now);
    void expireRunning(TimePoint now);
    void respond(ActiveRun &active, const ResponseMessage &response);
    //! For how long the process has stood still in total, as far as known now.
    Duration pausedTime(TimePoint now) const;
    void accumulateOccupancy();
    void endWindowIfDue(TimePoint now);
    void renewIncarnation();
    ResponseMessage responseFor(const CallMessage &call, ResultCode code, int allowance) const;
    bool canMeetDeadline(const QueuedCall &call, TimePoint now) const;
    double startsPerSecond() const;
    double expectedSlotSeconds(const OperationName &operation) const;

    Options m_options;
    Hooks m_hooks;
    TicketRegistry m_tickets;
    AdmissionQueue m_queue;
    ServiceTimes m_serviceTimes;
    PriceController m_priceController;
    ClearingRank m_clearingRank;
    //! Expected slot time of the calls that arrived in the current window, by priority, in seconds.
    std::map<int, double> m_arrivedSlotSeconds;
    SlotLimit m_slotLimit;
    OccupancyTuner m_occupancyTuner;
    ExecutorCounters m_counters;
    std::unordered_map<TicketId, PendingCall> m_pendingCalls;
    std::unordered_map<RunId, ActiveRun> m_runs;
    std::unordered_map<TicketId, RunId> m_runOfTicket;
    std::unordered_map<RequestId, RunId> m_runOfRequest;
    std::map<OperationName, std::map<OperationName, ChildPrice>> m_childPrices;
    std::uint64_t m_lastRun = 0;
    bool m_draining = false;
    bool m_dispatching = false;
    std::optional<TimePoint> m_lastTickAt;
    Duration m_pausedTime{};
    TimePoint m_windowStart;
    TimePoint m_occupancyUpdated;
    double m_occupiedSlotSeconds = 0;
    std::size_t m_minQueueLength = 0;
    int m_windowCompletions = 0;
    //! Smoothed time until the deadline of arriving calls, in seconds.
    double m_meanSlackSeconds = 0;
};

} // namespace chervilpaddle
