#include "virtualtime.h"

#include <chervilpaddle/controllers/router.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

namespace {

const std::vector<Candidate> threeInstances = {{InstanceId("x-1"), Incarnation(11), DataCentreName("a"), false},
                                               {InstanceId("x-2"), Incarnation(12), DataCentreName("a"), false},
                                               {InstanceId("x-3"), Incarnation(13), DataCentreName("b"), false}};

//! A router whose messages are kept, and the results of its calls.
class RouterBench
{
public:
    RouterBench()
        : candidates(threeInstances)
        , router({DataCentreName("a"), Incarnation(5), fullPolicy(), 1},
                 {time.clock(),
                  time.scheduler(),
                  [this](const ServiceName &) -> const std::vector<Candidate> & { return candidates; },
                  [this](const InstanceId &to, const PeerMessage &message) {
                      if (unreachable.count(to) != 0) {
                          return false;
                      }
                      sent.emplace_back(to, message);
                      return true;
                  }})
    {
    }

    CallId call(bool idempotent, int grant, std::optional<Ticket> bound = std::nullopt, bool isFirst = false)
    {
        OutboundCall outbound;
        outbound.context.operation = OperationName("x.run");
        outbound.context.idempotent = idempotent;
        outbound.context.rank = 100;
        outbound.deadline = time.now() + std::chrono::seconds(1);
        outbound.allowance = std::make_shared<RetryAllowance>(grant);
        outbound.boundTicket = bound;
        outbound.isFirstTicketUse = isFirst;
        allowance = outbound.allowance;
        return router.call(std::move(outbound), [this](const CallResult &result) { results.push_back(result); });
    }

    const CallMessage &lastCall() const
    {
        return std::get<CallMessage>(sent.back().second);
    }

    AnswerMessage answerTo(const CallMessage &call, ResultCode code, int allowanceBack = 0) const
    {
        AnswerMessage answer;
        answer.ticket = call.ticket.id;
        answer.code = code;
        answer.allowance = allowanceBack;
        return answer;
    }

    void answerLast(ResultCode code, int allowanceBack = 0)
    {
        const CallMessage message = lastCall();
        router.handleResponse(message.ticket.executor, answerTo(message, code, allowanceBack));
    }

    VirtualTime time;
    std::vector<Candidate> candidates;
    std::set<InstanceId> unreachable;
    std::vector<std::pair<InstanceId, PeerMessage>> sent;
    std::vector<CallResult> results;
    std::shared_ptr<RetryAllowance> allowance;
    Router router;
};

} // namespace

Test(router, a_refused_call_is_repeated_elsewhere_and_paid_for)
{
    RouterBench bench;
    bench.call(false, 2);
    const InstanceId first = bench.lastCall().ticket.executor;
    bench.answerLast(ResultCode::Shed, 1);
    cr_assert_eq(bench.sent.size(), 2);
    cr_assert(bench.lastCall().ticket.executor != first);
    cr_assert_not(bench.lastCall().context.branchRepeated, "a refused attempt did not run");
    bench.answerLast(ResultCode::Done, bench.lastCall().allowance);
    cr_assert_eq(bench.results.front().code, ResultCode::Done);
    cr_assert_eq(bench.results.front().retriesSpent, 1);
}

Test(router, without_allowance_nothing_is_repeated)
{
    RouterBench bench;
    bench.call(true, 0);
    bench.answerLast(ResultCode::Shed);
    cr_assert_eq(bench.sent.size(), 1);
    cr_assert_eq(bench.results.front().code, ResultCode::Shed);
}

Test(router, an_unknown_outcome_is_repeated_only_where_idempotent)
{
    for (const bool idempotent : {true, false}) {
        RouterBench bench;
        bench.call(idempotent, 4);
        bench.answerLast(ResultCode::AnswerLost);
        cr_expect_eq(bench.sent.size(), idempotent ? 2 : 1);
        if (idempotent) {
            cr_expect(bench.lastCall().context.branchRepeated);
        } else {
            cr_expect_eq(bench.results.front().code, ResultCode::AnswerLost);
        }
    }
}

