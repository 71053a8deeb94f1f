#include "virtualtime.h"

#include <chervilpaddle/base/random.h>
#include <chervilpaddle/controllers/admissionqueue.h>
#include <chervilpaddle/controllers/executor.h>

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <rapidcheck.h>

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

//! The order by the book: worth, then depth, then the rank's fraction, then arrival.
bool runsBefore(const QueuedCall &a, const QueuedCall &b)
{
    const auto key = [](const QueuedCall &c) { return std::make_tuple(-std::floor(c.rank), -c.depth, -c.rank, c.ticket.sequence); };
    return key(a) < key(b);
}

//! An executor with a record of what it started and answered.
class ExecutorBench
{
public:
    explicit ExecutorBench(int slots, PolicySwitches policy = fullPolicy())
        : executor({InstanceId("x-1"), Incarnation(7), slots, policy, {}},
                   {time.clock(), [this](const Run &run) { started.push_back(run); }, [this](RunId run) { cancelled.push_back(run); }})
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

    void submit(const CallMessage &call, Duration waited = Duration::zero())
    {
        executor.submit(call, waited, [this](const AnswerMessage &answer) { answers[answer.ticket.sequence].push_back(answer); });
    }

    void finishFirst(ResultCode code = ResultCode::Done)
    {
        const RunId run = started[m_finished++].id;
        executor.completeRun(run, {code, {}});
    }

    VirtualTime time;
    std::vector<Run> started;
    std::vector<RunId> cancelled;
    std::map<std::uint64_t, std::vector<AnswerMessage>> answers;
    Executor executor;

private:
    std::size_t m_finished = 0;
};

} // namespace

Test(admission, queue_agrees_with_a_sorted_list)
{
    const bool holds = rc::check("the queue hands out what a naive sorted list would", [] {
        const auto ranks = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4000));
        AdmissionQueue queue(true);
        std::vector<QueuedCall> naive;
        for (std::size_t i = 0; i < ranks.size(); ++i) {
            const QueuedCall call = queuedCall(i, ranks[i] / 4.0, *rc::gen::inRange(0, 4));
            queue.push(call);
            naive.push_back(call);
            if (*rc::gen::inRange(0, 4) == 0) {
                const std::size_t victim = *rc::gen::inRange<std::size_t>(0, naive.size());
                RC_ASSERT(queue.remove(naive[victim].ticket).has_value());
                naive.erase(naive.begin() + static_cast<std::ptrdiff_t>(victim));
            }
        }
        std::sort(naive.begin(), naive.end(), runsBefore);
        for (const QueuedCall &expected : naive) {
            RC_ASSERT(queue.first()->ticket == expected.ticket);
            queue.remove(expected.ticket);
        }
        RC_ASSERT(queue.isEmpty());
    });
    cr_assert(holds);
}

Test(admission, never_passes_the_slots)
{
    ExecutorBench bench(3);
    for (std::uint64_t i = 1; i <= 10; ++i) {
        bench.submit(bench.message(i, 100));
    }
    cr_assert_eq(bench.started.size(), 3);
    bench.finishFirst();
    cr_assert_eq(bench.started.size(), 4);
    cr_assert_eq(bench.executor.running(), 3);
}

Test(admission, runs_more_worth_first)
{
    ExecutorBench bench(1);
    bench.submit(bench.message(1, 100));
    bench.submit(bench.message(2, 100.4));
    bench.submit(bench.message(3, 900));
    bench.submit(bench.message(4, 100.7));
    for (int i = 0; i < 3; ++i) {
        bench.finishFirst();
    }
    cr_assert_eq(bench.started[1].call.ticket.id.sequence, 3);
    cr_assert_eq(bench.started[2].call.ticket.id.sequence, 4);
    cr_assert_eq(bench.started[3].call.ticket.id.sequence, 2);
}

