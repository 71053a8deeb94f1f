#include <chervilpaddle/controllers/peerselection.h>

#include <chervilpaddle/base/random.h>

#include <algorithm>
#include <map>

namespace chervilpaddle {

namespace {

using Entries = std::vector<const PublishedInstance *>;

//! Sorts by a hash of the salt and the instance id, so that each salt gives a different but stable order.
void sortByHash(Entries &entries, const std::string &salt)
{
    std::vector<std::pair<std::uint64_t, const PublishedInstance *>> weighted;
    weighted.reserve(entries.size());
    for (const PublishedInstance *entry : entries) {
        weighted.emplace_back(stableHash(salt + '\n' + entry->instance.value()), entry);
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    std::transform(weighted.begin(), weighted.end(), entries.begin(), [](const auto &entry) { return entry.second; });
}

Entries readerEntries(const InstanceList &list, const DataCentreName &dataCentre, std::size_t count = readersPerDataCentre)
{
    Entries entries;
    for (const PublishedInstance &instance : list.instances) {
        if (instance.dataCentre == dataCentre && !instance.leaving) {
            entries.push_back(&instance);
        }
    }
    sortByHash(entries, "reader");
    entries.resize(std::min(entries.size(), count));
    return entries;
}

void addSubset(Entries entries, std::size_t maxCount, const std::string &salt, std::map<InstanceId, const PublishedInstance *> &selected)
{
    sortByHash(entries, salt);
    entries.resize(std::min(entries.size(), maxCount));
    for (const PublishedInstance *entry : entries) {
        selected[entry->instance] = entry;
    }
}

} // namespace

std::vector<InstanceId> selectReaders(const InstanceList &list, const DataCentreName &dataCentre, std::size_t count)
{
    std::vector<InstanceId> ids;
    for (const PublishedInstance *entry : readerEntries(list, dataCentre, count)) {
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
        const bool isCalled = instance.service == localNode.service || localNode.calledServices.count(instance.service) != 0;
        if (isCalled && instance.instance != localNode.instance) {
            auto &[local, remote] = services[instance.service];
            (instance.dataCentre == localNode.dataCentre ? local : remote).push_back(&instance);
        }
    }
    std::map<InstanceId, const PublishedInstance *> selected;
    for (const auto &[service, entries] : services) {
        addSubset(entries.first, localLinksPerService, localNode.instance.value(), selected);
        addSubset(entries.second, remoteLinksPerService, localNode.instance.value(), selected);
    }
    const bool isLocalReader = isReader(list, localNode);
    for (const DataCentreName &dataCentre : dataCentres) {
        Entries readers = readerEntries(list, dataCentre);
        if (dataCentre != localNode.dataCentre) {
            readers.resize(std::min<std::size_t>(readers.size(), isLocalReader ? 1 : 0));
        }
        for (const PublishedInstance *entry : readers) {
            selected[entry->instance] = entry;
        }
    }
    std::vector<PublishedInstance> peers;
    for (const auto &[instance, entry] : selected) {
        if (instance != localNode.instance) {
            peers.push_back(*entry);
        }
    }
    return peers;
}

} // namespace chervilpaddle
