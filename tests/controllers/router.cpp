#include "virtualtime.h"

#include <chervilpaddle/controllers/router.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

namespace {

const std::vector<Candidate> threeInstances = {{InstanceId("x-1"), Incarnation(11), DataCentreName("a"), false},
                                               {InstanceId("x-2"), Incarnation(12), DataCentreName("a"), false},
                                               {InstanceId("x-3"), Incarnation(13), DataCentreName("b"), false}};

//! A router that records the messages it sends and the results of its calls.
class RouterFixture
{
public:
    RouterFixture()
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

    ResponseMessage responseTo(const CallMessage &call, ResultCode code, int returnedAllowance = 0) const
    {
        ResponseMessage response;
        response.ticket = call.ticket.id;
        response.code = code;
        response.retryAllowance = returnedAllowance;
        return response;
    }

    void respondToLast(ResultCode code, int returnedAllowance = 0)
    {
        const CallMessage message = lastCall();
        router.handleResponse(message.ticket.executor, responseTo(message, code, returnedAllowance));
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

Test(router, a_refused_call_is_retried_elsewhere_and_spends_allowance)
{
    RouterFixture fixture;
    fixture.call(false, 2);
    const InstanceId first = fixture.lastCall().ticket.executor;
    fixture.respondToLast(ResultCode::Shed, 1);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert(fixture.lastCall().ticket.executor != first);
    cr_assert_not(fixture.lastCall().context.branchMayHaveRun, "a refused attempt has not run");
    fixture.respondToLast(ResultCode::Done, fixture.lastCall().retryAllowance);
    cr_assert_eq(fixture.results.front().code, ResultCode::Done);
    cr_assert_eq(fixture.results.front().retriesSpent, 1);
}

Test(router, without_allowance_nothing_is_retried)
{
    RouterFixture fixture;
    fixture.call(true, 0);
    fixture.respondToLast(ResultCode::Shed);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.results.front().code, ResultCode::Shed);
}

Test(router, an_unknown_outcome_is_retried_only_if_idempotent)
{
    for (const bool idempotent : {true, false}) {
        RouterFixture fixture;
        fixture.call(idempotent, 4);
        fixture.respondToLast(ResultCode::AnswerLost);
        cr_expect_eq(fixture.sent.size(), idempotent ? 2 : 1);
        if (idempotent) {
            cr_expect(fixture.lastCall().context.branchMayHaveRun);
        } else {
            cr_expect_eq(fixture.results.front().code, ResultCode::AnswerLost);
        }
    }
}

Test(router, a_refused_retry_does_not_hide_an_unknown_attempt)
{
    RouterFixture fixture;
    fixture.call(true, 1);
    fixture.respondToLast(ResultCode::AnswerLost);
    fixture.respondToLast(ResultCode::Shed);
    cr_assert_eq(fixture.results.front().code, ResultCode::AnswerLost);
}

//! An error that the backend server reports may be caused by the request itself, so another instance would fail as well.
Test(router, a_failure_that_the_backend_server_reports_is_passed_on)
{
    RouterFixture fixture;
    fixture.call(true, 1);
    fixture.respondToLast(ResultCode::DoneWithError);
    cr_assert_eq(fixture.results.back().code, ResultCode::DoneWithError);
    cr_assert_eq(fixture.sent.size(), 1);
}

Test(router, what_was_lent_and_never_came_back_is_spent)
{
    RouterFixture fixture;
    fixture.call(true, 3);
    cr_assert_eq(fixture.lastCall().retryAllowance, 2);
    fixture.router.handleInstanceUnreachable(fixture.lastCall().ticket.executor);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_eq(fixture.lastCall().retryAllowance, 0);
    cr_assert_eq(fixture.allowance->remaining(), 0);
}

Test(router, a_late_or_foreign_answer_is_dropped)
{
    RouterFixture fixture;
    fixture.call(true, 1);
    const CallMessage first = fixture.lastCall();
    fixture.respondToLast(ResultCode::Shed, 1);
    fixture.router.handleResponse(first.ticket.executor, fixture.responseTo(first, ResultCode::Done));
    cr_assert(fixture.results.empty());
    const CallMessage second = fixture.lastCall();
    fixture.router.handleResponse(first.ticket.executor, fixture.responseTo(second, ResultCode::Done));
    cr_assert(fixture.results.empty(), "a response is accepted only from the executor that received the call");
    fixture.router.handleResponse(second.ticket.executor, fixture.responseTo(second, ResultCode::Done));
    fixture.router.handleResponse(second.ticket.executor, fixture.responseTo(second, ResultCode::Done));
    cr_assert_eq(fixture.results.size(), 1);
    cr_assert_eq(fixture.router.counters().lateResponses, 3);
}

Test(router, a_new_link_resends_under_the_same_ticket)
{
    RouterFixture fixture;
    fixture.call(false, 1);
    const CallMessage first = fixture.lastCall();
    fixture.time.skip(std::chrono::milliseconds(400));
    fixture.router.handleInstanceReconnected(first.ticket.executor);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert(fixture.lastCall().ticket.id == first.ticket.id);
    cr_assert_eq(fixture.lastCall().remaining.count(), 600000);
}

Test(router, a_call_that_must_not_be_retried_waits_for_an_unreachable_executor)
{
    RouterFixture fixture;
    fixture.call(false, 3);
    fixture.router.handleInstanceUnreachable(fixture.lastCall().ticket.executor);
    cr_assert(fixture.results.empty());
    cr_assert_eq(fixture.sent.size(), 1);
    fixture.respondToLast(ResultCode::Done);
    cr_assert_eq(fixture.results.front().code, ResultCode::Done);
}

Test(router, a_replaced_executor_leaves_the_call_unknown_and_never_moves_it)
{
    RouterFixture fixture;
    fixture.call(false, 3);
    fixture.router.handleInstanceReplaced(fixture.lastCall().ticket.executor, Incarnation(99));
    cr_assert_eq(fixture.results.front().code, ResultCode::ExecutorReplaced);
    cr_assert_eq(fixture.sent.size(), 1);
}

Test(router, a_callers_ticket_goes_to_its_executor_or_nowhere)
{
    const Ticket bound{{Incarnation(77), 1}, InstanceId("x-2"), Incarnation(12)};
    RouterFixture fixture;
    fixture.call(false, 3, bound);
    cr_assert(fixture.lastCall().ticket.id == bound.id);
    fixture.respondToLast(ResultCode::Shed, 3);
    cr_assert_eq(fixture.sent.size(), 1, "a caller's ticket is never moved to another executor");
    cr_assert_eq(fixture.results.front().code, ResultCode::Shed);

    RouterFixture replaced;
    replaced.candidates[1].incarnation = Incarnation(100);
    replaced.call(false, 3, bound);
    cr_assert(replaced.sent.empty());
    cr_assert_eq(replaced.results.front().code, ResultCode::ExecutorReplaced);

    RouterFixture first;
    first.candidates.clear();
    first.call(false, 3, bound, true);
    cr_assert_eq(
        first.results.front().code, ResultCode::NoInstance, "a ticket that is used for the first time and was not sent has not run");

    RouterFixture gone;
    gone.candidates.erase(gone.candidates.begin() + 1);
    gone.call(false, 3, bound);
    cr_assert_eq(gone.results.front().code, ResultCode::ExecutorGone);
}

Test(router, an_instance_that_was_not_reached_costs_no_retry)
{
    RouterFixture fixture;
    fixture.unreachable = {InstanceId("x-1"), InstanceId("x-2")};
    fixture.call(false, 0);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert(fixture.sent.front().first == InstanceId("x-3"));
}

Test(router, prefers_its_own_data_centre_and_skips_draining_instances)
{
    RouterFixture fixture;
    int remote = 0;
    for (int i = 0; i < 50; ++i) {
        fixture.call(true, 0);
        remote += fixture.sent.back().first == InstanceId("x-3") ? 1 : 0;
        fixture.respondToLast(ResultCode::Done);
    }
    cr_assert_eq(remote, 1, "one call probes the response time of the other data centre");
    fixture.candidates[0].draining = true;
    fixture.candidates[1].draining = true;
    fixture.call(true, 0);
    cr_assert(fixture.sent.back().first == InstanceId("x-3"));
    fixture.candidates[2].draining = true;
    fixture.results.clear();
    fixture.call(true, 0);
    cr_assert_eq(fixture.results.front().code, ResultCode::NoInstance);
}

Test(router, a_price_above_the_rank_refuses_calls_until_it_expires)
{
    RouterFixture fixture;
    for (int i = 0; i < 200; ++i) {
        fixture.call(true, 0);
        if (fixture.results.size() == static_cast<std::size_t>(i)) {
            ResponseMessage response = fixture.responseTo(fixture.lastCall(), ResultCode::Done);
            response.price = 500;
            fixture.router.handleResponse(fixture.lastCall().ticket.executor, response);
        }
    }
    const std::uint64_t refused = fixture.router.counters().refusedByPrice;
    cr_assert_gt(refused, 150);
    cr_assert_lt(refused, 200, "a small share of the calls is let through to probe the price");
    fixture.time.skip(std::chrono::milliseconds(500));
    fixture.results.clear();
    fixture.call(true, 0);
    cr_assert(fixture.results.empty());
}

Test(router, a_failing_instance_is_ejected_after_at_most_five_calls_and_some_are_called_when_all_fail)
{
    RouterFixture fixture;
    int toFirst = 0;
    for (int i = 0; i < 300; ++i) {
        fixture.call(true, 0);
        const bool first = fixture.sent.back().first == InstanceId("x-1");
        toFirst += first ? 1 : 0;
        fixture.respondToLast(first ? ResultCode::AnswerLost : ResultCode::Done);
    }
    cr_assert_geq(toFirst, 1);
    cr_assert_leq(toFirst, 5, "ejected after five failures, and avoided earlier because of its failure rate");
    for (int i = 0; i < 100; ++i) {
        fixture.call(true, 0);
        fixture.respondToLast(ResultCode::AnswerLost);
    }
    fixture.results.clear();
    fixture.call(true, 0);
    cr_assert(fixture.results.empty(), "some instances are still called when all of them fail");
}

//! An instance whose answers use up the memory of its node is as little use as one that loses them.
Test(router, an_instance_whose_answers_break_off_in_any_way_is_ejected)
{
    constexpr int failuresBeforeEjection = 5;
    // An ejection doubles from 1 s up to 32 s, and one call follows each.
    constexpr int maxEjections = 9;
    for (const ResultCode code : {ResultCode::AnswerLost, ResultCode::AnswerTruncated, ResultCode::AnswerTooLarge}) {
        RouterFixture fixture;
        int toFirst = 0;
        for (int i = 0; i < 300; ++i) {
            fixture.call(true, 0);
            const bool first = fixture.sent.back().first == InstanceId("x-1");
            toFirst += first ? 1 : 0;
            fixture.time.runFor(std::chrono::milliseconds(first ? 1 : 500));
            fixture.respondToLast(first ? code : ResultCode::Done);
        }
        cr_expect_leq(toFirst, failuresBeforeEjection + maxEjections, "%s: %d of 300 calls", describe(code).name, toFirst);
    }
}

namespace {

//! Three instances, of which the first has another backend server from some time on.
class ReplacedBackendFixture : public RouterFixture
{
public:
    ReplacedBackendFixture()
    {
        setFirstBackend("old");
    }

