#include <chervilpaddle/controllers/ticketregistry.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;

namespace {

using Verdict = TicketRegistry::Verdict;

TicketId ticket(std::uint64_t sequence, std::uint64_t issuer = 1)
{
    return {Incarnation(issuer), sequence};
}

ResponseMessage responseOf(std::size_t bytes)
{
    ResponseMessage response;
    response.payload.body = std::make_shared<const std::string>(bytes, 'x');
    return response;
}

void admitAndFinish(TicketRegistry &registry, const TicketId &id, std::size_t bytes = 10)
{
    registry.admit(id, 1);
    registry.start(id);
    registry.finish(id, responseOf(bytes));
}

} // namespace

Test(ticketregistry, a_duplicate_never_starts_again)
{
    TicketRegistry registry;
    cr_assert_eq(registry.admit(ticket(1), 5), Verdict::Fresh);
    cr_assert_eq(registry.admit(ticket(1), 5), Verdict::InFlight);
    cr_assert(registry.start(ticket(1)));
    cr_assert_not(registry.start(ticket(1)));
    registry.finish(ticket(1), responseOf(3));
    cr_assert_eq(registry.admit(ticket(1), 5), Verdict::Answered);
    cr_assert_not(registry.start(ticket(1)));
}

Test(ticketregistry, rejects_another_request_with_the_same_ticket)
{
    TicketRegistry registry;
    registry.admit(ticket(1), 5);
    cr_assert_eq(registry.admit(ticket(1), 6), Verdict::Mismatch);
}

Test(ticketregistry, a_voided_ticket_never_starts)
{
    TicketRegistry registry;
    registry.admit(ticket(1), 5);
    cr_assert(registry.voidTicket(ticket(1)));
    cr_assert_not(registry.start(ticket(1)));
    cr_assert_eq(registry.admit(ticket(1), 5), Verdict::Voided);
}

Test(ticketregistry, voiding_an_unseen_ticket_rejects_its_late_call)
{
    TicketRegistry registry;
    cr_assert(registry.voidTicket(ticket(9)));
    cr_assert_eq(registry.admit(ticket(9), 5), Verdict::Voided);
}

Test(ticketregistry, a_started_ticket_cannot_be_voided)
{
    TicketRegistry registry;
    registry.admit(ticket(1), 5);
    registry.start(ticket(1));
    cr_assert_not(registry.voidTicket(ticket(1)));
}

Test(ticketregistry, eviction_never_makes_an_old_duplicate_fresh)
{
    TicketRegistry registry({4, 16, 1000000});
    for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
        admitAndFinish(registry, ticket(sequence));
    }
    cr_assert_eq(registry.size(), 4);
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
        cr_assert_eq(registry.admit(ticket(sequence), 1), Verdict::TooOld);
    }
    cr_assert_eq(registry.admit(ticket(7), 1), Verdict::Answered);
    cr_assert_not(registry.voidTicket(ticket(3)), "whether it ran is no longer known");
}

Test(ticketregistry, a_running_call_is_not_evicted_with_later_ones)
{
    TicketRegistry registry({2, 16, 1000000});
    registry.admit(ticket(1), 1);
    registry.start(ticket(1));
    for (std::uint64_t sequence = 2; sequence <= 8; ++sequence) {
        admitAndFinish(registry, ticket(sequence));
    }
    cr_assert_eq(registry.admit(ticket(1), 1), Verdict::InFlight);
}

Test(ticketregistry, bounds_the_memory_of_stored_responses)
{
    TicketRegistry registry({1000, 16, 100});
    for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
        admitAndFinish(registry, ticket(sequence), 30);
    }
    cr_assert_leq(registry.responseBytes(), 100);
    admitAndFinish(registry, ticket(11), 500);
    cr_assert_eq(registry.admit(ticket(11), 1), Verdict::ResponseEvicted);
}

Test(ticketregistry, rejects_only_new_issuers_when_the_table_is_full)
{
    TicketRegistry registry({10, 2, 1000});
    cr_assert_eq(registry.admit(ticket(1, 1), 1), Verdict::Fresh);
    cr_assert_eq(registry.admit(ticket(1, 2), 1), Verdict::Fresh);
    cr_assert_eq(registry.admit(ticket(1, 3), 1), Verdict::Full);
    cr_assert_eq(registry.admit(ticket(2, 1), 1), Verdict::Fresh);
}
