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

class FilterFixture
{
public:
    FilterFixture()
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
    FilterFixture fixture;
    cr_assert_not(fixture.refusal(fixture.request("x.read")).has_value());
    auto other = fixture.request("x.read");
    other.customer = CustomerName("nobody");
    cr_assert_eq(*fixture.refusal(other), ResultCode::UnknownCustomer);
    cr_assert_eq(*fixture.refusal(fixture.request("x.none")), ResultCode::UnknownOperation);
    cr_assert_eq(*fixture.refusal(fixture.request("x.inner")),
                 ResultCode::UnknownOperation,
                 "operations without a rate cannot be called externally");
    cr_assert_eq(*fixture.refusal(fixture.request("x.pay")), ResultCode::TicketRequired);
    auto retry = fixture.request("x.pay");
    retry.attempt = 1;
    cr_assert_eq(*fixture.refusal(retry), ResultCode::RepeatWithoutTicket);
    auto large = fixture.request("x.read");
    large.payload.body = std::make_shared<const std::string>(maxBodyBytes + 1, 'x');
    cr_assert_eq(*fixture.refusal(large), ResultCode::BodyTooLarge);
    auto late = fixture.request("x.read");
    late.requestedTimeout = Duration::zero();
    cr_assert_eq(*fixture.refusal(late), ResultCode::DeadlinePast);
    auto malformed = fixture.request("x.pay");
    malformed.ticketMalformed = true;
    cr_assert_eq(*fixture.refusal(malformed), ResultCode::Malformed);
    fixture.draining = true;
    cr_assert_eq(*fixture.refusal(fixture.request("x.read")), ResultCode::Leaving);
}

Test(filters, a_draining_node_passes_on_retries_that_have_a_ticket)
{
    FilterFixture fixture;
    fixture.draining = true;
    auto request = fixture.request("x.pay");
    cr_assert_eq(*fixture.refusal(request), ResultCode::TicketRequired);
    request.ticket = Ticket();
    cr_assert_not(fixture.refusal(request).has_value(), "a ticket without an attempt number is assumed to be a retry");
    request.ticketAttempt = 0;
    request.attempt = 1;
    cr_assert_eq(*fixture.refusal(request), ResultCode::Leaving, "the ticket is used for the first time");
}

Test(filters, before_the_first_configuration_everything_is_refused)
{
    FilterFixture fixture;
    fixture.bundle = std::make_shared<const ContractBundle>();
    cr_assert_eq(*fixture.refusal(fixture.request("x.read")), ResultCode::NoConfiguration);
}

Test(filters, the_contract_bounds_the_callers_deadline)
{
    FilterFixture fixture;
    auto request = fixture.request("x.read");
    request.requestedTimeout = std::chrono::hours(1);
    cr_assert_not(fixture.chain.run(request).has_value());
    cr_assert_eq((request.deadline - request.arrival).count(), 500000);
}

Test(filters, a_retry_gets_no_allowance_and_ranks_below_first_attempts)
{
    FilterFixture fixture;
    auto first = fixture.request("x.read");
    auto retry = fixture.request("x.read");
    retry.attempt = 2;
    fixture.chain.run(first);
    fixture.chain.run(retry);
    cr_assert_eq(first.retryAllowance, 2);
    cr_assert_eq(retry.retryAllowance, 0);
    cr_assert_lt(retry.rank, first.rank);
    cr_assert_geq(retry.rank, 10);
}

Test(filters, beyond_the_rate_a_request_ranks_last_and_is_not_refused)
{
    FilterFixture fixture;
    Rank last = 0;
    for (int i = 0; i < 20; ++i) {
        auto request = fixture.request("x.read");
        cr_assert_not(fixture.chain.run(request).has_value());
        last = request.rank;
    }
    cr_assert_lt(last, 1);
    fixture.time.skip(std::chrono::seconds(1));
    auto later = fixture.request("x.read");
    fixture.chain.run(later);
    cr_assert_geq(later.rank, 10);
}

Test(filters, priority_comes_before_everything_else_in_the_rank)
{
    const RequestId id("r");
    cr_assert_lt(rankOf(id, Priority(100), false, true), rankOf(id, Priority(101), true, true));
    cr_assert_lt(rankOf(id, Priority(1000), false, false), rankOf(id, Priority(1), true, true));
    cr_assert_lt(rankOf(id, Priority(100), false, false), rankOf(id, Priority(900), false, false));
}

Test(filters, a_rate_is_divided_over_the_nodes_of_the_service)
{
    FilterFixture fixture;
    InstanceList list;
    for (int i = 0; i < 5; ++i) {
        PublishedInstance instance;
        instance.instance = InstanceId("x-" + std::to_string(i));
        instance.service = ServiceName("x");
        list.instances.push_back(instance);
    }
    const RateTable table(*fixture.bundle, list);
    int admitted = 0;
    for (int i = 0; i < 1000; ++i) {
        admitted += table.admit(CustomerName("a"), OperationName("x.read"), fixture.time.now()) ? 1 : 0;
        fixture.time.skip(std::chrono::milliseconds(10));
    }
    cr_assert_geq(admitted, 20);
    cr_assert_leq(admitted, 22);
}
