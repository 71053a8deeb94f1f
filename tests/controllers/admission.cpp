#include "virtualtime.h"

#include <chervilpaddle/base/random.h>
#include <chervilpaddle/controllers/admissionqueue.h>
#include <chervilpaddle/controllers/executor.h>

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <stdexcept>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

namespace {

QueuedCall queuedCall(std::uint64_t sequence, Rank rank, int depth)
{
    QueuedCall call;
    call.ticket = {Incarnation(1), sequence};
    call.rank = rank;
    call.depth = depth;
    call.deadline = TimePoint(std::chrono::seconds(10) + std::chrono::milliseconds(sequence));
    return call;
}

//! Reference order: priority, then depth, then the fraction of the rank, then arrival.
bool runsBefore(const QueuedCall &a, const QueuedCall &b)
{
    const auto key = [](const QueuedCall &c) { return std::make_tuple(-std::floor(c.rank), -c.depth, -c.rank, c.ticket.sequence); };
    return key(a) < key(b);
}

//! An executor in virtual time that records which runs it started and cancelled and what it answered.
class ExecutorFixture
{
public:
    explicit ExecutorFixture(int slots, PolicySwitches policy = fullPolicy())
        : executor({InstanceId("x-1"), Incarnation(7), slots, policy, {}},
                   {time.clock(),
                    [this](const Run &run) { started.push_back(run); },
                    [this](RunId run) { cancelled.push_back(run); },
                    nullptr,
                    [this](const CallMessage & /*call*/) { return startRefusal; }})
    {
    }

    CallMessage message(std::uint64_t sequence, Rank rank, Duration remaining = std::chrono::seconds(1)) const
    {
        CallMessage call;
        call.ticket = {{Incarnation(1), sequence}, InstanceId("x-1"), Incarnation(7)};
        call.context.request = RequestId("r" + std::to_string(sequence));
        call.context.operation = OperationName("x.run");
        call.context.rank = rank;
        call.context.idempotent = true;
        call.remaining = remaining;
        return call;
    }

    void submit(const CallMessage &call, Duration receiveDelay = Duration::zero())
    {
        executor.submit(call, receiveDelay, [this](const ResponseMessage &answer) { answers[answer.ticket.sequence].push_back(answer); });
    }

    void finishFirst(ResultCode code = ResultCode::Done)
    {
        const RunId run = started[m_finished++].id;
        executor.completeRun(run, {code, {}});
    }

    VirtualTime time;
    std::optional<ResultCode> startRefusal;
    std::vector<Run> started;
    std::vector<RunId> cancelled;
    std::map<std::uint64_t, std::vector<ResponseMessage>> answers;
    Executor executor;

private:
    std::size_t m_finished = 0;
};

} // namespace

Test(admission, queue_agrees_with_a_sorted_list)
{
    const bool holds = rc::check("the queue returns calls in the order of a sorted list", [] {
        const auto ranks = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4000));
        AdmissionQueue queue(true);
        std::vector<QueuedCall> sorted;
        for (std::size_t i = 0; i < ranks.size(); ++i) {
            const QueuedCall call = queuedCall(i, ranks[i] / 4.0, *rc::gen::inRange(0, 4));
            queue.push(call);
            sorted.push_back(call);
            if (*rc::gen::inRange(0, 4) == 0) {
                const std::size_t removed = *rc::gen::inRange<std::size_t>(0, sorted.size());
                RC_ASSERT(queue.remove(sorted[removed].ticket).has_value());
                sorted.erase(sorted.begin() + static_cast<std::ptrdiff_t>(removed));
            }
        }
        std::sort(sorted.begin(), sorted.end(), runsBefore);
        for (const QueuedCall &expected : sorted) {
            RC_ASSERT(queue.first()->ticket == expected.ticket);
            queue.remove(expected.ticket);
        }
        RC_ASSERT(queue.isEmpty());
    });
    cr_assert(holds);
}

Test(admission, never_runs_more_calls_than_slots)
{
    ExecutorFixture fixture(3);
    for (std::uint64_t i = 1; i <= 10; ++i) {
        fixture.submit(fixture.message(i, 100));
    }
    cr_assert_eq(fixture.started.size(), 3);
    fixture.finishFirst();
    cr_assert_eq(fixture.started.size(), 4);
    cr_assert_eq(fixture.executor.running(), 3);
}