Test(admission, sheds_the_least_worth_when_the_queue_outgrows_its_deadlines)
{
    ExecutorBench bench(1);
    // One call of 100 ms teaches the service time; then 1 s of deadline has room for about ten.
    bench.submit(bench.message(1, 500));
    bench.time.skip(std::chrono::milliseconds(100));
    bench.finishFirst();
    for (std::uint64_t i = 2; i <= 40; ++i) {
        bench.submit(bench.message(i, i % 2 == 0 ? 900 : 100));
    }
    int shedHigh = 0;
    int shedLow = 0;
    for (const auto &[sequence, answers] : bench.answers) {
        if (answers.front().code == ResultCode::Shed) {
            ++(sequence % 2 == 0 ? shedHigh : shedLow);
        }
    }
    cr_assert_eq(shedLow, 19);
    cr_assert_gt(shedHigh, 5);
    cr_assert_lt(shedHigh, 15);
}

Test(admission, no_lower_worth_runs_where_a_higher_one_in_time_was_shed)
{
    const bool holds = rc::check("what is shed for its place in the queue ranks below all that waits", [] {
        ExecutorBench bench(2);
        bench.submit(bench.message(1, 999));
        bench.time.skip(std::chrono::milliseconds(20));
        bench.finishFirst();
        const auto ranks = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(1, 1000));
        for (std::size_t i = 0; i < ranks.size(); ++i) {
            bench.submit(bench.message(i + 2, ranks[i], std::chrono::milliseconds(300)));
        }
        Rank highestShed = 0;
        for (const auto &[sequence, answers] : bench.answers) {
            if (answers.front().code == ResultCode::Shed) {
                highestShed = std::max(highestShed, static_cast<Rank>(ranks[sequence - 2]));
            }
        }
        const std::size_t startedBefore = bench.started.size();
        while (bench.executor.running() > 0) {
            bench.time.skip(std::chrono::milliseconds(1));
            bench.finishFirst();
        }
        for (std::size_t i = startedBefore; i < bench.started.size(); ++i) {
            RC_ASSERT(bench.started[i].call.context.rank >= highestShed);
        }
    });
    cr_assert(holds);
}

Test(admission, drops_what_cannot_finish_before_its_deadline)
{
    ExecutorBench bench(1);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        bench.submit(bench.message(i, 500));
        bench.time.skip(std::chrono::milliseconds(100));
        bench.finishFirst();
    }
    bench.submit(bench.message(21, 900, std::chrono::milliseconds(20)));
    cr_assert_eq(bench.answers[21].front().code, ResultCode::DeadlineTooClose);
    cr_assert_eq(bench.started.size(), 20);
}

Test(admission, an_old_estimate_does_not_keep_work_away)
{
    ExecutorBench bench(1);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        bench.submit(bench.message(i, 500));
        bench.time.skip(std::chrono::milliseconds(900));
        bench.finishFirst();
    }
    bench.time.skip(std::chrono::seconds(2));
    bench.submit(bench.message(21, 500, std::chrono::milliseconds(100)));
    cr_assert_eq(bench.started.size(), 21);
}

Test(admission, time_spent_unread_counts_against_the_deadline)
{
    ExecutorBench bench(1);
    bench.submit(bench.message(1, 500, std::chrono::milliseconds(100)), std::chrono::milliseconds(150));
    cr_assert_eq(bench.answers[1].front().code, ResultCode::DeadlinePast);
    cr_assert(bench.started.empty());
}

Test(admission, a_process_that_wakes_late_starts_nothing_expired)
{
    ExecutorBench bench(1);
    bench.submit(bench.message(1, 500));
    bench.submit(bench.message(2, 500));
    bench.time.skip(std::chrono::seconds(30));
    bench.finishFirst();
    cr_assert_eq(bench.started.size(), 1);
    cr_assert_eq(bench.answers[2].front().code, ResultCode::DeadlinePast);
}

