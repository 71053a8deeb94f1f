#include "virtualtime.h"

#include <chervilpaddle/controllers/instancedirectory.h>
#include <chervilpaddle/controllers/storereplication.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace chervilpaddle;
using namespace chervilpaddle::support;
using namespace std::chrono_literals;

namespace {

constexpr int dataCentres = 3;
constexpr Duration linkDelay = 1ms;
//! How long after a fault the nodes must be up to date again, and within which a change must be known otherwise.
constexpr Duration recoveryBound = 3s;
constexpr Duration changeBound = 2s;

//! A store that holds watches, and a fleet of nodes that replicate it. Links between nodes work unless a node is cut off.
class ReplicatedFleet
{
public:
    explicit ReplicatedFleet(int size)
    {
        for (int i = 0; i < size; ++i) {
            PublishedInstance instance;
            instance.instance = InstanceId("n" + std::to_string(i));
            instance.service = ServiceName("s");
            instance.dataCentre = DataCentreName("dc" + std::to_string(i % dataCentres));
            m_list.instances.push_back(instance);
        }
        write("i/first", "1");
        for (int i = 0; i < size; ++i) {
            addNode(i);
        }
        time.runFor(8s);
    }

    void write(const std::string &key, const std::string &value)
    {
        const StoreItem item{key, value, Revision(++m_revision)};
        m_items[key] = item;
        m_history.push_back({item, false});
        answerWatches(key);
    }

    void removeItem(const std::string &key)
    {
        m_items.erase(key);
        m_history.push_back({{key, {}, Revision(++m_revision)}, true});
        answerWatches(key);
    }

    //! Keeps a copy of the store.
    void copyStore()
    {
        m_copy = {m_items, m_history, m_revision};
    }

    //! Restores the store from the copy. Watches that are out are cut.
    void restoreStore()
    {
        m_items = m_copy.items;
        m_history = m_copy.history;
        m_revision = m_copy.revision;
        ++m_era;
        for (const Watch &watch : std::exchange(m_watches, {})) {
            time.after(storeDelay, [watch] { watch.reply({}); });
        }
    }

    //! Ends all watches that are out without a response.
    void cutWatches()
    {
        for (const Watch &watch : std::exchange(m_watches, {})) {
            time.after(storeDelay, [watch] { watch.reply({}); });
        }
    }

    //! Makes all open connections to the store silent for good, or only those that carry watches of a prefix. New ones work.
    void silenceStoreConnections(const std::string &prefix = {})
    {
        for (const auto &weak : m_storeConnections) {
            if (const auto connection = weak.lock(); connection && (prefix.empty() || connection->watchedPrefix == prefix)) {
                connection->isSilent = true;
            }
        }
    }

    //! Replaces a node by a new process.
    void restart(const InstanceId &id)
    {
        m_replaced.push_back(std::move(nodes.at(id)));
        startNode(static_cast<int>(m_numbers.at(id)));
    }

    //! Removes nodes, of which all others learn at once.
    void remove(const std::vector<InstanceId> &ids)
    {
        const InstanceList list = listWithout(ids);
        stopped.insert(ids.begin(), ids.end());
        for (const auto &[id, node] : nodes) {
            if (stopped.count(id) == 0) {
                node->setInstances(list);
            }
        }
    }

    static std::string itemOf(const InstanceId &id)
    {
        return "i/" + id.value();
    }

    //! Writes the entry of an instance, to remove it later. Its node goes on.
    void publish(const InstanceId &id)
    {
        write(itemOf(id), "ready-0");
    }

    //! Removes the entry of an instance. Nodes that learn of it no longer list the instance.
    void withdraw(const InstanceId &id)
    {
        m_removedInstance = id;
        removeItem(itemOf(id));
    }

    //! The number of nodes that read the store in place of the selected readers.
    int substitutes() const
    {
        return static_cast<int>(std::count_if(nodes.begin(), nodes.end(), [this](const auto &entry) {
            const ReaderRole &role = entry.second->role();
            return stopped.count(entry.first) == 0 && role.isSubstitute();
        }));
    }

    //! The number of nodes that hold the value of a key.
    int holders(const std::string &key, const std::string &value) const
    {
        return static_cast<int>(std::count_if(nodes.begin(), nodes.end(), [&](const auto &entry) {
            const auto &[id, node] = entry;
            const auto &items = (key.rfind("c/", 0) == 0 ? node->configuration() : node->instances()).items();
            const auto item = items.find(key);
            return stopped.count(id) == 0 && item != items.end() && item->second.value == value;
        }));
    }

    DataCentreName dataCentreOf(const InstanceId &id) const
    {
        return m_list.instances[m_numbers.at(id)].dataCentre;
    }

    std::vector<InstanceId> selectedReaders() const
    {
        std::vector<InstanceId> readers;
        for (const auto &[id, node] : nodes) {
            if (node->role().isSelected()) {
                readers.push_back(id);
            }
        }
        return readers;
    }

