#pragma once

#include <chervilpaddle/base/ids.h>

#include <array>
#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace chervilpaddle {

using ServedConnection = StrongNumber<struct ServedConnectionTag>;

//! Limits the connections of a server, and decides which of them gives way to a new one: that which has served nobody for longest, so
//! that clients that hold connections without getting anything done do not keep others out. Not thread-safe.
class ConnectionLimit
{
public:
    enum class Activity {
        Closing, //!< The last response has been sent; gives way before all others.
        Waiting, //!< Waits for its client: for a request, or until a response has been read.
        Handling, //!< A request is being handled; never gives way.
    };

    explicit ConnectionLimit(std::size_t maxConnections);

    //! Adds a connection that waits for its first request.
    ServedConnection add();
    //! To be called when a request has been received, when its response begins and when that has been sent.
    //! Precondition: the connection has been added and not removed.
    void setActivity(ServedConnection connection, Activity activity);
    //! Precondition: as for setActivity().
    void remove(ServedConnection connection);
    bool isFull() const;
    //! Returns the connection that is to be closed for a new one, or nothing if none gives way. It is not returned again before its
    //! activity changes, and counts until it is removed.
    std::optional<ServedConnection> displace();

private:
    static constexpr std::size_t activityCount = static_cast<std::size_t>(Activity::Handling) + 1;

    struct Entry
    {
        std::list<ServedConnection> *group = nullptr;
        std::list<ServedConnection>::iterator position;
    };

    const std::size_t m_maxConnections;
    std::uint64_t m_lastNumber = 0;
    std::unordered_map<ServedConnection, Entry> m_entries;
    //! By activity, in the order in which it began.
    std::array<std::list<ServedConnection>, activityCount> m_groups;
    //! Connections that are about to be closed.
    std::list<ServedConnection> m_displaced;
};

} // namespace chervilpaddle
