#include "virtualtime.h"

#include <chervilpaddle/controllers/executor.h>
#include <chervilpaddle/controllers/localcalls.h>

#include <criterion/criterion.h>
#include <deque>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

namespace {

class LocalCallsFixture
{
public:
    LocalCallsFixture()
        : executor({InstanceId("x-1"), Incarnation(7), 1, fullPolicy(), {}},
                   {time.clock(), [this](const Run &run) { started.push_back(run); }, [](RunId /*run*/) {}})
        , localCalls(
              {time.clock(),
               [this](std::function<void()> action) { posted.push_back(std::move(action)); },
               [this](const CallMessage &call, Duration delay, Executor::Reply reply) { executor.submit(call, delay, std::move(reply)); },
               [this](const TicketId &ticket) { executor.cancel(ticket); },
               [this](const ResponseMessage &response) { responses.push_back(response); }})
    {
    }

    static CallMessage call()
    {
        CallMessage call;
        call.ticket = {{Incarnation(1), 1}, InstanceId("x-1"), Incarnation(7)};
        call.context.operation = OperationName("x.run");
        call.remaining = std::chrono::milliseconds(500);
        return call;
    }

    void runPosted()
    {
        while (!posted.empty()) {
            const auto action = std::move(posted.front());
            posted.pop_front();
            action();
        }
    }

    VirtualTime time;
    std::deque<std::function<void()>> posted;
    std::vector<Run> started;
    std::vector<ResponseMessage> responses;
    Executor executor;
    LocalCalls localCalls;
};

} // namespace

Test(localcalls, a_response_is_delivered_later)
{
    LocalCallsFixture fixture;
    fixture.localCalls.send(LocalCallsFixture::call());
    cr_assert(fixture.started.empty());
    fixture.runPosted();
    cr_assert_eq(fixture.started.size(), 1);
    fixture.executor.completeRun(fixture.started.front().id, {ResultCode::Done, {}});
    cr_assert(fixture.responses.empty());
    fixture.runPosted();
    cr_assert_eq(fixture.responses.size(), 1);
}

//! Otherwise the call runs although its caller has been told that it may not have.
Test(localcalls, a_call_whose_deadline_passes_while_it_is_queued_does_not_run)
{
    LocalCallsFixture fixture;
    fixture.localCalls.send(LocalCallsFixture::call());
    fixture.time.skip(std::chrono::milliseconds(600));
    fixture.runPosted();
    cr_assert(fixture.started.empty());
    cr_assert_eq(fixture.responses.size(), 1);
    cr_assert_eq(fixture.responses.front().code, ResultCode::DeadlinePast);
}

Test(localcalls, a_cancellation_does_not_overtake_its_call)
{
    LocalCallsFixture fixture;
    fixture.executor.submit(
        [] {
            CallMessage other = LocalCallsFixture::call();
            other.ticket.id.sequence = 2;
            return other;
        }(),
        Duration::zero(),
        [](const ResponseMessage & /*response*/) {});
    fixture.localCalls.send(LocalCallsFixture::call());
    fixture.localCalls.send(CancelMessage{LocalCallsFixture::call().ticket.id});
    fixture.runPosted();
    cr_assert_eq(fixture.responses.size(), 1);
    cr_assert_eq(fixture.responses.front().code, ResultCode::CancelledBeforeStart);
}