    VirtualTime time;
    std::map<InstanceId, std::unique_ptr<StoreReplication>> nodes;
    //! Nodes that no longer send or receive anything.
    std::set<InstanceId> stopped;
    //! Nodes whose requests to the store fail.
    std::set<InstanceId> withoutStore;
    //! Nodes that are partitioned from the others.
    std::set<InstanceId> cutOff;
    //! Nodes of a build that does not know eras.
    std::set<InstanceId> withoutEras;
    //! The links between nodes are silent.
    bool dropsPeerMessages = false;
    //! The store does not keep any changes.
    bool discardsHistory = false;
    Duration storeDelay = 4ms;
    int eraChanges = 0;
    int storeCalls = 0;
    std::map<InstanceId, int> storeCallsOf;
    int documents = 0;
    std::size_t documentBytes = 0;
    std::map<InstanceId, int> documentsTo;
    int otherMessages = 0;
    int instanceListUpdates = 0;

private:
    struct StoreConnection
    {
        bool isSilent = false;
        std::string watchedPrefix;
        TimePoint idleSince;
    };

    struct Watch
    {
        InstanceId node;
        std::string prefix;
        Revision after;
        std::function<void(const StoreChanges &)> reply;
        std::uint64_t number = 0;
    };

    InstanceList listWithout(const std::vector<InstanceId> &ids) const
    {
        const auto isRemoved = [&ids](const PublishedInstance &instance) {
            return std::find(ids.begin(), ids.end(), instance.instance) != ids.end();
        };
        InstanceList list = m_list;
        list.instances.erase(std::remove_if(list.instances.begin(), list.instances.end(), isRemoved), list.instances.end());
        return list;
    }

    void addNode(int index)
    {
        startNode(index);
        tick(m_list.instances[static_cast<std::size_t>(index)].instance);
    }

    void startNode(int index)
    {
        const PublishedInstance &own = m_list.instances[static_cast<std::size_t>(index)];
        const InstanceId id = own.instance;
        StoreReplication::Hooks hooks;
        hooks.clock = time.clock();
        hooks.schedule = time.scheduler();
        hooks.reader = readerOf(id);
        hooks.send = [this, id](const InstanceId &to, const PeerMessage &message) { deliver(id, to, message); };
        hooks.reply = [this, id](ConnectionId to, const PeerMessage &message) {
            deliver(id, m_list.instances[to.value()].instance, message);
        };
        hooks.sendStatus = [this, id](const InstanceId &to) { deliver(id, to, statusOf(id)); };
        hooks.configurationChanged = [] {};
        hooks.instancesChanged = [this, id] {
            ++instanceListUpdates;
            if (m_removedInstance && nodes.at(id)->instances().items().count(itemOf(*m_removedInstance)) == 0) {
                nodes.at(id)->setInstances(listWithout({*m_removedInstance}));
            }
        };
        hooks.eraChanged = [this](const char * /*what*/, const StoreEraChange & /*change*/) { ++eraChanges; };
        // A value is a text, a hyphen and the number of the heartbeat.
        hooks.isHeartbeat = [](const StoreItem &previous, const StoreItem &next) {
            return previous.value.substr(0, previous.value.find('-')) == next.value.substr(0, next.value.find('-'));
        };
        hooks.availabilityChanged = [](const char * /*what*/, bool /*isAvailable*/) {};
        hooks.documentRejected = [](const InstanceId & /*from*/) { cr_assert_fail("a document could not be read"); };
        const StoreReplication::Options options{{id, own.dataCentre, own.service, {}}, "c/", "i/", static_cast<std::uint64_t>(index) + 1};
        auto &node = nodes[id] = std::make_unique<StoreReplication>(options, std::move(hooks));
        m_numbers[id] = static_cast<std::uint64_t>(index);
        node->start();
        node->setInstances(m_list);
    }

    void tick(const InstanceId &id)
    {
        if (stopped.count(id) == 0) {
            nodes.at(id)->tick();
        }
        time.after(100ms, [this, id] { tick(id); });
    }

    StatusMessage statusOf(const InstanceId &id) const
    {
        StatusMessage status;
        const StorePosition configuration = nodes.at(id)->configuration().lastChange();
        const StorePosition instances = nodes.at(id)->instances().lastChange();
        status.configurationRevision = configuration.revision;
        status.configurationEra = configuration.era;
        status.instancesRevision = instances.revision;
        status.instancesEra = instances.era;
        status.storeAvailableFor = nodes.at(id)->storeAvailableFor();
        return status;
    }

    //! The message as a node that does not know eras writes it.
    static PeerMessage withoutEra(PeerMessage message)
    {
        const auto removeEra = [](std::string &document) {
            if (const auto begin = document.find("\"era\":"); begin != std::string::npos) {
                document.erase(begin, document.find(',', begin) + 1 - begin);
            }
        };
        if (auto *status = std::get_if<StatusMessage>(&message); status != nullptr) {
            status->configurationEra.reset();
            status->instancesEra.reset();
        } else if (auto *wantsInstances = std::get_if<InstancesRequest>(&message); wantsInstances != nullptr) {
            wantsInstances->heldEra.reset();
        } else if (auto *instances = std::get_if<InstancesMessage>(&message); instances != nullptr) {
            removeEra(instances->document);
        }
        return message;
    }

