#include <chervilpaddle/controllers/readerrole.h>

#include <algorithm>
#include <utility>

namespace chervilpaddle {

namespace {

//! Three report intervals: a reader that has been silent for longer does not count.
constexpr Duration reportLifetime = std::chrono::milliseconds(1200);
//! The first report of a reader arrives after it has been selected and the links have been established.
constexpr Duration firstReportDelay = std::chrono::milliseconds(1000);
constexpr Duration maxTakeOverDelay = std::chrono::milliseconds(300);
//! A node that has taken over goes on reading for this long, so that an unsteady reader does not make it switch back and forth.
constexpr Duration minReadingTime = std::chrono::seconds(5);

} // namespace

ReaderRole::ReaderRole(LocalNode localNode, std::uint64_t seed)
    : m_localNode(std::move(localNode))
{
    RandomSource random(seed);
    m_takeOverDelay = randomDuration(random, Duration::zero(), maxTakeOverDelay);
}

void ReaderRole::setInstances(const InstanceList &list, TimePoint now)
{
    const bool hadReader = m_isSelected || hasActiveReader(now);
    m_readers = selectReaders(list, m_localNode.dataCentre, storeReadersPerDataCentre);
    // Other readers than before have not reported yet. They get time for it only if those before them had access to the store,
    // so that a series of changes cannot put off for long that this node turns to the store.
    if (!m_readers.empty() && (!m_lastActiveReaderAt || (hadReader && !hasActiveReader(now)))) {
        m_lastActiveReaderAt = now + firstReportDelay;
    }
    m_isSelected = std::find(m_readers.begin(), m_readers.end(), m_localNode.instance) != m_readers.end();
    m_receivers.clear();
    m_followers.clear();
    std::set<DataCentreName> otherDataCentres;
    for (const PublishedInstance &instance : list.instances) {
        if (instance.dataCentre != m_localNode.dataCentre) {
            otherDataCentres.insert(instance.dataCentre);
        } else if (m_isSelected && instance.instance != m_localNode.instance) {
            m_followers.push_back(instance.instance);
        }
    }
    if (!m_isSelected) {
        return;
    }
    m_receivers = m_followers;
    for (const DataCentreName &dataCentre : otherDataCentres) {
        const auto readers = selectReaders(list, dataCentre, storeReadersPerDataCentre);
        m_receivers.insert(m_receivers.end(), readers.begin(), readers.end());
    }
}

void ReaderRole::recordReport(const InstanceId &instance, std::optional<Duration> availableFor, TimePoint now)
{
    if (isLocalReader(instance)) {
        m_reports[instance] = {now, availableFor ? std::optional<TimePoint>(now - *availableFor) : std::nullopt};
    }
}

bool ReaderRole::mustRead(TimePoint now)
{
    if (m_isSelected || !m_lastActiveReaderAt) {
        m_takenOverSince.reset();
        return true;
    }
    if (hasActiveReader(now)) {
        m_lastActiveReaderAt = std::max(*m_lastActiveReaderAt, now);
        const bool isFirstReader = !std::exchange(m_hasHeardReader, true);
        if (m_takenOverSince && (isFirstReader || now - *m_takenOverSince >= minReadingTime)) {
            m_takenOverSince.reset();
        }
    } else if (now - *m_lastActiveReaderAt >= m_takeOverDelay) {
        m_takenOverSince = m_takenOverSince.value_or(now);
    }
    return m_takenOverSince.has_value();
}

bool ReaderRole::isSelected() const
{
    return m_isSelected;
}

bool ReaderRole::isSubstitute() const
{
    return m_takenOverSince.has_value();
}

bool ReaderRole::isLocalReader(const InstanceId &instance) const
{
    return std::find(m_readers.begin(), m_readers.end(), instance) != m_readers.end();
}

const std::vector<InstanceId> &ReaderRole::receivers() const
{
    return isSubstitute() ? m_readers : m_receivers;
}

const std::vector<InstanceId> &ReaderRole::followers() const
{
    return m_followers;
}

std::optional<TimePoint> ReaderRole::availableSince(TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const InstanceId &reader : m_readers) {
        const auto report = m_reports.find(reader);
        if (report == m_reports.end() || now - report->second.received > reportLifetime || !report->second.availableSince) {
            continue;
        }
        const TimePoint since = *report->second.availableSince;
        earliest = earliest ? std::min(*earliest, since) : since;
    }
    return earliest;
}

bool ReaderRole::hasActiveReader(TimePoint now) const
{
    return availableSince(now).has_value();
}

} // namespace chervilpaddle