Test(router, a_refused_repeat_does_not_hide_an_unknown_attempt)
{
    RouterBench bench;
    bench.call(true, 1);
    bench.answerLast(ResultCode::AnswerLost);
    bench.answerLast(ResultCode::Shed);
    cr_assert_eq(bench.results.front().code, ResultCode::AnswerLost);
}

//! A backend server's own failure may follow from the request: another one would fail it as well.
Test(router, a_failure_that_the_backend_server_reports_is_passed_on)
{
    RouterBench bench;
    bench.call(true, 1);
    bench.answerLast(ResultCode::DoneWithError);
    cr_assert_eq(bench.results.back().code, ResultCode::DoneWithError);
    cr_assert_eq(bench.sent.size(), 1);
}

Test(router, what_was_lent_and_never_came_back_is_spent)
{
    RouterBench bench;
    bench.call(true, 3);
    cr_assert_eq(bench.lastCall().allowance, 2);
    bench.router.handleInstanceUnreachable(bench.lastCall().ticket.executor);
    cr_assert_eq(bench.sent.size(), 2);
    cr_assert_eq(bench.lastCall().allowance, 0);
    cr_assert_eq(bench.allowance->remaining(), 0);
}

Test(router, a_late_or_foreign_answer_is_dropped)
{
    RouterBench bench;
    bench.call(true, 1);
    const CallMessage first = bench.lastCall();
    bench.answerLast(ResultCode::Shed, 1);
    bench.router.handleResponse(first.ticket.executor, bench.answerTo(first, ResultCode::Done));
    cr_assert(bench.results.empty());
    const CallMessage second = bench.lastCall();
    bench.router.handleResponse(first.ticket.executor, bench.answerTo(second, ResultCode::Done));
    cr_assert(bench.results.empty(), "an answer counts only from the executor that was asked");
    bench.router.handleResponse(second.ticket.executor, bench.answerTo(second, ResultCode::Done));
    bench.router.handleResponse(second.ticket.executor, bench.answerTo(second, ResultCode::Done));
    cr_assert_eq(bench.results.size(), 1);
    cr_assert_eq(bench.router.counters().lateAnswers, 3);
}

Test(router, a_new_link_resends_under_the_same_ticket)
{
    RouterBench bench;
    bench.call(false, 1);
    const CallMessage first = bench.lastCall();
    bench.time.skip(std::chrono::milliseconds(400));
    bench.router.handleInstanceReconnected(first.ticket.executor);
    cr_assert_eq(bench.sent.size(), 2);
    cr_assert(bench.lastCall().ticket.id == first.ticket.id);
    cr_assert_eq(bench.lastCall().remaining.count(), 600000);
}

Test(router, a_call_that_may_not_be_repeated_waits_for_a_suspect_executor)
{
    RouterBench bench;
    bench.call(false, 3);
    bench.router.handleInstanceUnreachable(bench.lastCall().ticket.executor);
    cr_assert(bench.results.empty());
    cr_assert_eq(bench.sent.size(), 1);
    bench.answerLast(ResultCode::Done);
    cr_assert_eq(bench.results.front().code, ResultCode::Done);
}

Test(router, a_replaced_executor_leaves_the_call_unknown_and_never_moves_it)
{
    RouterBench bench;
    bench.call(false, 3);
    bench.router.handleInstanceReplaced(bench.lastCall().ticket.executor, Incarnation(99));
    cr_assert_eq(bench.results.front().code, ResultCode::ExecutorReplaced);
    cr_assert_eq(bench.sent.size(), 1);
}