Test(admission, runs_higher_ranks_first)
{
    ExecutorFixture fixture(1);
    fixture.submit(fixture.message(1, 100));
    fixture.submit(fixture.message(2, 100.4));
    fixture.submit(fixture.message(3, 900));
    fixture.submit(fixture.message(4, 100.7));
    for (int i = 0; i < 3; ++i) {
        fixture.finishFirst();
    }
    cr_assert_eq(fixture.started[1].call.ticket.id.sequence, 3);
    cr_assert_eq(fixture.started[2].call.ticket.id.sequence, 4);
    cr_assert_eq(fixture.started[3].call.ticket.id.sequence, 2);
}

Test(admission, sheds_lowest_priorities_when_the_queue_exceeds_its_deadlines)
{
    ExecutorFixture fixture(1);
    // One call sets the service time to 100 ms, so that a deadline of 1 s allows for about ten calls.
    fixture.submit(fixture.message(1, 500));
    fixture.time.skip(std::chrono::milliseconds(100));
    fixture.finishFirst();
    for (std::uint64_t i = 2; i <= 40; ++i) {
        fixture.submit(fixture.message(i, i % 2 == 0 ? 900 : 100));
    }
    int shedHigh = 0;
    int shedLow = 0;
    for (const auto &[sequence, answers] : fixture.answers) {
        if (answers.front().code == ResultCode::Shed) {
            ++(sequence % 2 == 0 ? shedHigh : shedLow);
        }
    }
    cr_assert_eq(shedLow, 19);
    cr_assert_gt(shedHigh, 5);
    cr_assert_lt(shedHigh, 15);
}

Test(admission, runs_no_call_that_ranks_below_a_shed_one)
{
    const bool holds = rc::check("calls shed from the queue rank below all calls that stay queued", [] {
        ExecutorFixture fixture(2);
        fixture.submit(fixture.message(1, 999));
        fixture.time.skip(std::chrono::milliseconds(20));
        fixture.finishFirst();
        const auto ranks = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(1, 1000));
        for (std::size_t i = 0; i < ranks.size(); ++i) {
            fixture.submit(fixture.message(i + 2, ranks[i], std::chrono::milliseconds(300)));
        }
        Rank highestShed = 0;
        for (const auto &[sequence, answers] : fixture.answers) {
            if (answers.front().code == ResultCode::Shed) {
                highestShed = std::max(highestShed, static_cast<Rank>(ranks[sequence - 2]));
            }
        }
        const std::size_t startedBefore = fixture.started.size();
        while (fixture.executor.running() > 0) {
            fixture.time.skip(std::chrono::milliseconds(1));
            fixture.finishFirst();
        }
        for (std::size_t i = startedBefore; i < fixture.started.size(); ++i) {
            RC_ASSERT(fixture.started[i].call.context.rank >= highestShed);
        }
    });
    cr_assert(holds);
}

Test(admission, drops_calls_that_cannot_meet_their_deadline)
{
    ExecutorFixture fixture(1);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        fixture.submit(fixture.message(i, 500));
        fixture.time.skip(std::chrono::milliseconds(100));
        fixture.finishFirst();
    }
    fixture.submit(fixture.message(21, 900, std::chrono::milliseconds(20)));
    cr_assert_eq(fixture.answers[21].front().code, ResultCode::DeadlineTooClose);
    cr_assert_eq(fixture.started.size(), 20);
}

Test(admission, an_expired_service_time_estimate_refuses_no_calls)
{
    ExecutorFixture fixture(1);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        fixture.submit(fixture.message(i, 500));
        fixture.time.skip(std::chrono::milliseconds(900));
        fixture.finishFirst();
    }
    fixture.time.skip(std::chrono::seconds(2));
    fixture.submit(fixture.message(21, 500, std::chrono::milliseconds(100)));
    cr_assert_eq(fixture.started.size(), 21);
}

Test(admission, receive_delay_counts_against_the_deadline)
{
    ExecutorFixture fixture(1);
    fixture.submit(fixture.message(1, 500, std::chrono::milliseconds(100)), std::chrono::milliseconds(150));
    cr_assert_eq(fixture.answers[1].front().code, ResultCode::DeadlinePast);
    cr_assert(fixture.started.empty());
}

