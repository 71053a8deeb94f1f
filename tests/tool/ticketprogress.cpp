#include <apps/tool/ticketprogress.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using namespace chervilpaddle::tool;

namespace {

CallerRequest withTicket(const std::string &ticket, int ticketAttempt)
{
    CallerRequest request;
    request.ticket = ticket;
    request.ticketAttempt = ticketAttempt;
    return request;
}

CallerResult resultOf(ResultCode code, const std::string &ticket, int status)
{
    CallerResult result;
    result.code = code;
    result.outcome = outcomeOf(code);
    result.ticket = ticket;
    result.status = status;
    return result;
}

} // namespace

//! Guards against a false "not run": an attempt is lost after it was sent, the next one cannot connect, and a third node cannot
//! reach the executor. Presented as unused, the ticket would be reported as not run.
Test(ticketprogress, an_attempt_that_was_not_sent_does_not_make_the_ticket_unused)
{
    TicketProgress progress;
    progress.attemptEnded(withTicket("", 0), resultOf(ResultCode::AnswerLost, "t1", 0));
    cr_assert_eq(progress.ticketAttempt(), 1);
    progress.attemptEnded(withTicket("t1", 1), resultOf(ResultCode::NoInstance, "t1", 0));
    cr_assert(progress.mayHaveRun());
    cr_assert_eq(progress.ticketAttempt(), 1);
    cr_assert_str_eq(progress.ticket().c_str(), "t1");
}

Test(ticketprogress, a_ticket_stays_unused_until_an_attempt_was_sent)
{
    TicketProgress progress;
    progress.attemptEnded(withTicket("t1", 0), resultOf(ResultCode::NoInstance, "t1", 0));
    cr_assert_not(progress.mayHaveRun());
    cr_assert_eq(progress.ticketAttempt(), 0);
}

Test(ticketprogress, not_run_from_the_executor_rules_out_earlier_attempts)
{
    TicketProgress progress;
    progress.attemptEnded(withTicket("t1", 0), resultOf(ResultCode::AnswerLost, "t1", 0));
    progress.attemptEnded(withTicket("t1", 1), resultOf(ResultCode::Leaving, "t2", 503));
    cr_assert_not(progress.mayHaveRun());
    cr_assert_str_eq(progress.ticket().c_str(), "t2");
    cr_assert_eq(progress.ticketAttempt(), 0);
}

Test(ticketprogress, an_unknown_attempt_without_a_ticket_is_not_ruled_out_later)
{
    TicketProgress progress;
    progress.attemptEnded(withTicket("", 0), resultOf(ResultCode::AnswerLost, "", 0));
    progress.attemptEnded(withTicket("", 0), resultOf(ResultCode::NoInstance, "", 503));
    cr_assert(progress.mayHaveRun());
}
