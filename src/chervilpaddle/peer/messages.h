#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/resultcode.h>
#include <chervilpaddle/base/units.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace chervilpaddle {

//! The largest body of a request or an answer that passes.
constexpr std::size_t maxBodyBytes = 8 * mebibyte;
//! The peer protocol's version; another major version is refused, an unknown field is ignored.
constexpr int peerProtocolMajor = 1;

//! Bodies are shared, not copied, between attempts.
using Body = std::shared_ptr<const std::string>;

//! Names one call for ever: minters never use a sequence number twice.
struct TicketId
{
    Incarnation issuer;
    std::uint64_t sequence = 0;

    friend bool operator==(const TicketId &a, const TicketId &b)
    {
        return a.issuer == b.issuer && a.sequence == b.sequence;
    }
    friend bool operator<(const TicketId &a, const TicketId &b)
    {
        return a.issuer == b.issuer ? a.sequence < b.sequence : a.issuer < b.issuer;
    }
};

//! Binds one call to one incarnation of one executor, so that it can run nowhere else.
struct Ticket
{
    TicketId id;
    InstanceId executor;
    Incarnation executorIncarnation;
};

//! The position of a request in every queue of its call tree; higher runs first.
//! The whole part is the worth (zero: beyond the contracted rate), the fraction comes from the request's id.
using Rank = double;

//! What every call of a request's tree inherits.
struct CallContext
{
    RequestId request;
    CustomerName customer;
    OperationName operation;
    Rank rank = 0;
    int depth = 0;
    //! An earlier attempt of this branch may have run.
    bool branchMayHaveRun = false;
    bool idempotent = false;
    //! The start of the backend server that the call is meant for; empty where the platform does not tell starts apart.
    BackendId backend;
};

//! What a plain HTTP call or its answer carries besides status and body. Method and target are empty in answers.
struct HttpHead
{
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> fields;
};

struct Payload
{
    int status = 0;
    std::string contentType;
    Body body;
    //! Set for plain HTTP calls only; shared, not copied, between attempts.
    std::shared_ptr<const HttpHead> head = nullptr;
};

struct CallMessage
{
    Ticket ticket;
    CallContext context;
    //! Time left when the frame was sent.
    Duration remaining{};
    //! Repeats lent with the call.
    int retryAllowance = 0;
    Payload payload;
};

//! How long a call and the calls below it held slots of a service.
struct ServiceCost
{
    ServiceName service;
    double seconds = 0;
};

struct ResponseMessage
{
    TicketId ticket;
    ResultCode code = ResultCode::Done;
    //! The unspent part of what was lent.
    int retryAllowance = 0;
    //! The lowest rank that the operation's call tree admits now.
    Rank admissionThreshold = 0;
    //! Calls running and queued at the executor for each of its slots.
    double load = 0;
    //! What the call's whole tree has held, where it has run.
    std::vector<ServiceCost> costs;
    Payload payload;
};

struct CancelMessage
{
    TicketId ticket;
};

struct VoidTicketMessage
{
    Ticket ticket;
};

//! The first frame on a connection, both ways.
struct HelloMessage
{
    int major = peerProtocolMajor;
    InstanceId instance;
    Incarnation incarnation;
    ServiceName service;
    DataCentreName dataCentre;
    int slots = 0;
};

//! Which version of a document that spreads from node to node is held.
struct DocumentVersion
{
    Revision revision;
    std::string digest;
};

//! Heartbeat, and news of the sender's state.
struct StatusMessage
{
    bool draining = false;
    //! The sender knows that the receiver is draining: no new call follows on this connection.
    bool drainAcknowledged = false;
    Incarnation incarnation;
    //! What the sender holds.
    Revision configurationRevision;
    Revision instancesRevision;
    //! The requests that must be refused at the entries to spare the sender's backend server; see ClearingRank.
    Rank entryThreshold = 0;
};

//! Asks for a newer configuration; names the contracts already held, so that only changed ones are sent.
struct ConfigurationRequest
{
    Revision heldRevision;
    std::map<CustomerName, std::string> heldDigests;
};

struct ConfigurationMessage
{
    std::string manifest;
    std::map<CustomerName, std::string> contractTexts;
};

struct InstancesRequest
{
    Revision heldRevision;
};

struct InstancesMessage
{
    std::string document;
};

using PeerMessage = std::variant<HelloMessage,
                                 CallMessage,
                                 ResponseMessage,
                                 CancelMessage,
                                 VoidTicketMessage,
                                 StatusMessage,
                                 ConfigurationRequest,
                                 ConfigurationMessage,
                                 InstancesRequest,
                                 InstancesMessage>;

} // namespace chervilpaddle

namespace std {
template<>
struct hash<chervilpaddle::TicketId>
{
    size_t operator()(const chervilpaddle::TicketId &id) const noexcept
    {
        constexpr size_t oddMultiplier = 0x9E3779B97F4A7C15ULL;
        return id.issuer.value() ^ (id.sequence * oddMultiplier);
    }
};
} // namespace std