    void deliver(const InstanceId &from, const InstanceId &to, PeerMessage message)
    {
        if (withoutEras.count(from) != 0) {
            message = withoutEra(std::move(message));
        }
        if (const auto *document = std::get_if<InstancesMessage>(&message); document != nullptr) {
            ++documents;
            documentBytes += document->document.size();
            ++documentsTo[to];
        } else {
            ++otherMessages;
        }
        time.after(linkDelay, [this, from, to, message] {
            if (!dropsPeerMessages && stopped.count(from) == 0 && stopped.count(to) == 0 && cutOff.count(from) == cutOff.count(to)) {
                nodes.at(to)->received({ConnectionId(m_numbers.at(from)), from, message, Duration::zero()});
            }
        });
    }

    StoreReader readerOf(const InstanceId &id)
    {
        StoreReader reader;
        reader.range = [this, id](const std::string &prefix, const std::string & /*after*/, auto callback) {
            ++storeCalls;
            ++storeCallsOf[id];
            const auto reply = overConnection<StorePage>(id, {}, storeReadTimeout, std::move(callback));
            time.after(storeDelay, [this, id, prefix, reply] {
                StorePage page;
                if (withoutStore.count(id) == 0) {
                    page = {StoreStatus::Success, itemsUnder(prefix), false, Revision(m_revision), StoreEra(m_era)};
                }
                reply(page);
            });
        };
        reader.watch = [this, id](const std::string &prefix, Revision after, Duration wait, auto callback) {
            ++storeCalls;
            ++storeCallsOf[id];
            const auto reply = overConnection<StoreChanges>(id, prefix, wait + storeWatchMargin, std::move(callback));
            Watch watch{id, prefix, after, reply, ++m_lastWatch};
            if (withoutStore.count(id) != 0 || isCompacted(after) || !changesUnder(prefix, after).empty()) {
                answerWatch(watch);
                return;
            }
            m_watches.push_back(watch);
            time.after(wait, [this, number = watch.number] { endWatch(number); });
        };
        reader.closeIdleConnections = [this, id] { m_idleStoreConnections[id].clear(); };
        return reader;
    }

    std::shared_ptr<StoreConnection> takeStoreConnection(const InstanceId &id)
    {
        auto &idle = m_idleStoreConnections[id];
        while (!idle.empty()) {
            const auto connection = idle.back();
            idle.pop_back();
            if (time.now() - connection->idleSince < maxStoreIdleTime) {
                return connection;
            }
        }
        const auto connection = std::make_shared<StoreConnection>();
        m_storeConnections.push_back(connection);
        return connection;
    }

    //! Returns a callback that passes a response of the store on, unless the connection is silent by then: the request then times out.
    template<typename Response>
    std::function<void(const Response &)>
    overConnection(const InstanceId &id, const std::string &watchedPrefix, Duration timeout, std::function<void(const Response &)> callback)
    {
        const auto connection = takeStoreConnection(id);
        connection->watchedPrefix = watchedPrefix;
        const auto isEnded = std::make_shared<bool>(false);
        time.after(timeout, [isEnded, callback] {
            if (!std::exchange(*isEnded, true)) {
                Response response;
                response.status = StoreStatus::TimedOut;
                callback(response);
            }
        });
        return [this, id, connection, isEnded, callback = std::move(callback)](const Response &response) {
            if (connection->isSilent || std::exchange(*isEnded, true)) {
                return;
            }
            connection->idleSince = time.now();
            m_idleStoreConnections[id].push_back(connection);
            callback(response);
        };
    }

    void answerWatches(const std::string &key)
    {
        std::vector<Watch> waiting;
        for (const Watch &watch : std::exchange(m_watches, {})) {
            if (key.rfind(watch.prefix, 0) == 0) {
                answerWatch(watch);
            } else {
                waiting.push_back(watch);
            }
        }
        m_watches = std::move(waiting);
    }

    void endWatch(std::uint64_t number)
    {
        for (auto watch = m_watches.begin(); watch != m_watches.end(); ++watch) {
            if (watch->number == number) {
                const Watch ended = *watch;
                m_watches.erase(watch);
                answerWatch(ended);
                return;
            }
        }
    }

    void answerWatch(const Watch &watch)
    {
        StoreChanges changes;
        if (withoutStore.count(watch.node) == 0) {
            const StoreStatus status = isCompacted(watch.after) ? StoreStatus::Compacted : StoreStatus::Success;
            changes = {status, changesUnder(watch.prefix, watch.after), Revision(m_revision), StoreEra(m_era)};
        }
        time.after(storeDelay, [this, watch, changes] {
            if (stopped.count(watch.node) == 0) {
                watch.reply(changes);
            }
        });
    }

    bool isCompacted(Revision after) const
    {
        return discardsHistory || Revision(m_revision) < after;
    }

