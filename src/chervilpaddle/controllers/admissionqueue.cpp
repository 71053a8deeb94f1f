#include <chervilpaddle/controllers/admissionqueue.h>

#include <cmath>

namespace chervilpaddle {

namespace {

//! A call at the root of a call tree is overdue once it has waited for its time until the deadline over this divisor.
constexpr int overdueDivisor = 16;
//! Calls taken in order between two overdue ones: three quarters of the slots stay with the calls that cost most so far.
constexpr int minStartsInOrder = 3;

} // namespace

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
    if (m_priorityOrder && call.depth == 0) {
        m_roots.emplace(std::make_pair(entry.position.priority, entry.position.arrivalNumber), &entry);
    }
}

const QueuedCall *AdmissionQueue::first() const
{
    return m_order.empty() ? nullptr : &m_order.begin()->second->call;
}

const QueuedCall *AdmissionQueue::next(TimePoint now)
{
    if (m_order.empty()) {
        return nullptr;
    }
    if (m_startsInOrder >= minStartsInOrder) {
        if (const QueuedCall *overdue = overdueRoot(m_order.begin()->first.priority, now); overdue != nullptr) {
            m_startsInOrder = 0;
            return overdue;
        }
    }
    ++m_startsInOrder;
    return first();
}

const QueuedCall *AdmissionQueue::overdueRoot(int priority, TimePoint now) const
{
    const auto oldest = m_roots.lower_bound({priority, 0});
    if (oldest == m_roots.end() || oldest->first.first != priority) {
        return nullptr;
    }
    const QueuedCall &call = oldest->second->call;
    return now - call.arrival >= (call.deadline - call.arrival) / overdueDivisor ? &call : nullptr;
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
    m_roots.erase({entry.position.priority, entry.position.arrivalNumber});
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
