#include <chervilpaddle/controllers/requestcoalescer.h>

#include <criterion/criterion.h>
#include <vector>

using namespace chervilpaddle;

namespace {

struct CoalescerFixture
{
    EntryRequestId submit(const std::string &key, bool mayJoin)
    {
        const auto start = [this](RequestCoalescer::Completion completion) {
            started.push_back(std::move(completion));
            return CallId(started.size());
        };
        return coalescer.submit(key, mayJoin, start, [this](const CallResult &) { ++completed; });
    }

    RequestCoalescer coalescer;
    std::vector<RequestCoalescer::Completion> started;
    int completed = 0;
};

} // namespace

Test(requestcoalescer, a_retry_joins_the_call_in_flight)
{
    CoalescerFixture fixture;
    fixture.submit("a", true);
    fixture.submit("a", true);
    cr_assert_eq(fixture.started.size(), 1);
    fixture.started.front()(CallResult());
    cr_assert_eq(fixture.completed, 2);
    fixture.submit("a", true);
    cr_assert_eq(fixture.started.size(), 2, "completed calls are not joined");
}

Test(requestcoalescer, requests_that_may_not_join_start_their_own_calls)
{
    CoalescerFixture fixture;
    fixture.submit("a", false);
    fixture.submit("a", false);
    fixture.submit("b", true);
    cr_assert_eq(fixture.started.size(), 3);
}

Test(requestcoalescer, a_call_is_cancelled_when_the_last_caller_disconnects)
{
    CoalescerFixture fixture;
    const EntryRequestId first = fixture.submit("a", true);
    const EntryRequestId second = fixture.submit("a", true);
    cr_assert(fixture.coalescer.abandon(first) == CallId());
    cr_assert(fixture.coalescer.abandon(second) == CallId(1));
    cr_assert(fixture.coalescer.abandon(second) == CallId(), "a request is abandoned only once");
    fixture.started.front()(CallResult());
    cr_assert_eq(fixture.completed, 0);
}
