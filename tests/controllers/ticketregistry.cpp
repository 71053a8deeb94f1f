#include <chervilpaddle/controllers/ticketregistry.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;

namespace {

using Verdict = TicketRegistry::Verdict;

TicketId ticket(std::uint64_t sequence, std::uint64_t minter = 1)
{
    return {Incarnation(minter), sequence};
}

AnswerMessage answerOf(std::size_t bytes)
{
    AnswerMessage answer;
    answer.payload.body = std::make_shared<const std::string>(bytes, 'x');
    return answer;
}

void runOnce(TicketRegistry &registry, const TicketId &id, std::size_t bytes = 10)
{
    registry.admit(id, 1);
    registry.start(id);
    registry.finish(id, answerOf(bytes));
}

} // namespace

Test(tickets, a_duplicate_never_starts_again)
{
    TicketRegistry registry;
    cr_assert_eq(registry.admit(ticket(1), 5), Verdict::Fresh);
    cr_assert_eq(registry.admit(ticket(1), 5), Verdict::InFlight);
    cr_assert(registry.start(ticket(1)));
    cr_assert_not(registry.start(ticket(1)));
    registry.finish(ticket(1), answerOf(3));
    cr_assert_eq(registry.admit(ticket(1), 5), Verdict::Answered);
    cr_assert_not(registry.start(ticket(1)));
}

Test(tickets, another_request_under_the_same_ticket_is_refused)
{
    TicketRegistry registry;
    registry.admit(ticket(1), 5);
    cr_assert_eq(registry.admit(ticket(1), 6), Verdict::Mismatch);
}

Test(tickets, a_voided_ticket_never_starts)
{
    TicketRegistry registry;
    registry.admit(ticket(1), 5);
    cr_assert(registry.voidTicket(ticket(1)));
    cr_assert_not(registry.start(ticket(1)));
    cr_assert_eq(registry.admit(ticket(1), 5), Verdict::Voided);
}

Test(tickets, voiding_before_arrival_refuses_the_late_frame)
{
    TicketRegistry registry;
    cr_assert(registry.voidTicket(ticket(9)));
    cr_assert_eq(registry.admit(ticket(9), 5), Verdict::Voided);
}

Test(tickets, a_started_ticket_cannot_be_voided)
{
    TicketRegistry registry;
    registry.admit(ticket(1), 5);
    registry.start(ticket(1));
    cr_assert_not(registry.voidTicket(ticket(1)));
}

Test(tickets, eviction_never_makes_an_old_duplicate_fresh)
{
    TicketRegistry registry({4, 16, 1000000});
    for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
        runOnce(registry, ticket(sequence));
    }
    cr_assert_eq(registry.size(), 4);
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
        cr_assert_eq(registry.admit(ticket(sequence), 1), Verdict::TooOld);
    }
    cr_assert_eq(registry.admit(ticket(7), 1), Verdict::Answered);
    cr_assert_not(registry.voidTicket(ticket(3)), "whether it ran is not known any more");
}

Test(tickets, a_running_call_survives_the_eviction_of_later_ones)
{
    TicketRegistry registry({2, 16, 1000000});
    registry.admit(ticket(1), 1);
    registry.start(ticket(1));
    for (std::uint64_t sequence = 2; sequence <= 8; ++sequence) {
        runOnce(registry, ticket(sequence));
    }
    cr_assert_eq(registry.admit(ticket(1), 1), Verdict::InFlight);
}

Test(tickets, memory_for_answers_is_bounded)
{
    TicketRegistry registry({1000, 16, 100});
    for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
        runOnce(registry, ticket(sequence), 30);
    }
    cr_assert_leq(registry.answerBytes(), 100);
    runOnce(registry, ticket(11), 500);
    cr_assert_eq(registry.admit(ticket(11), 1), Verdict::AnswerEvicted);
}

Test(tickets, a_full_table_of_minters_refuses_new_ones_only)
{
    TicketRegistry registry({10, 2, 1000});
    cr_assert_eq(registry.admit(ticket(1, 1), 1), Verdict::Fresh);
    cr_assert_eq(registry.admit(ticket(1, 2), 1), Verdict::Fresh);
    cr_assert_eq(registry.admit(ticket(1, 3), 1), Verdict::Full);
    cr_assert_eq(registry.admit(ticket(2, 1), 1), Verdict::Fresh);
}
