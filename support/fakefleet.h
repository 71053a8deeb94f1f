#pragma once

#include "virtualtime.h"

#include <chervilpaddle/controllers/configurationsync.h>

#include <list>
#include <map>
#include <memory>
#include <set>

namespace chervilpaddle::support {

//! The platform's service in virtual time: values that are read and watched, and its faults.
class FakePlatform
{
public:
    explicit FakePlatform(VirtualTime &time);

    //! Publishes one contract a customer under the next revision.
    void publishContracts(const std::map<std::string, std::string> &contracts);
    void publishInstances(InstanceList list);

    //! Nothing is answered while down.
    void setDown(bool down);
    //! Serves its oldest documents again, as after a restore from a backup.
    void restoreOldestDocuments();
    //! Readers in these data centres cannot reach it.
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
    bool reachable(const std::string &dataCentre) const;
    void answerLater(ConfigurationSync::ResponseHandler reply, PlatformResponse answer);
    void tellWatchers();

    VirtualTime &m_time;
    std::map<std::string, Document> m_documents;
    std::map<std::string, Document> m_oldest;
    std::list<Watcher> m_watchers;
    std::uint64_t m_manifestRevision = 0;
    std::uint64_t m_instancesRevision = 0;
    std::uint64_t m_requestCount = 0;
    bool m_down = false;
};

//! The configuration side of many nodes in virtual time, with perfect links but for the cuts that a test makes.
class FakeFleet
{
public:
    FakeFleet(VirtualTime &time, FakePlatform &platform, std::size_t nodes, std::size_t dataCentres, std::uint64_t seed);

    //! The list that names all nodes.
    InstanceList instanceList() const;
    void startAll();
    //! Starts a process anew at the place of a node; it knows only the seeds.
    void restart(std::size_t node, const std::vector<std::size_t> &seeds);
    void kill(std::size_t node);

    std::size_t size() const;
    Revision revisionOf(std::size_t node) const;
    bool isReader(std::size_t node) const;
    std::size_t readerCount() const;
    //! How many living nodes have this revision of the contracts in force.
    std::size_t liveNodeCount(Revision revision) const;
    std::string dataCentreOf(std::size_t node) const;
    ConfigurationController &configuration(std::size_t node);

    //! Data centres that cannot reach each other.
    std::set<std::pair<std::string, std::string>> partitions;

private:
    struct Node
    {
        InstanceId instance;
        std::unique_ptr<ConfigurationController> configuration;
        std::unique_ptr<MembershipController> membership;
        std::unique_ptr<ConfigurationSync> sync;
        std::map<std::string, TimePoint> heard;
        std::vector<std::size_t> seeds;
        //! The peers chosen from the list of this revision.
        mutable std::set<std::size_t> peers;
        mutable Revision peersRevision;
        std::shared_ptr<bool> alive;
    };

    void make(std::size_t node, const std::vector<std::size_t> &seeds);
    void tick(std::size_t node, const std::shared_ptr<bool> &alive);
    void heartbeat(std::size_t node, const std::shared_ptr<bool> &alive);
    void broadcast(std::size_t node);
    void send(std::size_t from, std::size_t to, const PeerMessage &message);
    const std::set<std::size_t> &peersOf(std::size_t node) const;
    std::set<std::size_t> choosePeers(std::size_t node) const;
    bool connected(std::size_t a, std::size_t b) const;
    static std::string instanceName(std::size_t node);

    VirtualTime &m_time;
    FakePlatform &m_platform;
    std::size_t m_dataCentres;
    RandomSource m_random;
    std::vector<Node> m_nodes;
    //! Ended processes stay in memory until the end: events may still point at them.
    std::vector<Node> m_ended;
};

} // namespace chervilpaddle::support