Test(admission, a_process_that_was_paused_starts_no_expired_calls)
{
    ExecutorFixture fixture(1);
    fixture.submit(fixture.message(1, 500));
    fixture.submit(fixture.message(2, 500));
    fixture.time.skip(std::chrono::seconds(30));
    fixture.finishFirst();
    cr_assert_eq(fixture.started.size(), 1);
    cr_assert_eq(fixture.answers[2].front().code, ResultCode::DeadlinePast);
}

//! The runs ended while the process stood still; when is not known.
Test(admission, a_pause_of_the_process_does_not_count_as_service_time)
{
    ExecutorFixture fixture(8);
    std::uint64_t sequence = 0;
    const auto serve = [&fixture, &sequence](int rounds) {
        for (int round = 0; round < rounds; ++round) {
            for (int i = 0; i < 8; ++i) {
                fixture.submit(fixture.message(++sequence, 500));
            }
            for (int i = 0; i < 4; ++i) {
                fixture.time.skip(std::chrono::milliseconds(5));
                fixture.executor.tick();
            }
            if (round < rounds - 1) {
                for (int i = 0; i < 8; ++i) {
                    fixture.finishFirst();
                }
            }
        }
    };
    serve(20);
    const Rank rank = fixture.executor.clearingRank();
    fixture.time.skip(std::chrono::seconds(2));
    for (int i = 0; i < 4; ++i) {
        fixture.finishFirst();
    }
    fixture.executor.tick();
    for (int i = 0; i < 4; ++i) {
        fixture.finishFirst();
    }
    cr_expect_leq(fixture.executor.meanServiceTime().count(), 20000);
    const std::size_t startedBefore = fixture.started.size();
    serve(20);
    cr_expect_eq(fixture.started.size() - startedBefore, 160, "%zu of 160 calls started", fixture.started.size() - startedBefore);
    cr_expect_leq(fixture.executor.clearingRank(), rank);
}

Test(admission, an_idempotent_run_past_its_deadline_is_answered_unknown_and_cancelled)
{
    ExecutorFixture fixture(1);
    fixture.submit(fixture.message(1, 500, std::chrono::milliseconds(50)));
    fixture.time.skip(std::chrono::milliseconds(60));
    fixture.executor.tick();
    cr_assert_eq(fixture.answers[1].front().code, ResultCode::DeadlineWhileRunning);
    cr_assert_eq(fixture.answers[1].front().retryAllowance, 0);
    cr_assert_eq(fixture.cancelled.size(), 1);
}

Test(admission, a_non_idempotent_run_continues_past_its_deadline_and_answers_a_retry)
{
    ExecutorFixture fixture(1);
    CallMessage call = fixture.message(1, 500, std::chrono::milliseconds(50));
    call.context.idempotent = false;
    fixture.submit(call);
    fixture.time.skip(std::chrono::milliseconds(60));
    fixture.executor.tick();
    fixture.executor.cancel(call.ticket.id);
    cr_assert(fixture.cancelled.empty());
    fixture.finishFirst();
    fixture.submit(call);
    cr_assert_eq(fixture.answers[1].size(), 2);
    cr_assert_eq(fixture.answers[1].back().code, ResultCode::Done);
    cr_assert_eq(fixture.started.size(), 1);
}

Test(admission, draining_refuses_queued_and_new_calls_but_completes_runs)
{
    ExecutorFixture fixture(1);
    fixture.submit(fixture.message(1, 500));
    fixture.submit(fixture.message(2, 500));
    fixture.executor.drain();
    fixture.submit(fixture.message(3, 500));
    cr_assert_eq(fixture.answers[2].front().code, ResultCode::Leaving);
    cr_assert_eq(fixture.answers[3].front().code, ResultCode::Leaving);
    fixture.finishFirst();
    cr_assert_eq(fixture.answers[1].front().code, ResultCode::Done);
    cr_assert_eq(fixture.started.size(), 1);
}

Test(admission, shed_and_drained_calls_never_start_from_late_duplicates)
{
    ExecutorFixture fixture(1);
    for (std::uint64_t i = 1; i <= 30; ++i) {
        fixture.submit(fixture.message(i, 500));
    }
    fixture.executor.drain();
    for (std::uint64_t i = 2; i <= 30; ++i) {
        cr_assert_eq(*fixture.executor.tickets().state({Incarnation(1), i}), TicketRegistry::State::Voided);
    }
}

