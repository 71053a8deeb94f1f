#include <chervilpaddle/controllers/configurationfetch.h>

#include <iterator>

namespace chervilpaddle {

namespace {

//! A change of the store reaches all nodes within this time, so that only what it does not bring is requested.
constexpr Duration replicationTime = std::chrono::milliseconds(500);
//! A peer that has not answered for this long is not asked again until it next reports its version.
constexpr Duration requestTimeout = std::chrono::milliseconds(300);
//! A peer whose configuration could not be applied is not asked for the same version for this long.
constexpr Duration rejectionTime = std::chrono::seconds(30);

} // namespace

void ConfigurationFetch::recordVersion(const InstanceId &peer, Revision version, TimePoint now)
{
    if (const auto rejected = m_rejected.find(peer); rejected != m_rejected.end()) {
        if (rejected->second.version == version && now - rejected->second.since < rejectionTime) {
            return;
        }
        m_rejected.erase(rejected);
    }
    const auto [report, isNew] = m_reports.try_emplace(peer, Report{version, now});
    if (!isNew && report->second.version != version) {
        report->second = {version, now};
    }
}

std::optional<InstanceId> ConfigurationFetch::nextPeer(Revision versionInForce, TimePoint now)
{
    expireRequest(now);
    for (auto report = m_reports.begin(); report != m_reports.end();) {
        report = versionInForce < report->second.version ? std::next(report) : m_reports.erase(report);
    }
    if (m_pending) {
        return std::nullopt;
    }
    const Duration wait = versionInForce == Revision() ? Duration::zero() : replicationTime;
    auto chosen = m_reports.end();
    for (auto report = m_reports.begin(); report != m_reports.end(); ++report) {
        const bool isDue = now - report->second.since >= wait;
        if (isDue && (chosen == m_reports.end() || chosen->second.version < report->second.version)) {
            chosen = report;
        }
    }
    if (chosen == m_reports.end()) {
        return std::nullopt;
    }
    m_pending = Request{chosen->first, chosen->second.version, now};
    return chosen->first;
}

void ConfigurationFetch::expireRequest(TimePoint now)
{
    if (m_pending && now - m_pending->sentAt >= requestTimeout) {
        m_reports.erase(m_pending->peer);
        m_pending.reset();
    }
}

void ConfigurationFetch::answered(const InstanceId &peer, bool isApplied, TimePoint now)
{
    if (!m_pending || m_pending->peer != peer) {
        return;
    }
    m_reports.erase(peer);
    if (!isApplied) {
        m_rejected[peer] = {m_pending->version, now};
    }
    m_pending.reset();
}

} // namespace chervilpaddle
