#include "virtualtime.h"

#include <chervilpaddle/controllers/ratelimiter.h>
#include <chervilpaddle/filters/entryfilters.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace chervilpaddle::support;

namespace {

const std::string contractText = "[customer]\nname = a\n"
                                 "[operation x.read]\nworth = 10\ndeadline = 500ms\nidempotent = yes\nrepeats = 2\nrate = 10/s\n"
                                 "[operation x.pay]\nworth = 900\ndeadline = 500ms\nidempotent = no\nrepeats = 3\nrate = 10/s\n"
                                 "[operation x.inner]\nworth = 10\ndeadline = 500ms\nidempotent = yes\nrepeats = 0\n";

class FilterBench
{
public:
    FilterBench()
    {
        Manifest manifest;
        manifest.revision = Revision(1);
        manifest.services = {ServiceName("x")};
        manifest.contractDigests[CustomerName("a")] = contractDigest(contractText);
        std::vector<Problem> problems;
        bundle = std::make_shared<const ContractBundle>(buildBundle(manifest, {{CustomerName("a"), contractText}}, problems));
        rates = std::make_shared<const RateTable>(*bundle, InstanceList());
        chain = entryFilterChain({time.clock(), [this] { return draining; }, [this] { return bundle; }, [this] { return rates; }});
    }

    EntryRequest request(const std::string &operation) const
    {
        EntryRequest request;
        request.customer = CustomerName("a");
        request.operation = OperationName(operation);
        request.request = RequestId("r");
        request.arrival = time.now();
        return request;
    }

    std::optional<ResultCode> refusal(EntryRequest request) const
    {
        const auto refused = chain.run(request);
        return refused ? std::optional(refused->code) : std::nullopt;
    }

    VirtualTime time;
    bool draining = false;
    std::shared_ptr<const ContractBundle> bundle;
    std::shared_ptr<const RateTable> rates;
    FilterChain chain;
};

} // namespace

Test(filters, each_refusal_has_its_code)
{
    FilterBench bench;
    cr_assert_not(bench.refusal(bench.request("x.read")).has_value());
    auto other = bench.request("x.read");
    other.customer = CustomerName("nobody");
    cr_assert_eq(*bench.refusal(other), ResultCode::UnknownCustomer);
    cr_assert_eq(*bench.refusal(bench.request("x.none")), ResultCode::UnknownOperation);
    cr_assert_eq(*bench.refusal(bench.request("x.inner")), ResultCode::UnknownOperation, "operations without a rate are not for callers");
    cr_assert_eq(*bench.refusal(bench.request("x.pay")), ResultCode::TicketRequired);
    auto repeat = bench.request("x.pay");
    repeat.attempt = 1;
    cr_assert_eq(*bench.refusal(repeat), ResultCode::RepeatWithoutTicket);
    auto large = bench.request("x.read");
    large.payload.body = std::make_shared<const std::string>(largestBodyBytes + 1, 'x');
    cr_assert_eq(*bench.refusal(large), ResultCode::BodyTooLarge);
    auto late = bench.request("x.read");
    late.requestedTimeout = Duration::zero();
    cr_assert_eq(*bench.refusal(late), ResultCode::DeadlinePast);
    auto malformed = bench.request("x.pay");
    malformed.ticketMalformed = true;
    cr_assert_eq(*bench.refusal(malformed), ResultCode::Malformed);
    bench.draining = true;
    cr_assert_eq(*bench.refusal(bench.request("x.read")), ResultCode::Leaving);
}

Test(filters, a_draining_node_passes_on_repeats_that_have_a_ticket)
{
    FilterBench bench;
    bench.draining = true;
    auto request = bench.request("x.pay");
    cr_assert_eq(*bench.refusal(request), ResultCode::TicketRequired);
    request.ticket = Ticket();
    cr_assert_not(bench.refusal(request).has_value(), "without the caller's word it is taken for a repeat");
    request.ticketAttempt = 0;
    request.attempt = 1;
    cr_assert_eq(*bench.refusal(request), ResultCode::Leaving, "the ticket is fresh");
}

Test(filters, before_the_first_configuration_everything_is_refused)
{
    FilterBench bench;
    bench.bundle = std::make_shared<const ContractBundle>();
    cr_assert_eq(*bench.refusal(bench.request("x.read")), ResultCode::NoConfiguration);
}

Test(filters, the_contract_bounds_the_callers_deadline)
{
    FilterBench bench;
    auto request = bench.request("x.read");
    request.requestedTimeout = std::chrono::hours(1);
    cr_assert_not(bench.chain.run(request).has_value());
    cr_assert_eq((request.deadline - request.arrival).count(), 500000);
}

Test(filters, a_repeat_gets_no_allowance_and_ranks_below_first_attempts)
{
    FilterBench bench;
    auto first = bench.request("x.read");
    auto repeat = bench.request("x.read");
    repeat.attempt = 2;
    bench.chain.run(first);
    bench.chain.run(repeat);
    cr_assert_eq(first.retryAllowance, 2);
    cr_assert_eq(repeat.retryAllowance, 0);
    cr_assert_lt(repeat.rank, first.rank);
    cr_assert_geq(repeat.rank, 10);
}

Test(filters, beyond_the_rate_a_request_ranks_last_and_is_not_refused)
{
    FilterBench bench;
    Rank last = 0;
    for (int i = 0; i < 20; ++i) {
        auto request = bench.request("x.read");
        cr_assert_not(bench.chain.run(request).has_value());
        last = request.rank;
    }
    cr_assert_lt(last, 1);
    bench.time.skip(std::chrono::seconds(1));
    auto later = bench.request("x.read");
    bench.chain.run(later);
    cr_assert_geq(later.rank, 10);
}

Test(filters, worth_comes_before_everything_else_in_the_rank)
{
    const RequestId id("r");
    cr_assert_lt(rankOf(id, Worth(100), false, true), rankOf(id, Worth(101), true, true));
    cr_assert_lt(rankOf(id, Worth(1000), false, false), rankOf(id, Worth(1), true, true));
    cr_assert_lt(rankOf(id, Worth(100), false, false), rankOf(id, Worth(900), false, false));
}

Test(filters, a_rate_is_divided_over_the_nodes_of_the_service)
{
    FilterBench bench;
    InstanceList list;
    for (int i = 0; i < 5; ++i) {
        PublishedInstance instance;
        instance.instance = InstanceId("x-" + std::to_string(i));
        instance.service = ServiceName("x");
        list.instances.push_back(instance);
    }
    const RateTable table(*bench.bundle, list);
    int admitted = 0;
    for (int i = 0; i < 1000; ++i) {
        admitted += table.admit(CustomerName("a"), OperationName("x.read"), bench.time.now()) ? 1 : 0;
        bench.time.skip(std::chrono::milliseconds(10));
    }
    cr_assert_geq(admitted, 20);
    cr_assert_leq(admitted, 22);
}