    std::vector<StoreItem> itemsUnder(const std::string &prefix) const
    {
        std::vector<StoreItem> items;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) == 0) {
                items.push_back(item);
            }
        }
        return items;
    }

    std::vector<StoreEvent> changesUnder(const std::string &prefix, Revision after) const
    {
        std::vector<StoreEvent> events;
        for (const StoreEvent &event : m_history) {
            if (after < event.item.revision && event.item.key.rfind(prefix, 0) == 0) {
                events.push_back(event);
            }
        }
        return events;
    }

    struct Copy
    {
        std::map<std::string, StoreItem> items;
        std::vector<StoreEvent> history;
        std::uint64_t revision = 0;
    };

    InstanceList m_list;
    std::map<InstanceId, std::uint64_t> m_numbers;
    //! Kept because responses of the store may still arrive.
    std::vector<std::unique_ptr<StoreReplication>> m_replaced;
    Copy m_copy;
    std::optional<InstanceId> m_removedInstance;
    std::uint64_t m_era = 1;
    std::map<std::string, StoreItem> m_items;
    std::vector<StoreEvent> m_history;
    std::uint64_t m_revision = 0;
    std::vector<Watch> m_watches;
    std::uint64_t m_lastWatch = 0;
    std::vector<std::weak_ptr<StoreConnection>> m_storeConnections;
    std::map<InstanceId, std::vector<std::shared_ptr<StoreConnection>>> m_idleStoreConnections;
};

//! Writes heartbeats of some entries until the end of the given time, each entry every 1.5 s.
void writeHeartbeats(ReplicatedFleet &fleet, int entries, Duration length)
{
    if (entries == 0) {
        return;
    }
    const Duration interval = 1500ms / entries;
    for (int i = 0; i < static_cast<int>(length / interval); ++i) {
        fleet.time.after(i * interval,
                         [&fleet, i, entries] { fleet.write("i/server" + std::to_string(i % entries), "ready-" + std::to_string(i)); });
    }
}

//! Makes a change a second after a silence, and runs until all nodes must know of it.
void changeAfterSilence(ReplicatedFleet &fleet, const std::function<void()> &change)
{
    fleet.time.runFor(1s);
    change();
    fleet.time.runFor(recoveryBound - 1s);
}

void expectAtAllNodes(const ReplicatedFleet &fleet, const std::string &key, const std::string &value)
{
    const int size = static_cast<int>(fleet.nodes.size() - fleet.stopped.size());
    cr_expect_eq(fleet.holders(key, value), size, "%s = %s at %d of %d nodes", key.c_str(), value.c_str(), fleet.holders(key, value), size);
}

} // namespace

//! The bounds are those of docs/design/control-traffic.md: the messages for one change grow with the number of nodes, and the calls
//! to the store with the number of data centres.
Test(storereplication, the_cost_of_a_change_grows_with_the_fleet_and_not_with_its_square)
{
    constexpr int readers = static_cast<int>(storeReadersPerDataCentre) * dataCentres;
    for (const int size : {50, 100, 200, 400}) {
        ReplicatedFleet fleet(size);
        fleet.write("i/warm", std::string(200, 'w'));
        fleet.time.runFor(1s);
        fleet.storeCalls = 0;
        fleet.documents = 0;
        fleet.documentBytes = 0;
        fleet.write("i/changed", std::string(200, 'c'));
        fleet.time.runFor(200ms);
        cr_assert_eq(fleet.holders("i/changed", std::string(200, 'c')), size, "%d nodes", size);
        const int maxDocuments = static_cast<int>(storeReadersPerDataCentre) * size + readers * readers;
        cr_expect_leq(fleet.documents, maxDocuments, "%d documents at %d nodes", fleet.documents, size);
        cr_expect_leq(
            fleet.documentBytes, static_cast<std::size_t>(maxDocuments) * 400, "%zu bytes at %d nodes", fleet.documentBytes, size);
        // Each reader renews the watch that the change has completed; a few others end by themselves.
        cr_expect_leq(fleet.storeCalls, 3 * readers, "%d calls to the store at %d nodes", fleet.storeCalls, size);
    }
}

Test(storereplication, only_readers_call_the_store_while_nothing_changes)
{
    ReplicatedFleet fleet(60);
    fleet.time.runFor(10s);
    fleet.storeCalls = 0;
    fleet.time.runFor(10s);
    // Two watches of a reader end by themselves every 1.7 s or later.
    constexpr int readers = static_cast<int>(storeReadersPerDataCentre) * dataCentres;
    cr_expect_leq(fleet.storeCalls, readers * 2 * 6);
}

//! All selected readers of every data centre are killed at once: the other nodes read the store themselves until others are
//! selected, and hold the next change within the two seconds that the platform's users allow.
Test(storereplication, nodes_read_the_store_themselves_when_all_readers_are_gone)
{
    ReplicatedFleet fleet(30);
    const auto readers = fleet.selectedReaders();
    fleet.stopped.insert(readers.begin(), readers.end());
    fleet.time.runFor(100ms);
    fleet.write("i/changed", "2");
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.holders("i/changed", "2"), 30 - static_cast<int>(readers.size()));
}