    void setFirstBackend(const std::string &backend)
    {
        candidates.front().backend = BackendId(backend);
        router.setBackend(candidates.front().instance, BackendId(backend));
    }

    //! Makes a call, and answers it unless it goes to the first instance. Returns whether it does.
    bool callOthers()
    {
        call(true, 0);
        const bool isFirst = sent.back().first == candidates.front().instance;
        if (!isFirst) {
            respondToLast(ResultCode::Done);
        }
        return isFirst;
    }

    int countOfCallsToFirst(int calls)
    {
        int count = 0;
        for (int i = 0; i < calls; ++i) {
            time.runFor(std::chrono::milliseconds(1));
            if (callOthers()) {
                ++count;
                respondToLast(ResultCode::Done);
            }
        }
        return count;
    }
};

} // namespace

Test(router, the_failures_of_a_backend_server_do_not_count_against_its_successor)
{
    ReplacedBackendFixture fixture;
    for (int i = 0; i < 300; ++i) {
        if (fixture.callOthers()) {
            fixture.respondToLast(ResultCode::AnswerLost);
        }
    }
    cr_assert_eq(fixture.countOfCallsToFirst(100), 0);
    fixture.setFirstBackend("new");
    const int count = fixture.countOfCallsToFirst(100);
    cr_assert_geq(count, 20, "%d of 100 calls", count);
}

Test(router, failures_that_are_reported_after_a_backend_server_was_replaced_do_not_count)
{
    ReplacedBackendFixture fixture;
    const auto setOthersDraining = [&fixture](bool draining) {
        fixture.candidates[1].draining = draining;
        fixture.candidates[2].draining = draining;
    };
    setOthersDraining(true);
    std::vector<CallMessage> outstanding;
    for (int i = 0; i < 10; ++i) {
        cr_assert(fixture.callOthers());
        outstanding.push_back(fixture.lastCall());
    }
    setOthersDraining(false);
    fixture.setFirstBackend("new");
    for (const CallMessage &call : outstanding) {
        fixture.router.handleResponse(call.ticket.executor, fixture.responseTo(call, ResultCode::AnswerLost));
    }
    const int count = fixture.countOfCallsToFirst(100);
    cr_assert_geq(count, 20, "%d of 100 calls", count);
}

Test(router, the_deadline_ends_a_call_as_unknown_and_cancels_it)
{
    RouterFixture fixture;
    fixture.call(true, 0);
    fixture.time.runFor(std::chrono::milliseconds(1100));
    cr_assert_eq(fixture.results.front().code, ResultCode::DeadlineWhileRunning);
    cr_assert(std::holds_alternative<CancelMessage>(fixture.sent.back().second));
}

//! Guards against callers that get no answer because the node exits.
Test(router, calls_that_are_abandoned_end_with_the_given_code_and_are_cancelled_at_their_executors)
{
    RouterFixture fixture;
    fixture.call(true, 4);
    fixture.call(false, 4);
    fixture.router.abandonCalls(ResultCode::NodeStopped);
    cr_assert_eq(fixture.results.size(), 2);
    for (const CallResult &result : fixture.results) {
        cr_expect_eq(result.code, ResultCode::NodeStopped);
    }
    cr_expect_eq(fixture.router.outstanding(), 0);
    cr_assert_eq(fixture.sent.size(), 4, "a call that is abandoned is not retried");
    cr_expect(std::holds_alternative<CancelMessage>(fixture.sent[2].second));
    cr_expect(std::holds_alternative<CancelMessage>(fixture.sent[3].second));
}