Test(admission, a_run_past_its_deadline_is_answered_unknown_and_cancelled)
{
    ExecutorBench bench(1);
    bench.submit(bench.message(1, 500, std::chrono::milliseconds(50)));
    bench.time.skip(std::chrono::milliseconds(60));
    bench.executor.tick();
    cr_assert_eq(bench.answers[1].front().code, ResultCode::DeadlineWhileRunning);
    cr_assert_eq(bench.answers[1].front().allowance, 0);
    cr_assert_eq(bench.cancelled.size(), 1);
}

Test(admission, a_run_that_may_not_be_repeated_goes_on_past_its_deadline_and_answers_a_repeat)
{
    ExecutorBench bench(1);
    CallMessage call = bench.message(1, 500, std::chrono::milliseconds(50));
    call.context.idempotent = false;
    bench.submit(call);
    bench.time.skip(std::chrono::milliseconds(60));
    bench.executor.tick();
    bench.executor.cancel(call.ticket.id);
    cr_assert(bench.cancelled.empty());
    bench.finishFirst();
    bench.submit(call);
    cr_assert_eq(bench.answers[1].size(), 2);
    cr_assert_eq(bench.answers[1].back().code, ResultCode::Done);
    cr_assert_eq(bench.started.size(), 1);
}

Test(admission, drain_refuses_what_waits_and_what_comes_but_lets_runs_end)
{
    ExecutorBench bench(1);
    bench.submit(bench.message(1, 500));
    bench.submit(bench.message(2, 500));
    bench.executor.drain();
    bench.submit(bench.message(3, 500));
    cr_assert_eq(bench.answers[2].front().code, ResultCode::Leaving);
    cr_assert_eq(bench.answers[3].front().code, ResultCode::Leaving);
    bench.finishFirst();
    cr_assert_eq(bench.answers[1].front().code, ResultCode::Done);
    cr_assert_eq(bench.started.size(), 1);
}

Test(admission, what_was_shed_or_drained_never_starts_from_a_late_copy)
{
    ExecutorBench bench(1);
    for (std::uint64_t i = 1; i <= 30; ++i) {
        bench.submit(bench.message(i, 500));
    }
    bench.executor.drain();
    for (std::uint64_t i = 2; i <= 30; ++i) {
        cr_assert_eq(*bench.executor.tickets().state({Incarnation(1), i}), TicketRegistry::State::Voided);
    }
}

Test(admission, a_cold_backend_server_gets_few_calls_at_first)
{
    ExecutorBench bench(20);
    bench.executor.backendRestarted();
    for (std::uint64_t i = 1; i <= 20; ++i) {
        bench.submit(bench.message(i, 500));
    }
    cr_assert_eq(bench.started.size(), 2);
    bench.finishFirst();
    cr_assert_eq(bench.started.size(), 4);
}

Test(admission, a_price_rises_under_a_standing_queue_and_falls_when_slots_are_idle)
{
    ExecutorBench bench(2);
    std::uint64_t sequence = 0;
    for (int step = 0; step < 400; ++step) {
        for (int i = 0; i < 4; ++i) {
            ++sequence;
            bench.submit(bench.message(sequence, 100 + static_cast<double>(sequence % 100) / 100, std::chrono::milliseconds(500)));
        }
        bench.time.skip(std::chrono::milliseconds(5));
        for (int i = 0; i < 2 && bench.executor.running() > 0; ++i) {
            bench.finishFirst();
        }
        bench.executor.tick();
    }
    cr_assert_gt(bench.executor.localPrice(), 100.2);
    cr_assert_lt(bench.executor.localPrice(), 101);
    while (bench.executor.running() > 0) {
        bench.finishFirst();
    }
    for (int step = 0; step < 200; ++step) {
        bench.time.skip(std::chrono::milliseconds(5));
        bench.executor.tick();
    }
    cr_assert_eq(bench.executor.localPrice(), 0);
}