//! The store turns the readers of one data centre away: changes still reach it through the readers of the others.
Test(storereplication, changes_reach_a_data_centre_whose_readers_are_turned_away)
{
    ReplicatedFleet fleet(30);
    for (const InstanceId &reader : fleet.selectedReaders()) {
        if (fleet.nodes.at(reader)->role().isLocalReader(fleet.selectedReaders().front())) {
            fleet.withoutStore.insert(reader);
        }
    }
    cr_assert_eq(fleet.withoutStore.size(), storeReadersPerDataCentre);
    fleet.write("i/changed", "2");
    fleet.time.runFor(200ms);
    cr_assert_eq(fleet.holders("i/changed", "2"), 30);
}

//! The store turns all selected readers away: the nodes that read in their place tell them of a change.
Test(storereplication, changes_reach_readers_that_are_all_turned_away)
{
    ReplicatedFleet fleet(30);
    const auto readers = fleet.selectedReaders();
    fleet.withoutStore.insert(readers.begin(), readers.end());
    fleet.time.runFor(10s);
    fleet.write("i/changed", "2");
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.holders("i/changed", "2"), 30);
}

Test(storereplication, a_node_that_missed_a_change_asks_one_peer_for_it)
{
    ReplicatedFleet fleet(30);
    InstanceId follower;
    for (const auto &[id, node] : fleet.nodes) {
        follower = node->role().isSelected() ? follower : id;
    }
    fleet.stopped.insert(follower);
    fleet.write("i/missed", "2");
    fleet.time.runFor(200ms);
    fleet.stopped.erase(follower);
    fleet.time.runFor(600ms);
    cr_assert_eq(fleet.holders("i/missed", "2"), 30);
    cr_assert_eq(fleet.nodes.at(follower)->counters().requestsSent, 1);
}

//! Each backend server writes its entry again every 1.5 s. That is no change: it is neither passed on nor applied at any node, and it
//! costs calls to the store by the number of readers and not of backend servers.
Test(storereplication, heartbeats_of_the_entries_are_not_passed_on)
{
    constexpr int readers = static_cast<int>(storeReadersPerDataCentre) * dataCentres;
    constexpr int readsPerSecond = 2;
    constexpr int watchesThatEndByThemselves = 5;
    constexpr int heartbeats = 400;
    for (const int size : {50, 200}) {
        ReplicatedFleet fleet(size);
        for (int i = 0; i < size; ++i) {
            fleet.write("i/" + std::to_string(i), "ready-0");
        }
        fleet.time.runFor(3s);
        fleet.storeCalls = 0;
        fleet.documents = 0;
        fleet.instanceListUpdates = 0;
        for (int beat = 1; beat <= heartbeats; ++beat) {
            fleet.write("i/" + std::to_string(beat % size), "ready-" + std::to_string(beat));
            fleet.time.runFor(25ms);
        }
        cr_expect_eq(fleet.documents, 0, "%d documents at %d nodes", fleet.documents, size);
        cr_expect_eq(fleet.instanceListUpdates, 0, "%d updates at %d nodes", fleet.instanceListUpdates, size);
        cr_expect_leq(
            fleet.storeCalls, readers * (10 * readsPerSecond + watchesThatEndByThemselves), "%d calls at %d nodes", fleet.storeCalls, size);
        fleet.write("i/7", "leaving-1");
        fleet.time.runFor(1100ms);
        cr_expect_eq(fleet.holders("i/7", "leaving-1"), size);
    }
}

//! Readers leave, and others are selected. These know of their access to the store, and report it, before the followers miss it.
Test(storereplication, followers_do_not_take_over_while_readers_change)
{
    ReplicatedFleet fleet(60);
    fleet.remove(fleet.selectedReaders());
    int substitutes = 0;
    for (int step = 0; step < 50; ++step) {
        fleet.time.runFor(100ms);
        substitutes = std::max(substitutes, fleet.substitutes());
    }
    cr_assert_eq(substitutes, 0, "%d nodes read the store themselves", substitutes);
}

//! The store is restored from a copy, and a change is written at a revision that had been given out before.
Test(storereplication, a_change_after_a_restoration_reaches_all_nodes)
{
    for (const int size : {15, 60}) {
        ReplicatedFleet fleet(size);
        fleet.write("i/a", "1");
        fleet.copyStore();
        fleet.time.runFor(1s);
        for (int i = 0; i < 50; ++i) {
            fleet.write("i/lost", std::to_string(i));
        }
        fleet.time.runFor(5s);
        cr_assert_eq(fleet.holders("i/lost", "49"), size);
        fleet.restoreStore();
        fleet.write("i/a", "2");
        fleet.time.runFor(2s);
        cr_expect_eq(fleet.holders("i/a", "2"), size, "%d of %d nodes", fleet.holders("i/a", "2"), size);
        cr_expect_eq(fleet.holders("i/lost", "49"), 0);
        fleet.write("i/a", "3");
        fleet.time.runFor(2s);
        cr_expect_eq(fleet.holders("i/a", "3"), size, "%d of %d nodes", fleet.holders("i/a", "3"), size);
    }
}

Test(storereplication, two_restorations_in_a_row_reach_all_nodes)
{
    ReplicatedFleet fleet(30);
    fleet.write("i/a", "1");
    fleet.copyStore();
    fleet.write("i/lost", "1");
    fleet.time.runFor(3s);
    fleet.restoreStore();
    fleet.write("i/lost", "2");
    fleet.time.runFor(150ms);
    fleet.restoreStore();
    fleet.write("i/a", "2");
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.holders("i/a", "2"), 30);
    cr_assert_eq(fleet.holders("i/lost", "1") + fleet.holders("i/lost", "2"), 0);
}

