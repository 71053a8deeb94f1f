#pragma once

#include <chervilpaddle/contract/bundle.h>
#include <chervilpaddle/peer/messages.h>

#include <memory>
#include <optional>

namespace chervilpaddle {

//! A request of an external client, with the values that the entry filters set.
struct EntryRequest
{
    CustomerName customer;
    OperationName operation;
    RequestId request;
    //! The timeout that the client requests; limited to the deadline of the contract.
    std::optional<Duration> requestedTimeout;
    std::optional<Ticket> ticket;
    //! Whether the ticket header is present but cannot be parsed.
    bool ticketMalformed = false;
    //! How many times the client has sent the request before.
    int attempt = 0;
    //! How many times the client has presented the ticket before. Assumed to be a retry if the client does not state it.
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
