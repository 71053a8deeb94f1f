#include <chervilpaddle/controllers/ticketregistry.h>

#include <algorithm>

namespace chervilpaddle {

namespace {
std::size_t bytesOf(const ResponseMessage &response)
{
    return response.payload.body ? response.payload.body->size() : 0;
}
} // namespace

TicketRegistry::TicketRegistry()
    : TicketRegistry(Limits())
{
}

TicketRegistry::TicketRegistry(Limits limits)
    : m_limits(limits)
{
}

TicketRegistry::Verdict TicketRegistry::admit(const TicketId &ticket, std::uint64_t requestDigest)
{
    if (const auto found = m_records.find(ticket); found != m_records.end()) {
        const Record &record = found->second;
        if (record.state == State::Voided) {
            return Verdict::Voided;
        }
        if (record.requestDigest != requestDigest) {
            return Verdict::Mismatch;
        }
        if (record.state != State::Finished) {
            return Verdict::InFlight;
        }
        return record.response ? Verdict::Answered : Verdict::ResponseEvicted;
    }
    if (isTooOld(ticket)) {
        return Verdict::TooOld;
    }
    if (!hasRoomFor(ticket.issuer)) {
        return Verdict::Full;
    }
    m_records[ticket] = {State::Queued, requestDigest, nullptr};
    return Verdict::Fresh;
}

bool TicketRegistry::start(const TicketId &ticket)
{
    const auto found = m_records.find(ticket);
    if (found == m_records.end() || found->second.state != State::Queued) {
        return false;
    }
    found->second.state = State::Started;
    return true;
}

void TicketRegistry::finish(const TicketId &ticket, const ResponseMessage &response)
{
    const auto found = m_records.find(ticket);
    if (found == m_records.end() || found->second.state != State::Started) {
        return;
    }
    found->second.state = State::Finished;
    if (const std::size_t bytes = bytesOf(response); bytes <= m_limits.maxResponseBytes) {
        found->second.response = std::make_shared<const ResponseMessage>(response);
        m_responseBytes += bytes;
    }
    retire(ticket);
}

bool TicketRegistry::voidTicket(const TicketId &ticket)
{
    const auto found = m_records.find(ticket);
    if (found == m_records.end()) {
        if (isTooOld(ticket) || !hasRoomFor(ticket.issuer)) {
            return false;
        }
        m_records[ticket] = {State::Voided, 0, nullptr};
        retire(ticket);
        return true;
    }
    if (found->second.state == State::Queued) {
        found->second.state = State::Voided;
        retire(ticket);
    }
    return found->second.state == State::Voided;
}

const ResponseMessage *TicketRegistry::response(const TicketId &ticket) const
{
    const auto found = m_records.find(ticket);
    return found == m_records.end() ? nullptr : found->second.response.get();
}

std::optional<TicketRegistry::State> TicketRegistry::state(const TicketId &ticket) const
{
    const auto found = m_records.find(ticket);
    return found == m_records.end() ? std::nullopt : std::optional(found->second.state);
}

std::size_t TicketRegistry::size() const
{
    return m_records.size();
}

std::size_t TicketRegistry::issuerCount() const
{
    return m_lowWater.size();
}

std::size_t TicketRegistry::responseBytes() const
{
    return m_responseBytes;
}

bool TicketRegistry::isTooOld(const TicketId &ticket) const
{
    const auto mark = m_lowWater.find(ticket.issuer);
    return mark != m_lowWater.end() && ticket.sequence <= mark->second;
}

bool TicketRegistry::hasRoomFor(Incarnation issuer)
{
    if (m_lowWater.count(issuer) != 0) {
        return true;
    }
    if (m_lowWater.size() >= m_limits.maxIssuers) {
        return false;
    }
    m_lowWater[issuer] = 0;
    return true;
}

void TicketRegistry::retire(const TicketId &ticket)
{
    m_retired.push_back(ticket);
    evict();
}

void TicketRegistry::evict()
{
    while (!m_retired.empty() && (m_retired.size() > m_limits.maxRecords || m_responseBytes > m_limits.maxResponseBytes)) {
        const TicketId oldest = m_retired.front();
        m_retired.pop_front();
        const auto found = m_records.find(oldest);
        if (found->second.response) {
            m_responseBytes -= bytesOf(*found->second.response);
        }
        m_records.erase(found);
        std::uint64_t &mark = m_lowWater[oldest.issuer];
        mark = std::max(mark, oldest.sequence);
    }
}

} // namespace chervilpaddle