//! Nodes that cannot reach the store for a while, among them readers, hear of the restoration from the others.
Test(storereplication, a_restoration_that_some_readers_do_not_see_reaches_all_nodes)
{
    ReplicatedFleet fleet(30);
    fleet.write("i/a", "1");
    fleet.copyStore();
    fleet.write("i/lost", "1");
    fleet.time.runFor(3s);
    const auto readers = fleet.selectedReaders();
    for (std::size_t i = 0; i < readers.size(); i += 2) {
        fleet.withoutStore.insert(readers[i]);
    }
    fleet.restoreStore();
    fleet.write("i/a", "2");
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.holders("i/a", "2"), 30);
    cr_assert_eq(fleet.holders("i/lost", "1"), 0);
    fleet.withoutStore.clear();
    fleet.write("i/a", "3");
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.holders("i/a", "3"), 30);
}

//! The nodes of a data centre hold lost changes, which they must not bring back.
Test(storereplication, a_data_centre_that_was_cut_off_during_a_restoration_follows_it_afterwards)
{
    ReplicatedFleet fleet(30);
    fleet.write("i/a", "1");
    fleet.copyStore();
    for (int i = 0; i < 50; ++i) {
        fleet.write("i/lost", std::to_string(i));
    }
    fleet.time.runFor(3s);
    for (const auto &[id, node] : fleet.nodes) {
        if (fleet.dataCentreOf(id) == DataCentreName("dc1")) {
            fleet.cutOff.insert(id);
            fleet.withoutStore.insert(id);
        }
    }
    fleet.time.runFor(200ms);
    fleet.restoreStore();
    fleet.write("i/a", "2");
    fleet.time.runFor(4s);
    cr_assert_eq(fleet.holders("i/a", "2"), 20);
    cr_assert_eq(fleet.holders("i/lost", "49"), 10);
    fleet.cutOff.clear();
    fleet.withoutStore.clear();
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.holders("i/a", "2"), 30);
    cr_assert_eq(fleet.holders("i/lost", "49"), 0);
}

Test(storereplication, a_node_that_knows_only_the_copy_follows_later_changes)
{
    ReplicatedFleet fleet(30);
    fleet.write("i/a", "1");
    fleet.copyStore();
    fleet.write("i/lost", "1");
    fleet.time.runFor(3s);
    fleet.restoreStore();
    fleet.restart(fleet.selectedReaders().front());
    fleet.restart(InstanceId("n7"));
    fleet.time.runFor(50ms);
    fleet.write("i/a", "2");
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.holders("i/a", "2"), 30);
    cr_assert_eq(fleet.holders("i/lost", "1"), 0);
}

Test(storereplication, a_restoration_costs_few_calls_to_the_store)
{
    constexpr int readers = static_cast<int>(storeReadersPerDataCentre) * dataCentres;
    ReplicatedFleet fleet(60);
    fleet.write("i/a", "1");
    fleet.copyStore();
    for (int i = 0; i < 50; ++i) {
        fleet.write("i/lost", std::to_string(i));
    }
    fleet.time.runFor(5s);
    fleet.storeCalls = 0;
    fleet.storeCallsOf.clear();
    fleet.documents = 0;
    fleet.eraChanges = 0;
    fleet.restoreStore();
    fleet.time.runFor(2s);
    // For each of two prefixes: the watch that is tried again and refused, one read, and the watches after it. Some nodes have read the
    // store in place of readers whose watches were cut.
    constexpr int callsPerReader = 2 * 4;
    const int reading = readers + fleet.substitutes();
    cr_expect_leq(fleet.storeCalls, reading * callsPerReader, "%d calls of %d nodes", fleet.storeCalls, reading);
    for (const auto &[id, calls] : fleet.storeCallsOf) {
        cr_expect_leq(calls, callsPerReader, "%d calls of %s", calls, id.value().c_str());
    }
    // Each reader sends its items once, and a node that hears of a newer state asks for it once.
    cr_expect_leq(
        fleet.documents, (static_cast<int>(storeReadersPerDataCentre) + 1) * 60 + readers * readers, "%d documents", fleet.documents);
    cr_expect_eq(fleet.eraChanges, 2 * 60, "%d eras taken over", fleet.eraChanges);
}

Test(storereplication, history_that_is_never_kept_does_not_make_nodes_loop_on_the_store)
{
    constexpr int readers = static_cast<int>(storeReadersPerDataCentre) * dataCentres;
    ReplicatedFleet fleet(60);
    fleet.discardsHistory = true;
    fleet.time.runFor(10s);
    fleet.storeCalls = 0;
    fleet.time.runFor(10s);
    // A read and a watch of each prefix every 0.8 s at most.
    cr_expect_leq(fleet.storeCalls, readers * 2 * 2 * 13, "%d calls to the store", fleet.storeCalls);
    fleet.write("i/a", "2");
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.holders("i/a", "2"), 60, "a change is known within two seconds all the same");
}

