#pragma once

#include <chervilpaddle/controllers/instancelist.h>

#include <set>
#include <vector>

namespace chervilpaddle {

//! Number of nodes in each data centre that watch the platform on behalf of the others.
constexpr std::size_t readersPerDataCentre = 3;
//! Links maintained to each service that this node calls: within its own data centre, and to all other data centres together.
constexpr std::size_t localLinksPerService = 8;
constexpr std::size_t remoteLinksPerService = 4;

//! The node that selects its peers.
struct LocalNode
{
    InstanceId instance;
    DataCentreName dataCentre;
    ServiceName service;
    //! Services that this node calls besides its own.
    std::set<ServiceName> calledServices;
};

//! Selects the nodes of a data centre that read the platform, by rendezvous hashing over the published list (Thaler and
//! Ravishankar, 1998). Nodes with different lists may select different readers; see docs/design/configuration.md.
std::vector<InstanceId> selectReaders(const InstanceList &list, const DataCentreName &dataCentre, std::size_t count = readersPerDataCentre);

bool isReader(const InstanceList &list, const LocalNode &localNode);

//! Selects the peers to maintain links to: a stable subset of the instances of the own and each called service, the readers of the
//! local data centre and, if this node is itself a reader, one reader of each other data centre.
std::vector<PublishedInstance> selectPeers(const InstanceList &list, const LocalNode &localNode);

} // namespace chervilpaddle
