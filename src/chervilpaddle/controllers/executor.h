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
#include <unordered_map>
#include <vector>

namespace chervilpaddle {

//! Names one run of a call at this node's backend server; never used twice by a process.
using RunId = StrongNumber<struct RunIdTag>;

//! How the backend server ended a run.
struct BackendResult
{
    ResultCode code = ResultCode::Done;
    Payload payload;
};

//! One call at the backend server.
struct Run
{
    RunId id;
    CallMessage call;
    //! What the run's own outbound calls may spend; shared with them.
    std::shared_ptr<RetryAllowance> allowance;
    TimePoint started;
    TimePoint deadline;
};

//! Counters of an executor since its start.
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

//! The only way to a backend server: admits calls up to its slots, in order of worth, each ticket at most once.
//! Does no I/O. Not thread safe: all calls come from the thread that owns it.
class Executor
{
public:
    struct Hooks
    {
        Clock clock;
        //! Runs a call at the backend server; `completeRun` must be called exactly once for it, later or at once.
        std::function<void(const Run &)> start;
        //! Asks for an end to a run and to its outbound calls; `completeRun` is still called.
        std::function<void(RunId)> cancelRun;
        //! The clearing rank by which the entries decide; not set: this executor's own.
        std::function<Rank()> clearingInForce = nullptr;
    };
    struct Options
    {
        InstanceId instance;
        Incarnation incarnation;
        int slots = 1;
        PolicySwitches policy;
        TicketRegistry::Limits ticketLimits;
    };
    //! Delivers an answer to where the call came from; may be called at once or later, at most once.
    using Reply = std::function<void(const AnswerMessage &)>;

    Executor(Options options, Hooks hooks);

    //! Takes a call. `alreadyWaited` is what the frame spent unread; it counts against the deadline.
    void submit(const CallMessage &call, Duration alreadyWaited, Reply reply);
    //! Reports the end of a run. Ignored for unknown runs.
    void completeRun(RunId run, const BackendResult &result);
    //! The caller has gone: drops the call where it is queued, ends it where it runs and is idempotent.
    void cancel(const TicketId &ticket);
    //! Rules out that the ticket's call will start. True: it has not run and never will.
    bool voidTicket(const Ticket &ticket);
    //! Refuses all new work from now on and answers what is queued as not run. Final.
    void drain();
    //! Expires deadlines and moves the price; call every few milliseconds.
    void tick();
    //! The backend server beside this node has been replaced or has just come up.
    void backendRestarted();
    //! Calls of a process that was here before this one may still run at the backend server.
    void assumeOrphanedRuns();
    void setSlots(int slots);

    //! A run in progress, or null.
    const Run *findRun(RunId run) const;
    //! The run of a request, or null. Where a request has several runs, one of them.
    const Run *findRun(const RequestId &request) const;
    //! Adds what a call of a run's backend server has held.
    void addCosts(RunId run, const std::vector<ServiceCost> &costs);
    //! The requests that must be refused at the entries; see ClearingRank.
    Rank clearingRank() const;
    //! Notes the price of an operation that `operation` calls.
    void recordChildPrice(const OperationName &operation, const OperationName &child, Rank price);
    //! The lowest rank that an operation's tree admits now.
    Rank price(const OperationName &operation) const;

    Incarnation incarnation() const;
    bool isDraining() const;
    int running() const;
    //! Repeats that the runs in progress hold.
    int heldAllowance() const;
    int slotLimit() const;
    std::size_t queued() const;
    Rank localPrice() const;
    Duration meanServiceTime() const;
    const ExecutorCounters &counters() const;
    const TicketRegistry &tickets() const;

private:
    struct Waiting
    {
        CallMessage call;
        std::vector<Reply> replies;
        bool joined = false;
    };
    struct Active
    {
        Run run;
        std::vector<Reply> replies;
        bool joined = false;
        bool answered = false;
        bool cancelled = false;
        std::vector<ServiceCost> costs;
    };
    struct ChildPrice
    {
        Rank price = 0;
        TimePoint updated;
    };

    void accept(const CallMessage &call, TimePoint deadline, Reply reply);
    void join(const TicketId &ticket, Reply reply);
    void refuse(const CallMessage &call, ResultCode code, const Reply &reply);
    //! The ticket comes by value: it may be that of the queue entry that is removed here.
    void dropQueued(TicketId ticket, ResultCode code);
    void dropHopeless();
    void pump();
    void startCall(const QueuedCall &call);
    void expireQueued(TimePoint now);
    void expireRunning(TimePoint now);
    void answerRun(Active &active, const AnswerMessage &answer);
    void noteOccupancy();
    void endWindowIfDue(TimePoint now);
    void renewIncarnation();
    AnswerMessage answerFor(const CallMessage &call, ResultCode code, int allowance) const;
    bool canFinish(const QueuedCall &call, TimePoint now) const;
    double startsPerSecond() const;
    double expectedHold(const OperationName &operation) const;

    Options m_options;
    Hooks m_hooks;
    TicketRegistry m_tickets;
    AdmissionQueue m_queue;
    ServiceTimes m_serviceTimes;
    PriceController m_priceController;
    ClearingRank m_clearing;
    //! Slot time of the calls that arrived in the window, by worth.
    std::map<int, double> m_windowArrived;
    SlotLimit m_slots;
    OccupancyTuner m_level;
    ExecutorCounters m_counters;
    std::unordered_map<TicketId, Waiting> m_waiting;
    std::unordered_map<RunId, Active> m_runs;
    std::unordered_map<TicketId, RunId> m_runOfTicket;
    std::unordered_map<RequestId, RunId> m_runOfRequest;
    std::map<OperationName, std::map<OperationName, ChildPrice>> m_childPrices;
    std::uint64_t m_lastRun = 0;
    bool m_draining = false;
    bool m_pumping = false;
    TimePoint m_windowStart;
    TimePoint m_occupancySince;
    double m_occupiedSlotSeconds = 0;
    std::size_t m_shortestQueue = 0;
    int m_windowCompletions = 0;
    //! Time that arriving calls have left, smoothed, in seconds.
    double m_meanSlack = 0;
};

} // namespace chervilpaddle
