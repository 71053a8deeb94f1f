#include "ticketprogress.h"

namespace chervilpaddle::tool {

void TicketProgress::attemptEnded(const CallerRequest &sent, const CallerResult &result)
{
    // The ticket may have been fetched and first presented within the attempt.
    const int presentedBefore = result.ticket == sent.ticket ? sent.ticketAttempt : 0;
    m_ticket = result.ticket;
    if (result.outcome != Outcome::NotRun) {
        m_mayHaveRun = true;
        m_ticketAttempt = presentedBefore + 1;
        return;
    }
    const bool wasSent = result.status != 0;
    if (!wasSent) {
        // The result says nothing about earlier attempts, which may have presented the ticket.
        m_ticketAttempt = presentedBefore;
        return;
    }
    // A node reports "not run" for a ticket that was presented before only if its executor rules out a run in any attempt.
    m_mayHaveRun = m_mayHaveRun && sent.ticket.empty();
    m_ticketAttempt = 0;
}

bool TicketProgress::mayHaveRun() const
{
    return m_mayHaveRun;
}

const std::string &TicketProgress::ticket() const
{
    return m_ticket;
}

int TicketProgress::ticketAttempt() const
{
    return m_ticketAttempt;
}

} // namespace chervilpaddle::tool