Test(admission, a_restarted_backend_server_gets_few_calls_at_first)
{
    ExecutorFixture fixture(20);
    fixture.executor.backendRestarted();
    for (std::uint64_t i = 1; i <= 20; ++i) {
        fixture.submit(fixture.message(i, 500));
    }
    cr_assert_eq(fixture.started.size(), 2);
    fixture.finishFirst();
    cr_assert_eq(fixture.started.size(), 4);
}

Test(admission, price_rises_under_a_standing_queue_and_falls_when_slots_are_idle)
{
    ExecutorFixture fixture(2);
    std::uint64_t sequence = 0;
    for (int step = 0; step < 400; ++step) {
        for (int i = 0; i < 4; ++i) {
            ++sequence;
            fixture.submit(fixture.message(sequence, 100 + static_cast<double>(sequence % 100) / 100, std::chrono::milliseconds(500)));
        }
        fixture.time.skip(std::chrono::milliseconds(5));
        for (int i = 0; i < 2 && fixture.executor.running() > 0; ++i) {
            fixture.finishFirst();
        }
        fixture.executor.tick();
    }
    cr_assert_gt(fixture.executor.localPrice(), 100.2);
    cr_assert_lt(fixture.executor.localPrice(), 101);
    while (fixture.executor.running() > 0) {
        fixture.finishFirst();
    }
    for (int step = 0; step < 200; ++step) {
        fixture.time.skip(std::chrono::milliseconds(5));
        fixture.executor.tick();
    }
    cr_assert_eq(fixture.executor.localPrice(), 0);
}

//! Guards against a payout that runs twice: the link to the caller breaks while the call runs, the backend server starts to leave,
//! and the caller sends the call again over a new link. The answer "leaving, not run" would send it to another instance.
Test(admission, a_call_sent_again_is_answered_from_its_record_although_the_backend_server_leaves)
{
    ExecutorFixture fixture(2);
    fixture.submit(fixture.message(1, 100));
    fixture.submit(fixture.message(2, 100));
    fixture.finishFirst();
    fixture.startRefusal = ResultCode::Leaving;
    fixture.submit(fixture.message(1, 100));
    fixture.submit(fixture.message(2, 100));
    cr_assert_eq(fixture.answers[1].size(), 2);
    cr_assert(fixture.answers[1][1].code == ResultCode::Done, "the finished call is answered with its recorded response");
    cr_assert(fixture.answers[2].empty(), "the running call is not answered before it ends");
    fixture.finishFirst();
    cr_assert_eq(fixture.answers[2].size(), 2);
    cr_assert(fixture.answers[2][0].code == ResultCode::Done);
    cr_assert_eq(fixture.started.size(), 2);
}

//! A frame of a refused call may still arrive over the old link after the refusal has been sent over a new one.
Test(admission, a_call_refused_by_a_leaving_backend_server_never_starts_later)
{
    ExecutorFixture fixture(1);
    fixture.startRefusal = ResultCode::Leaving;
    fixture.submit(fixture.message(1, 100));
    fixture.startRefusal.reset();
    fixture.submit(fixture.message(1, 100));
    cr_assert(fixture.started.empty());
    cr_assert(outcomeOf(fixture.answers[1][1].code) == Outcome::NotRun);
}

Test(admission, queued_calls_do_not_start_at_a_leaving_backend_server)
{
    ExecutorFixture fixture(1);
    fixture.submit(fixture.message(1, 100));
    fixture.submit(fixture.message(2, 100));
    fixture.startRefusal = ResultCode::Leaving;
    fixture.finishFirst();
    cr_assert_eq(fixture.started.size(), 1);
    cr_assert(fixture.answers[2][0].code == ResultCode::Leaving);
}

namespace {

//! What became of the calls of a load in which deeper calls alone nearly fill a service and requests of the same priority call it
//! too, at 109 % of its capacity together. Shaped after leave booking, where payroll notifications meet roster reads.
struct MixedLoadResult
{
    int roots = 0;
    int rootsServedInTime = 0;
    int nested = 0;
    int nestedServed = 0;
};

class MixedLoad
{
public:
    MixedLoad()
        : m_executor({InstanceId("x-1"), Incarnation(7), 10, fullPolicy(), {}},
                     {m_time.clock(), [this](const Run &run) { start(run); }, [](RunId /*run*/) {}})
    {
    }

