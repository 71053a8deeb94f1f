#pragma once

#include <chervilpaddle/peer/messages.h>

#include <map>
#include <optional>
#include <tuple>

namespace chervilpaddle {

struct QueuedCall
{
    TicketId ticket;
    OperationName operation;
    Rank rank = 0;
    int depth = 0;
    TimePoint arrival;
    TimePoint deadline;
};

//! Queue of calls that wait for a slot, ordered by priority (the whole part of the rank), then by depth in the call
//! tree, as deeper calls have cost more already, then by the fraction of the rank, which is the same at every hop of a
//! request's call tree. Without `priorityOrder` it is a FIFO queue. Not thread-safe.
//!
//! Meant also for a service that is called both by requests and by deeper calls of other requests of the same priority, at slightly
//! more than its capacity: deeper calls alone would fill it, and every request that calls it first would wait until its deadline.
//! Therefore such a request is overdue after a part of its time, and overdue ones get a bounded share of the starts.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(bool priorityOrder);

    //! Precondition: no call with this ticket is queued.
    void push(const QueuedCall &call);
    //! The first call in order, or null.
    const QueuedCall *first() const;
    //! The call to run next, or null: the first one or, once in several starts, an overdue one of the same priority.
    //! Precondition: called once for
    //! each call that is then removed, to be started or dropped.
    const QueuedCall *next(TimePoint now);
    //! The call to shed first, or null.
    const QueuedCall *last() const;
    //! The call with the earliest deadline, or null.
    const QueuedCall *earliestDeadline() const;
    //! Removes and returns the call with this ticket, or returns nothing if it is not queued.
    std::optional<QueuedCall> remove(const TicketId &ticket);
    std::size_t size() const;
    bool isEmpty() const;

private:
    struct Position
    {
        int priority = 0;
        int depth = 0;
        Rank rank = 0;
        std::uint64_t arrivalNumber = 0;

        friend bool operator<(const Position &a, const Position &b)
        {
            return std::make_tuple(-a.priority, -a.depth, -a.rank, a.arrivalNumber)
                < std::make_tuple(-b.priority, -b.depth, -b.rank, b.arrivalNumber);
        }
    };
    struct Entry
    {
        Position position;
        QueuedCall call;
    };

    Position positionOf(const QueuedCall &call);
    const QueuedCall *overdueRoot(int priority, TimePoint now) const;

    bool m_priorityOrder;
    std::uint64_t m_arrivals = 0;
    std::map<TicketId, Entry> m_entries;
    std::map<Position, const Entry *> m_order;
    std::map<std::pair<TimePoint, std::uint64_t>, const Entry *> m_deadlines;
    //! The calls at the root of a call tree, by priority and arrival.
    std::map<std::pair<int, std::uint64_t>, const Entry *> m_roots;
    int m_startsInOrder = 0;
};

} // namespace chervilpaddle
