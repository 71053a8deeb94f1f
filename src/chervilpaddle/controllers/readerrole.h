#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/random.h>
#include <chervilpaddle/controllers/peerselection.h>

#include <map>
#include <optional>
#include <vector>

namespace chervilpaddle {

//! Nodes of each data centre that read the store. One is enough while it works; changes also arrive from the other data centres.
constexpr std::size_t storeReadersPerDataCentre = 2;

//! Decides whether this node reads the platform's store itself. A few readers in each data centre read it and pass the changes on
//! to the others. A node that hears from no reader with access to the store becomes a reader until one is back. Meant for fleets of
//! hundreds of nodes, in which a watch of every node would exceed the store's capacity. Not thread-safe.
class ReaderRole
{
public:
    ReaderRole(LocalNode localNode, std::uint64_t seed);

    //! Sets the published instances, from which the readers are selected. Until there is one, this node reads the store.
    void setInstances(const InstanceList &list, TimePoint now);
    //! Records that an instance has reported for how long it has had access to the store; nullopt if it has none.
    void recordReport(const InstanceId &instance, std::optional<Duration> availableFor, TimePoint now);
    //! Whether this node reads the store now. To be called several times per second.
    bool mustRead(TimePoint now);
    //! Whether this node is one of the selected readers, which pass changes on.
    bool isSelected() const;
    //! Whether this node, although not selected, read the store at the last call of mustRead().
    bool isSubstitute() const;
    //! Whether the instance is one of the selected readers of the local data centre.
    bool isLocalReader(const InstanceId &instance) const;
    //! The instances to which this node passes changes on: as a selected reader, the nodes of its data centre and the other readers;
    //! as a substitute, the selected readers of its data centre, which may lack access to the store but not to their followers.
    const std::vector<InstanceId> &receivers() const;
    //! The instances that rely on the reports of this node; empty if it is not a selected reader.
    const std::vector<InstanceId> &followers() const;
    //! Since when the store has been available according to the latest reports; nullopt if no reader has access to it.
    std::optional<TimePoint> availableSince(TimePoint now) const;

private:
    struct Report
    {
        TimePoint received;
        std::optional<TimePoint> availableSince;
    };

    bool hasActiveReader(TimePoint now) const;

    LocalNode m_localNode;
    //! Differs between nodes, so that they do not all turn to the store at once.
    Duration m_takeOverDelay;
    std::vector<InstanceId> m_readers;
    std::vector<InstanceId> m_receivers;
    std::vector<InstanceId> m_followers;
    bool m_isSelected = true;
    std::map<InstanceId, Report> m_reports;
    //! When a reader last had access to the store; not set until there are readers.
    std::optional<TimePoint> m_lastActiveReaderAt;
    bool m_hasHeardReader = false;
    //! Since when this node has been reading in place of the selected readers.
    std::optional<TimePoint> m_takenOverSince;
};

} // namespace chervilpaddle
