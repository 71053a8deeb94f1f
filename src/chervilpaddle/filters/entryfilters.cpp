#include <chervilpaddle/filters/entryfilters.h>

#include <chervilpaddle/base/random.h>
#include <chervilpaddle/controllers/ratelimiter.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

Filter drainFilter(const EntryFilterInputs &inputs)
{
    return [draining = inputs.draining](EntryRequest &request) -> std::optional<ResultCode> {
        // A retry with a ticket is still forwarded: only the ticket's executor knows whether an earlier attempt ran.
        const bool isRetryWithTicket = request.ticket && request.ticketAttempt > 0;
        return draining() && !isRetryWithTicket ? std::optional(ResultCode::Leaving) : std::nullopt;
    };
}

std::optional<ResultCode> filterBody(EntryRequest &request)
{
    if (request.payload.body && request.payload.body->size() > maxBodyBytes) {
        return ResultCode::BodyTooLarge;
    }
    return std::nullopt;
}

Filter contractFilter(const EntryFilterInputs &inputs)
{
    return [bundle = inputs.bundle](EntryRequest &request) -> std::optional<ResultCode> {
        request.bundle = bundle();
        if (request.bundle->manifest.revision.value() == 0) {
            return ResultCode::NoConfiguration;
        }
        if (!request.bundle->hasCustomer(request.customer)) {
            return ResultCode::UnknownCustomer;
        }
        request.terms = request.bundle->find(request.customer, request.operation);
        if (request.terms == nullptr || !request.terms->ratePerSecond) {
            return ResultCode::UnknownOperation;
        }
        return std::nullopt;
    };
}

Filter deadlineFilter(const EntryFilterInputs &inputs)
{
    return [clock = inputs.clock](EntryRequest &request) -> std::optional<ResultCode> {
        const Duration allowed = std::min(request.terms->deadline, request.requestedTimeout.value_or(request.terms->deadline));
        request.deadline = request.arrival + allowed;
        return clock() < request.deadline ? std::nullopt : std::optional(ResultCode::DeadlinePast);
    };
}

std::optional<ResultCode> filterTicket(EntryRequest &request)
{
    if (request.ticketMalformed) {
        return ResultCode::Malformed;
    }
    if (request.terms->idempotent) {
        request.ticket.reset();
        return std::nullopt;
    }
    if (request.ticket) {
        return std::nullopt;
    }
    return request.attempt > 0 ? ResultCode::RepeatWithoutTicket : ResultCode::TicketRequired;
}

Filter rankFilter(const EntryFilterInputs &inputs)
{
    return [clock = inputs.clock, rates = inputs.rates](EntryRequest &request) -> std::optional<ResultCode> {
        const bool withinRate = rates()->admit(request.customer, request.operation, clock());
        request.rank = rankOf(request.request, request.terms->priority, request.attempt > 0, withinRate);
        return std::nullopt;
    };
}

std::optional<ResultCode> filterAllowance(EntryRequest &request)
{
    request.retryAllowance = request.attempt > 0 ? 0 : request.terms->retryAllowance;
    return std::nullopt;
}

} // namespace

FilterChain entryFilterChain(const EntryFilterInputs &inputs)
{
    FilterChain chain;
    chain.add("body", filterBody);
    chain.add("contract", contractFilter(inputs));
    chain.add("deadline", deadlineFilter(inputs));
    chain.add("ticket", filterTicket);
    chain.add("drain", drainFilter(inputs));
    chain.add("rank", rankFilter(inputs));
    chain.add("allowance", filterAllowance);
    return chain;
}

Rank rankOf(const RequestId &request, Priority priority, bool isRetry, bool withinRate)
{
    // First attempts have a fraction in the upper half, retries in the lower half.
    const double halfFraction = hashFraction(request.value()) / 2;
    const double fraction = isRetry ? halfFraction : 0.5 + halfFraction;
    const double rank = priority.value() + fraction;
    return withinRate ? rank : rank / (maxPriority + 1);
}

} // namespace chervilpaddle
