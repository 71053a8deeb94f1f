#include <chervilpaddle/controllers/peerselection.h>

#include <chervilpaddle/base/random.h>

#include <algorithm>
#include <map>

namespace chervilpaddle {

namespace {

using Entries = std::vector<const PublishedInstance *>;

//! Orders by the hash of a salt and each instance, so that every salt prefers other instances, stably.
void orderByHash(Entries &entries, const std::string &salt)
{
    const auto weight = [&](const PublishedInstance *entry) { return stableHash(salt + '\n' + entry->instance.value()); };
    std::sort(entries.begin(), entries.end(), [&](const auto *a, const auto *b) { return weight(a) < weight(b); });
}

Entries readerEntries(const InstanceList &list, const DataCentreName &dataCentre)
{
    Entries entries;
    for (const PublishedInstance &instance : list.instances) {
        if (instance.dataCentre == dataCentre && !instance.leaving) {
            entries.push_back(&instance);
        }
    }
    orderByHash(entries, "reader");
    entries.resize(std::min(entries.size(), readersPerDataCentre));
    return entries;
}

void addSubset(Entries entries, std::size_t most, const std::string &salt, std::map<InstanceId, const PublishedInstance *> &chosen)
{
    orderByHash(entries, salt);
    entries.resize(std::min(entries.size(), most));
    for (const PublishedInstance *entry : entries) {
        chosen[entry->instance] = entry;
    }
}

} // namespace

std::vector<InstanceId> selectReaders(const InstanceList &list, const DataCentreName &dataCentre)
{
    std::vector<InstanceId> ids;
    for (const PublishedInstance *entry : readerEntries(list, dataCentre)) {
        ids.push_back(entry->instance);
    }
    return ids;
}

bool isReader(const InstanceList &list, const LocalNode &localNode)
{
    const auto readers = selectReaders(list, localNode.dataCentre);
    return std::find(readers.begin(), readers.end(), localNode.instance) != readers.end();
}

std::vector<PublishedInstance> selectPeers(const InstanceList &list, const LocalNode &localNode)
{
    std::map<ServiceName, std::pair<Entries, Entries>> services;
    std::set<DataCentreName> dataCentres;
    for (const PublishedInstance &instance : list.instances) {
        dataCentres.insert(instance.dataCentre);
        const bool called = instance.service == localNode.service || localNode.calledServices.count(instance.service) != 0;
        if (called && instance.instance != localNode.instance) {
            auto &[near, far] = services[instance.service];
            (instance.dataCentre == localNode.dataCentre ? near : far).push_back(&instance);
        }
    }
    std::map<InstanceId, const PublishedInstance *> chosen;
    for (const auto &[service, entries] : services) {
        addSubset(entries.first, nearLinksPerService, localNode.instance.value(), chosen);
        addSubset(entries.second, farLinksPerService, localNode.instance.value(), chosen);
    }
    const bool reader = isReader(list, localNode);
    for (const DataCentreName &dataCentre : dataCentres) {
        Entries readers = readerEntries(list, dataCentre);
        if (dataCentre != localNode.dataCentre) {
            readers.resize(std::min<std::size_t>(readers.size(), reader ? 1 : 0));
        }
        for (const PublishedInstance *entry : readers) {
            chosen[entry->instance] = entry;
        }
    }
    std::vector<PublishedInstance> peers;
    for (const auto &[instance, entry] : chosen) {
        if (instance != localNode.instance) {
            peers.push_back(*entry);
        }
    }
    return peers;
}

} // namespace chervilpaddle