//! Nodes that do not read the store are sent the items of the new era, and do not find out by the reports of the readers.
Test(storereplication, a_restoration_is_passed_on_without_requests)
{
    ReplicatedFleet fleet(60);
    fleet.write("i/a", "1");
    fleet.copyStore();
    for (int i = 0; i < 50; ++i) {
        fleet.write("i/lost", std::to_string(i));
    }
    fleet.time.runFor(5s);
    const auto requestsSent = [&fleet] {
        std::uint64_t count = 0;
        for (const auto &[id, node] : fleet.nodes) {
            count += node->counters().requestsSent;
        }
        return count;
    };
    const std::uint64_t before = requestsSent();
    fleet.restoreStore();
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.holders("i/lost", "49"), 0);
    cr_assert_eq(requestsSent(), before);
}

//! While a fleet is updated, the readers may be of a build that does not notice a restoration.
Test(storereplication, nodes_do_not_rely_on_readers_that_do_not_know_eras)
{
    ReplicatedFleet fleet(30);
    const auto readers = fleet.selectedReaders();
    fleet.withoutEras.insert(readers.begin(), readers.end());
    fleet.time.runFor(2s);
    fleet.write("i/a", "1");
    fleet.copyStore();
    fleet.write("i/lost", "1");
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.holders("i/lost", "1"), 30);
    fleet.restoreStore();
    fleet.write("i/a", "2");
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.holders("i/a", "2"), 30);
    cr_assert_eq(fleet.holders("i/lost", "1"), 0);
}

//! The nodes that read the store in place of silent readers all notice the restoration, and none knows that the others do.
Test(storereplication, substitutes_do_not_each_send_all_items_to_the_readers_after_a_restoration)
{
    constexpr int size = 150;
    constexpr int readers = static_cast<int>(storeReadersPerDataCentre) * dataCentres;
    ReplicatedFleet fleet(size);
    for (int i = 0; i < size; ++i) {
        fleet.write("i/server" + std::to_string(i), std::string(200, 'v'));
    }
    fleet.time.runFor(2s);
    fleet.copyStore();
    fleet.write("i/lost", "1");
    fleet.time.runFor(3s);
    for (const auto &[id, node] : fleet.nodes) {
        fleet.withoutStore.insert(id);
    }
    fleet.cutWatches();
    fleet.time.runFor(2s);
    cr_assert_eq(fleet.substitutes(), size - readers);
    fleet.restoreStore();
    fleet.withoutStore.clear();
    fleet.documents = 0;
    fleet.documentsTo.clear();
    fleet.write("i/server0", "2");
    fleet.time.runFor(2s);
    cr_expect_eq(fleet.holders("i/server0", "2"), size, "%d of %d nodes", fleet.holders("i/server0", "2"), size);
    cr_expect_eq(fleet.holders("i/lost", "1"), 0);
    for (const auto &[id, documents] : fleet.documentsTo) {
        cr_expect_leq(documents, 2 * readers, "%d documents sent to %s", documents, id.value().c_str());
    }
}

//! Guards against calls to leaving backend servers, and configurations in force too late, after all open connections to the store have
//! become silent: at each phase of watches and pauses, what is written up to a second later must be known to all nodes three seconds
//! after the silence, and what is written later within two seconds.
Test(storereplication, changes_are_known_in_time_after_all_store_connections_have_become_silent)
{
    constexpr int size = 12;
    for (const Duration storeDelay : {4ms, 200ms}) {
        for (const int entries : {0, 1, 8}) {
            ReplicatedFleet fleet(size);
            fleet.storeDelay = storeDelay;
            int round = 0;
            for (Duration phase = 0ms; phase < 2500ms; phase += 70ms) {
                const std::string value = std::to_string(++round);
                writeHeartbeats(fleet, entries, 14s + phase);
                fleet.time.runFor(8s + phase);
                // A change shortly before the silence puts the next watch of its prefix off.
                if (round % 2 == 0) {
                    fleet.write(round % 4 == 0 ? "c/configuration" : "i/before", "before " + value);
                    fleet.time.runFor(600ms);
                }
                fleet.silenceStoreConnections();
                changeAfterSilence(fleet, [&] {
                    fleet.write("i/early", value);
                    fleet.write("c/configuration", value);
                });
                expectAtAllNodes(fleet, "i/early", value);
                expectAtAllNodes(fleet, "c/configuration", value);
                fleet.write("i/late", value);
                fleet.time.runFor(changeBound);
                expectAtAllNodes(fleet, "i/late", value);
            }
        }
    }
}

//! Guards against the same where only the connections that carry watches of one prefix become silent.
Test(storereplication, changes_are_known_in_time_after_the_watches_of_one_prefix_have_become_silent)
{
    constexpr int size = 12;
    ReplicatedFleet fleet(size);
    int round = 0;
    for (Duration phase = 0ms; phase < 2500ms; phase += 70ms) {
        for (const std::string prefix : {"c/", "i/"}) {
            const std::string value = std::to_string(++round);
            writeHeartbeats(fleet, 8, 9s + phase);
            fleet.time.runFor(6s + phase);
            fleet.silenceStoreConnections(prefix);
            changeAfterSilence(fleet, [&] { fleet.write(prefix + "changed", value); });
            expectAtAllNodes(fleet, prefix + "changed", value);
        }
    }
}

