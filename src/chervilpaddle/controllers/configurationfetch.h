#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <map>
#include <optional>

namespace chervilpaddle {

//! Decides which peer to ask for the configuration that it has in force. A store that was restored from a copy may hold an older
//! configuration than the peers of a node that has just started. Does no I/O. Not thread-safe.
class ConfigurationFetch
{
public:
    //! Records the version that a peer has in force. Zero if the peer does not report it, and then cannot serve it either.
    void recordVersion(const InstanceId &peer, Revision version, TimePoint now);
    //! The peer to be asked now, if any. The request is then pending until it is answered or times out. To be called several times
    //! per second.
    std::optional<InstanceId> nextPeer(Revision versionInForce, TimePoint now);
    //! A peer has sent its configuration. `isApplied` tells whether that is now in force.
    void answered(const InstanceId &peer, bool isApplied, TimePoint now);

private:
    struct Report
    {
        Revision version;
        TimePoint since;
    };
    struct Request
    {
        InstanceId peer;
        Revision version;
        TimePoint sentAt;
    };

    void expireRequest(TimePoint now);

    //! The peers that may have newer versions than the one in force.
    std::map<InstanceId, Report> m_reports;
    std::optional<Request> m_pending;
    //! The last version of each peer that could not be applied.
    std::map<InstanceId, Report> m_rejected;
};

} // namespace chervilpaddle
