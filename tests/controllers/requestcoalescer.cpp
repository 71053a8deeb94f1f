#include <chervilpaddle/controllers/requestcoalescer.h>

#include <criterion/criterion.h>
#include <vector>

using namespace chervilpaddle;

namespace {

struct EntryBench
{
    EntryRequestId enter(const std::string &key, bool mayJoin)
    {
        const auto start = [this](RequestCoalescer::Completion completion) {
            started.push_back(std::move(completion));
            return CallId(started.size());
        };
        return calls.submit(key, mayJoin, start, [this](const CallResult &) { ++completed; });
    }

    RequestCoalescer calls;
    std::vector<RequestCoalescer::Completion> started;
    int completed = 0;
};

} // namespace

Test(entry, a_repeat_joins_the_copy_in_flight)
{
    EntryBench bench;
    bench.enter("a", true);
    bench.enter("a", true);
    cr_assert_eq(bench.started.size(), 1);
    bench.started.front()(CallResult());
    cr_assert_eq(bench.completed, 2);
    bench.enter("a", true);
    cr_assert_eq(bench.started.size(), 2, "what has ended is not joined");
}

Test(entry, what_may_not_be_joined_goes_its_own_way)
{
    EntryBench bench;
    bench.enter("a", false);
    bench.enter("a", false);
    bench.enter("b", true);
    cr_assert_eq(bench.started.size(), 3);
}

Test(entry, a_call_is_cancelled_when_the_last_caller_has_gone)
{
    EntryBench bench;
    const EntryRequestId first = bench.enter("a", true);
    const EntryRequestId second = bench.enter("a", true);
    cr_assert(bench.calls.abandon(first) == CallId());
    cr_assert(bench.calls.abandon(second) == CallId(1));
    cr_assert(bench.calls.abandon(second) == CallId(), "once");
    bench.started.front()(CallResult());
    cr_assert_eq(bench.completed, 0);
}