Test(router, a_callers_ticket_goes_to_its_executor_or_nowhere)
{
    const Ticket bound{{Incarnation(77), 1}, InstanceId("x-2"), Incarnation(12)};
    RouterBench bench;
    bench.call(false, 3, bound);
    cr_assert(bench.lastCall().ticket.id == bound.id);
    bench.answerLast(ResultCode::Shed, 3);
    cr_assert_eq(bench.sent.size(), 1, "a caller's ticket is never moved to another executor");
    cr_assert_eq(bench.results.front().code, ResultCode::Shed);

    RouterBench replaced;
    replaced.candidates[1].incarnation = Incarnation(100);
    replaced.call(false, 3, bound);
    cr_assert(replaced.sent.empty());
    cr_assert_eq(replaced.results.front().code, ResultCode::ExecutorReplaced);

    RouterBench first;
    first.candidates.clear();
    first.call(false, 3, bound, true);
    cr_assert_eq(first.results.front().code, ResultCode::NoInstance, "presented for the first time and sent nowhere: it has not run");

    RouterBench gone;
    gone.candidates.erase(gone.candidates.begin() + 1);
    gone.call(false, 3, bound);
    cr_assert_eq(gone.results.front().code, ResultCode::ExecutorGone);
}

Test(router, an_instance_that_was_never_reached_costs_no_repeat)
{
    RouterBench bench;
    bench.unreachable = {InstanceId("x-1"), InstanceId("x-2")};
    bench.call(false, 0);
    cr_assert_eq(bench.sent.size(), 1);
    cr_assert(bench.sent.front().first == InstanceId("x-3"));
}

Test(router, prefers_its_own_data_centre_and_leaves_out_draining_instances)
{
    RouterBench bench;
    int remote = 0;
    for (int i = 0; i < 50; ++i) {
        bench.call(true, 0);
        remote += bench.sent.back().first == InstanceId("x-3") ? 1 : 0;
        bench.answerLast(ResultCode::Done);
    }
    cr_assert_eq(remote, 1, "one call tells how fast the other data centre is");
    bench.candidates[0].draining = true;
    bench.candidates[1].draining = true;
    bench.call(true, 0);
    cr_assert(bench.sent.back().first == InstanceId("x-3"));
    bench.candidates[2].draining = true;
    bench.results.clear();
    bench.call(true, 0);
    cr_assert_eq(bench.results.front().code, ResultCode::NoInstance);
}

Test(router, a_price_that_no_instance_undercuts_refuses_until_it_is_old)
{
    RouterBench bench;
    for (int i = 0; i < 200; ++i) {
        bench.call(true, 0);
        if (bench.results.size() == static_cast<std::size_t>(i)) {
            AnswerMessage answer = bench.answerTo(bench.lastCall(), ResultCode::Done);
            answer.price = 500;
            bench.router.handleResponse(bench.lastCall().ticket.executor, answer);
        }
    }
    const std::uint64_t refused = bench.router.counters().refusedByPrice;
    cr_assert_gt(refused, 150);
    cr_assert_lt(refused, 200, "a trickle is let through");
    bench.time.skip(std::chrono::milliseconds(500));
    bench.results.clear();
    bench.call(true, 0);
    cr_assert(bench.results.empty());
}

Test(router, an_instance_that_fails_all_calls_gets_five_at_the_most_and_some_are_asked_when_all_fail)
{
    RouterBench bench;
    int toFirst = 0;
    for (int i = 0; i < 300; ++i) {
        bench.call(true, 0);
        const bool first = bench.sent.back().first == InstanceId("x-1");
        toFirst += first ? 1 : 0;
        bench.answerLast(first ? ResultCode::AnswerLost : ResultCode::Done);
    }
    cr_assert_geq(toFirst, 1);
    cr_assert_leq(toFirst, 5, "ejected after five, and passed over sooner for what its failures cost");
    for (int i = 0; i < 100; ++i) {
        bench.call(true, 0);
        bench.answerLast(ResultCode::AnswerLost);
    }
    bench.results.clear();
    bench.call(true, 0);
    cr_assert(bench.results.empty(), "when all fail, some are still asked");
}

Test(router, the_deadline_ends_a_call_as_unknown_and_cancels_it)
{
    RouterBench bench;
    bench.call(true, 0);
    bench.time.runFor(std::chrono::milliseconds(1100));
    cr_assert_eq(bench.results.front().code, ResultCode::DeadlineWhileRunning);
    cr_assert(std::holds_alternative<CancelMessage>(bench.sent.back().second));
}
