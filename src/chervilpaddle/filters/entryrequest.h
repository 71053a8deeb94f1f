#pragma once

#include <chervilpaddle/contract/bundle.h>
#include <chervilpaddle/peer/messages.h>

#include <memory>
#include <optional>

namespace chervilpaddle {

//! A request of an outside caller, and what the filters make of it.
struct EntryRequest
{
    CustomerName customer;
    OperationName operation;
    RequestId request;
    //! Time that the caller gives it; the contract's deadline bounds it.
    std::optional<Duration> requestedTimeout;
    std::optional<Ticket> ticket;
    //! Whether the ticket header was there but could not be read.
    bool ticketMalformed = false;
    //! How often the caller has sent the request before.
    int attempt = 0;
    //! How often the caller has presented the ticket before; taken for a repeat where it does not say.
    int ticketAttempt = 1;
    Payload payload;
    TimePoint arrival;

    //! Set by the contract filter.
    std::shared_ptr<const ContractBundle> bundle;
    const OperationTerms *terms = nullptr;
    //! Set by the deadline filter.
    TimePoint deadline;
    //! Set by the rank filter.
    Rank rank = 0;
    //! Set by the allowance filter.
    int retryAllowance = 0;
};

} // namespace chervilpaddle
