#pragma once

#include "virtualtime.h"

#include <chervilpaddle/controllers/configurationsync.h>

#include <list>
#include <map>
#include <memory>
#include <set>

namespace chervilpaddle::support {

//! Simulates the platform's configuration service in virtual time: reads, watches and faults.
class FakePlatform
{
public:
    explicit FakePlatform(VirtualTime &time);

    //! Publishes one contract for each customer under the next revision.
    void publishContracts(const std::map<std::string, std::string> &contracts);
    void publishInstances(InstanceList list);

    //! While down, every read and watch fails.
    void setDown(bool down);
    //! Serves the first published contracts again, as after a restore from an old backup. The instance list stays.
    void restoreOldestDocuments();
    //! Data centres from which the platform cannot be reached.
    std::set<std::string> unreachableFrom;

    void read(const std::string &dataCentre, const std::string &key, ConfigurationSync::ResponseHandler reply);
    void watch(const std::string &dataCentre, const std::string &key, Revision after, ConfigurationSync::ResponseHandler reply);

    std::uint64_t requestCount() const;

private:
    struct Document
    {
        std::uint64_t revision = 0;
        std::string text;
    };
    struct Watcher
    {
        std::string dataCentre;
        std::string key;
        std::uint64_t after = 0;
        ConfigurationSync::ResponseHandler reply;
    };
    bool isReachable(const std::string &dataCentre) const;
    void replyLater(ConfigurationSync::ResponseHandler reply, PlatformResponse answer);
    void notifyWatchers();

    VirtualTime &m_time;
    std::map<std::string, Document> m_documents;
    std::map<std::string, Document> m_oldestDocuments;
    std::list<Watcher> m_watchers;
    std::uint64_t m_manifestRevision = 0;
    std::uint64_t m_instancesRevision = 0;
    std::uint64_t m_requestCount = 0;
    bool m_down = false;
};

//! Simulates how configuration spreads between many nodes in virtual time. Links lose nothing except across `partitions`.
class FakeFleet
{
public:
    FakeFleet(VirtualTime &time, FakePlatform &platform, std::size_t nodes, std::size_t dataCentres, std::uint64_t seed);

    //! An instance list with all nodes.
    InstanceList instanceList() const;
    void startAll();
    //! Replaces a node by a new process that knows only its seed peers.
    void restart(std::size_t node, const std::vector<std::size_t> &seeds);
    void kill(std::size_t node);

    std::size_t size() const;
    Revision revisionOf(std::size_t node) const;
    bool isReader(std::size_t node) const;
    std::size_t readerCount() const;
    //! Number of running nodes that have this revision of the contracts in force.
    std::size_t liveNodeCount(Revision revision) const;
    std::string dataCentreOf(std::size_t node) const;
    ConfigurationController &configuration(std::size_t node);

    //! Pairs of data centres that cannot reach each other.
    std::set<std::pair<std::string, std::string>> partitions;

private:
    struct Node
    {
        InstanceId instance;
        std::unique_ptr<ConfigurationController> configuration;
        std::unique_ptr<MembershipController> membership;
        std::unique_ptr<ConfigurationSync> sync;
        std::map<std::string, TimePoint> lastReceived;
        std::vector<std::size_t> seeds;
        //! Peers selected from the instance list with revision `peersRevision`.
        mutable std::set<std::size_t> peers;
        mutable Revision peersRevision;
        std::shared_ptr<bool> alive;
    };

    void startNode(std::size_t node, const std::vector<std::size_t> &seeds);
    void tick(std::size_t node, const std::shared_ptr<bool> &alive);
    void heartbeat(std::size_t node, const std::shared_ptr<bool> &alive);
    void broadcast(std::size_t node);
    void send(std::size_t from, std::size_t to, const PeerMessage &message);
    const std::set<std::size_t> &peersOf(std::size_t node) const;
    std::set<std::size_t> choosePeers(std::size_t node) const;
    bool areConnected(std::size_t a, std::size_t b) const;
    static std::string instanceName(std::size_t node);

    VirtualTime &m_time;
    FakePlatform &m_platform;
    std::size_t m_dataCentres;
    RandomSource m_random;
    std::vector<Node> m_nodes;
    //! Processes that were replaced. They stay in memory because pending events may still refer to them.
    std::vector<Node> m_replacedNodes;
};

} // namespace chervilpaddle::support