//! Guards against nodes that take over from their readers and use a connection that they opened long before it became silent.
Test(storereplication, nodes_that_take_over_do_not_use_silent_connections)
{
    constexpr int size = 12;
    for (Duration phase = 0ms; phase < 1500ms; phase += 100ms) {
        ReplicatedFleet fleet(size);
        writeHeartbeats(fleet, 8, 14s);
        fleet.time.runFor(5s + phase);
        const auto readers = fleet.selectedReaders();
        fleet.stopped.insert(readers.begin(), readers.end());
        fleet.silenceStoreConnections();
        changeAfterSilence(fleet, [&] { fleet.write("i/changed", "1"); });
        expectAtAllNodes(fleet, "i/changed", "1");
    }
}

//! Guards against a second silence that is noticed late because nodes have just recovered from the first.
Test(storereplication, changes_are_known_in_time_after_silences_in_a_row)
{
    constexpr int size = 12;
    ReplicatedFleet fleet(size);
    int round = 0;
    for (Duration gap = 100ms; gap < 4s; gap += 150ms) {
        const std::string value = std::to_string(++round);
        writeHeartbeats(fleet, 8, 13s + gap);
        fleet.time.runFor(8s);
        fleet.silenceStoreConnections();
        fleet.time.runFor(gap);
        fleet.silenceStoreConnections();
        changeAfterSilence(fleet, [&] {
            fleet.write("i/changed", value);
            fleet.write("c/changed", value);
        });
        expectAtAllNodes(fleet, "i/changed", value);
        expectAtAllNodes(fleet, "c/changed", value);
    }
}

//! Guards against calls to a backend server whose entry was removed after a silence, which was taken for an outage that removes entries.
Test(storereplication, an_entry_that_is_removed_after_a_silence_is_not_retained)
{
    constexpr int size = 12;
    InstanceDirectory::Entry entry;
    entry.instance.instance = InstanceId("n1");
    entry.instance.backend = BackendId("leaving");
    ReplicatedFleet fleet(size);
    for (Duration phase = 0ms; phase < 2500ms; phase += 100ms) {
        fleet.write("i/leaving", "ready-0");
        writeHeartbeats(fleet, 8, 9s + phase);
        fleet.time.runFor(6s + phase);
        fleet.silenceStoreConnections();
        fleet.time.runFor(1s);
        fleet.removeItem("i/leaving");
        for (Duration since = 1s; since < recoveryBound; since += 100ms) {
            fleet.time.runFor(100ms);
            cr_expect_eq(fleet.substitutes(), 0, "no node takes over");
        }
        for (const auto &[id, node] : fleet.nodes) {
            cr_assert_eq(node->instances().items().count("i/leaving"), 0);
            InstanceDirectory directory;
            directory.update({entry}, fleet.time.now() - 1h, fleet.time.now());
            directory.update({}, node->instances().availableSince(), fleet.time.now());
            cr_expect(directory.instances().empty(), "%s retains the entry", id.value().c_str());
        }
    }
}

//! Guards against requests to a removed backend server through the node beside it, which the readers did not tell of the removal.
Test(storereplication, the_node_beside_a_removed_backend_server_is_told_of_the_removal)
{
    constexpr int size = 12;
    for (int i = 0; i < 10 * size; ++i) {
        const InstanceId removed("n" + std::to_string(i % size));
        ReplicatedFleet fleet(size);
        fleet.publish(removed);
        const Duration phase = i / size * 220ms;
        writeHeartbeats(fleet, i % 2 == 0 ? 0 : 8, 9s + phase);
        fleet.time.runFor(6s + phase);
        fleet.silenceStoreConnections();
        changeAfterSilence(fleet, [&] { fleet.withdraw(removed); });
        for (const auto &[id, node] : fleet.nodes) {
            cr_expect_eq(node->instances().items().count(ReplicatedFleet::itemOf(removed)),
                         0,
                         "round %d: %s does not know of the removal of %s",
                         i,
                         id.value().c_str(),
                         removed.value().c_str());
        }
    }
}

//! Guards against nodes that rely on documents of their readers when the links between nodes have become silent as well.
Test(storereplication, changes_are_known_in_time_after_the_links_have_become_silent_too)
{
    constexpr int size = 12;
    for (Duration phase = 0ms; phase < 2500ms; phase += 100ms) {
        ReplicatedFleet fleet(size);
        writeHeartbeats(fleet, 8, 9s + phase);
        fleet.time.runFor(6s + phase);
        fleet.silenceStoreConnections();
        fleet.dropsPeerMessages = true;
        changeAfterSilence(fleet, [&] {
            fleet.write("i/changed", "1");
            fleet.write("c/changed", "1");
        });
        expectAtAllNodes(fleet, "i/changed", "1");
        expectAtAllNodes(fleet, "c/changed", "1");
    }
}
