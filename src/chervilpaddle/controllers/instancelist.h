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

//! Parses "HOST:PORT", where HOST is a numeric IP address (IPv6 optionally in brackets) and PORT is 1 to 65535.
std::optional<Endpoint> parseEndpoint(const std::string &text);
std::string toText(const Endpoint &endpoint);

//! One entry of the platform's instance list.
struct PublishedInstance
{
    InstanceId instance;
    ServiceName service;
    DataCentreName dataCentre;
    Endpoint peerAddress;
    int slots = 1;
    int connections = 1;
    bool leaving = false;
    //! Identifies one start of the backend server; empty if the platform does not distinguish starts.
    BackendId backend;
};

//! The platform's list of live and leaving instances. It may be out of date.
struct InstanceList
{
    Revision revision;
    std::vector<PublishedInstance> instances;
    //! The text from which the list was parsed, for sending it to peers.
    std::string document;
    std::string digest;

    const PublishedInstance *find(const InstanceId &instance) const;
    std::size_t liveCount(const ServiceName &service) const;
};

//! Parses the platform's instance list (JSON). Returns nullopt if it is malformed.
std::optional<InstanceList> parseInstanceList(const std::string &text);
std::string formatInstanceList(const InstanceList &list);

} // namespace chervilpaddle
