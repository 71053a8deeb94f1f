#pragma once

#include <chervilpaddle/controllers/instancelist.h>

#include <set>
#include <vector>

namespace chervilpaddle {

//! How many nodes of a data centre watch the platform for the others.
constexpr std::size_t readersPerDataCentre = 3;
//! Links kept to each service that this node calls: in its own data centre, and in all others together.
constexpr std::size_t nearLinksPerService = 8;
constexpr std::size_t farLinksPerService = 4;

//! Who is asking for peers.
struct LocalNode
{
    InstanceId instance;
    DataCentreName dataCentre;
    ServiceName service;
    //! Other services that this node sends calls to.
    std::set<ServiceName> calledServices;
};

//! The nodes of a data centre that read the platform, by rendezvous hashing over the published list
//! (Thaler and Ravishankar, 1998). Two nodes with different lists may differ; see docs/design/configuration.md.
std::vector<InstanceId> selectReaders(const InstanceList &list, const DataCentreName &dataCentre);

bool isReader(const InstanceList &list, const LocalNode &localNode);

//! The peers to keep links to: a stable subset of each service called, the data centre's readers,
//! and for a reader one reader of each other data centre.
std::vector<PublishedInstance> selectPeers(const InstanceList &list, const LocalNode &localNode);

} // namespace chervilpaddle
