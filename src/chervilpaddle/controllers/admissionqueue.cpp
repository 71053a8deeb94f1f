#include <chervilpaddle/controllers/admissionqueue.h>

#include <cmath>

namespace chervilpaddle {

AdmissionQueue::AdmissionQueue(bool priorityOrder)
    : m_priorityOrder(priorityOrder)
{
}

void AdmissionQueue::push(const QueuedCall &call)
{
    const auto [inserted, isNew] = m_entries.emplace(call.ticket, Entry{positionOf(call), call});
    const Entry &entry = inserted->second;
    m_order.emplace(entry.position, &entry);
    m_deadlines.emplace(std::make_pair(call.deadline, entry.position.arrivalNumber), &entry);
}

const QueuedCall *AdmissionQueue::first() const
{
    return m_order.empty() ? nullptr : &m_order.begin()->second->call;
}

const QueuedCall *AdmissionQueue::last() const
{
    return m_order.empty() ? nullptr : &m_order.rbegin()->second->call;
}

const QueuedCall *AdmissionQueue::earliestDeadline() const
{
    return m_deadlines.empty() ? nullptr : &m_deadlines.begin()->second->call;
}

std::optional<QueuedCall> AdmissionQueue::remove(const TicketId &ticket)
{
    const auto found = m_entries.find(ticket);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    const Entry entry = found->second;
    m_order.erase(entry.position);
    m_deadlines.erase({entry.call.deadline, entry.position.arrivalNumber});
    m_entries.erase(found);
    return entry.call;
}

std::size_t AdmissionQueue::size() const
{
    return m_entries.size();
}

bool AdmissionQueue::isEmpty() const
{
    return m_entries.empty();
}

AdmissionQueue::Position AdmissionQueue::positionOf(const QueuedCall &call)
{
    const std::uint64_t number = m_arrivals++;
    if (!m_priorityOrder) {
        return {0, 0, 0, number};
    }
    return {static_cast<int>(std::floor(call.rank)), call.depth, call.rank, number};
}

} // namespace chervilpaddle
