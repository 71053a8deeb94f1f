#include <chervilpaddle/controllers/connectionlimit.h>

namespace chervilpaddle {

ConnectionLimit::ConnectionLimit(std::size_t maxConnections)
    : m_maxConnections(maxConnections)
{
}

ServedConnection ConnectionLimit::add()
{
    const ServedConnection connection(++m_lastNumber);
    auto &group = m_groups[static_cast<std::size_t>(Activity::Waiting)];
    m_entries[connection] = {&group, group.insert(group.end(), connection)};
    return connection;
}

void ConnectionLimit::setActivity(ServedConnection connection, Activity activity)
{
    Entry &entry = m_entries.at(connection);
    auto &group = m_groups[static_cast<std::size_t>(activity)];
    group.splice(group.end(), *entry.group, entry.position);
    entry.group = &group;
}

void ConnectionLimit::remove(ServedConnection connection)
{
    const auto found = m_entries.find(connection);
    found->second.group->erase(found->second.position);
    m_entries.erase(found);
}

bool ConnectionLimit::isFull() const
{
    return m_entries.size() >= m_maxConnections;
}

std::optional<ServedConnection> ConnectionLimit::displace()
{
    for (std::size_t activity = 0; activity < static_cast<std::size_t>(Activity::Handling); ++activity) {
        if (auto &group = m_groups[activity]; !group.empty()) {
            Entry &entry = m_entries.at(group.front());
            m_displaced.splice(m_displaced.end(), group, group.begin());
            entry.group = &m_displaced;
            return m_displaced.back();
        }
    }
    return std::nullopt;
}

} // namespace chervilpaddle
