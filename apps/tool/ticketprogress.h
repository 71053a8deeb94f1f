#pragma once

#include "callclient.h"

namespace chervilpaddle::tool {

//! What a caller knows about the ticket of one request over its attempts. Decides how the next attempt presents the ticket and
//! whether the request may have run. Not thread-safe.
class TicketProgress
{
public:
    //! Records the result of an attempt that was sent with the request. Precondition: called once for each attempt, in order.
    void attemptEnded(const CallerRequest &sent, const CallerResult &result);

    //! Whether the request may have run in one of its attempts.
    bool mayHaveRun() const;
    //! The ticket for the next attempt, and how often it has been presented before.
    const std::string &ticket() const;
    int ticketAttempt() const;

private:
    bool m_mayHaveRun = false;
    std::string m_ticket;
    int m_ticketAttempt = 0;
};

} // namespace chervilpaddle::tool
