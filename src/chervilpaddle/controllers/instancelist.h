#pragma once

#include <chervilpaddle/base/ids.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilpaddle {

//! An IP address and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint &a, const Endpoint &b)
    {
        return a.host == b.host && a.port == b.port;
    }
};

//! "HOST:PORT" with a numeric address and a port from 1 to 65535.
std::optional<Endpoint> parseEndpoint(const std::string &text);
std::string toText(const Endpoint &endpoint);

//! One entry of the platform's list.
struct PublishedInstance
{
    InstanceId instance;
    ServiceName service;
    DataCentreName dataCentre;
    Endpoint peerAddress;
    int slots = 1;
    int connections = 1;
    bool leaving = false;
    //! The start of the backend server; empty where the platform does not tell starts apart.
    BackendId backend;
};

//! The platform's list of live and leaving instances. It lags.
struct InstanceList
{
    Revision revision;
    std::vector<PublishedInstance> instances;
    //! The text it was parsed from, kept so that peers can be served.
    std::string document;
    std::string digest;

    const PublishedInstance *find(const InstanceId &instance) const;
    std::size_t liveCount(const ServiceName &service) const;
};

//! Parses the platform's list (JSON); nothing where it is malformed.
std::optional<InstanceList> parseInstanceList(const std::string &text);
std::string formatInstanceList(const InstanceList &list);

} // namespace chervilpaddle