    MixedLoadResult play(Duration length)
    {
        using namespace std::chrono_literals;
        schedule(3571us, 1, 35ms, 700ms, length);
        schedule(100ms, 0, 110ms, 1200ms, length);
        for (Duration at = 0ms; at < length + 2s; at += 10ms) {
            m_time.after(at, [this] { m_executor.tick(); });
        }
        m_time.runFor(length + 2s);
        return m_result;
    }

private:
    void schedule(Duration interval, int depth, Duration serviceTime, Duration timeout, Duration length)
    {
        for (Duration at{}; at < length; at += interval) {
            m_time.after(at, [this, depth, serviceTime, timeout] { submit(depth, serviceTime, timeout); });
        }
    }

    void submit(int depth, Duration serviceTime, Duration timeout)
    {
        CallMessage call;
        call.ticket = {{Incarnation(1), ++m_lastSequence}, InstanceId("x-1"), Incarnation(7)};
        call.context.request = RequestId("r" + std::to_string(m_lastSequence));
        call.context.operation = OperationName(depth == 0 ? "x.root" : "x.nested");
        call.context.rank = 8.5;
        call.context.depth = depth;
        call.context.idempotent = true;
        call.remaining = timeout;
        m_serviceTimes[m_lastSequence] = serviceTime;
        ++(depth == 0 ? m_result.roots : m_result.nested);
        const TimePoint arrival = m_time.now();
        m_executor.submit(call, Duration::zero(), [this, depth, arrival](const ResponseMessage &answer) {
            if (answer.code == ResultCode::Done) {
                const bool isInTime = m_time.now() - arrival <= rootObjective;
                depth == 0 ? m_result.rootsServedInTime += isInTime ? 1 : 0 : ++m_result.nestedServed;
            }
        });
    }

    void start(const Run &run)
    {
        m_time.after(m_serviceTimes.at(run.call.ticket.id.sequence), [this, id = run.id] {
            m_executor.completeRun(id, {ResultCode::Done, {}});
        });
    }

    static constexpr Duration rootObjective = std::chrono::milliseconds(300);
    VirtualTime m_time;
    std::map<std::uint64_t, Duration> m_serviceTimes;
    std::uint64_t m_lastSequence = 0;
    MixedLoadResult m_result;
    Executor m_executor;
};

} // namespace

//! Requests that call a service directly are not starved by deeper calls of the same priority: at least a quarter of them is served in
//! time, as the users ask for every kind, and the deeper calls lose no more than the excess of the load.
Test(admission, requests_are_not_starved_by_deeper_calls_of_their_priority)
{
    const MixedLoadResult result = MixedLoad().play(std::chrono::seconds(20));
    std::printf("roots %d of %d in time, nested %d of %d\n", result.rootsServedInTime, result.roots, result.nestedServed, result.nested);
    cr_expect_geq(result.rootsServedInTime * 4, result.roots);
    cr_expect_geq(result.nestedServed * 100, result.nested * 85);
}

Test(admission, a_run_that_cannot_be_started_ends_and_the_next_one_starts)
{
    const ExecutorFixture messages(1);
    VirtualTime time;
    int starts = 0;
    std::vector<ResultCode> codes;
    const auto start = [&starts](const Run & /*run*/) {
        if (++starts == 1) {
            throw std::runtime_error("odd call");
        }
    };
    Executor executor({InstanceId("x-1"), Incarnation(7), 1, fullPolicy(), {}},
                      {time.clock(), start, [](RunId /*run*/) {}, nullptr, nullptr});
    const auto reply = [&codes](const ResponseMessage &response) { codes.push_back(response.code); };
    cr_assert_throw(executor.submit(messages.message(1, 500), Duration::zero(), reply), std::runtime_error);
    executor.submit(messages.message(2, 500), Duration::zero(), reply);
    cr_expect_eq(starts, 2);
    cr_expect_eq(executor.running(), 1);
    cr_assert_eq(codes.size(), 1);
    cr_expect_eq(codes.front(), ResultCode::NodeFailed);
}
