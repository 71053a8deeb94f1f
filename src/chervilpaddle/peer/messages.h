#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/resultcode.h>
#include <chervilpaddle/base/storeera.h>
#include <chervilpaddle/base/units.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace chervilpaddle {

//! Maximum size of a request or response body.
constexpr std::size_t maxBodyBytes = 8 * mebibyte;
//! Longest text in the head of a call. Frames with longer ones are rejected, so nodes must not take longer headers from callers.
constexpr std::size_t maxHeadTextBytes = 64 * kibibyte;
//! Major version of the peer protocol. Peers with another major version are rejected; unknown fields are ignored.
constexpr int peerProtocolMajor = 1;

//! Shared between the attempts of a call instead of copied.
using Body = std::shared_ptr<const std::string>;

//! Identifies a call uniquely: an issuer never reuses a sequence number.
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

//! Binds a call to one incarnation of one executor, so that no other process can run it.
struct Ticket
{
    TicketId id;
    InstanceId executor;
    Incarnation executorIncarnation;
};

//! Position of a request in every queue of its call tree; higher ranks run first.
//! The integer part is the priority (zero beyond the contracted rate); the fraction is derived from the request id.
using Rank = double;

//! Properties that all calls in the call tree of a request inherit.
struct CallContext
{
    RequestId request;
    CustomerName customer;
    OperationName operation;
    Rank rank = 0;
    int depth = 0;
    //! An earlier attempt of this branch of the call tree may have run.
    bool branchMayHaveRun = false;
    bool idempotent = false;
    //! Run of the backend server that the call is intended for; empty if the platform does not distinguish restarts.
    BackendId backend;
};

//! Method, target and header fields of a plain HTTP request or response. Method and target are empty in responses.
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
    //! Set for plain HTTP calls only; shared between attempts instead of copied.
    std::shared_ptr<const HttpHead> head = nullptr;
    //! Size of the body of an answer that was sent before it, in parts; zero: the body is in this message.
    std::size_t bodyBytesInParts = 0;
};

struct CallMessage
{
    Ticket ticket;
    CallContext context;
    //! Time left until the deadline when the frame was sent.
    Duration remaining{};
    //! Number of retries that the caller delegates with the call.
    int retryAllowance = 0;
    Payload payload;
};

//! Total time for which a call and its descendants occupied slots of a service.
struct ServiceCost
{
    ServiceName service;
    double seconds = 0;
};

struct ResponseMessage
{
    TicketId ticket;
    ResultCode code = ResultCode::Done;
    //! Unused part of the delegated retries.
    int retryAllowance = 0;
    //! Price of the operation: the lowest rank that its call tree currently admits.
    Rank price = 0;
    //! Running and queued calls per slot at the executor.
    double load = 0;
    //! Slot time used by the entire call tree, if the call has run.
    std::vector<ServiceCost> costs;
    Payload payload;
};

//! A part of the body of an answer that follows. Only sent to peers that take such parts.
struct BodyPartMessage
{
    TicketId ticket;
    //! Size of the entire body.
    std::size_t bodyBytes = 0;
    std::string bytes;
};

struct CancelMessage
{
    TicketId ticket;
};

struct VoidTicketMessage
{
    Ticket ticket;
};

//! First frame on a connection, sent in both directions.
struct HelloMessage
{
    int major = peerProtocolMajor;
    InstanceId instance;
    Incarnation incarnation;
    ServiceName service;
    DataCentreName dataCentre;
    int slots = 0;
    //! Answers with long bodies may be sent to the sender in parts.
    bool takesBodyParts = true;
};

//! Version of a document that nodes replicate to each other.
struct DocumentVersion
{
    Revision revision;
    std::string digest;
};

//! Heartbeat with the current state of the sender.
struct StatusMessage
{
    bool draining = false;
    //! The sender knows that the receiver is draining and sends no further calls on this connection.
    bool drainAcknowledged = false;
    Incarnation incarnation;
    //! Revisions that the sender holds.
    Revision configurationRevision;
    Revision instancesRevision;
    //! The eras of the store to which these belong. Not set by peers that do not distinguish eras.
    std::optional<StoreEra> configurationEra = std::nullopt;
    std::optional<StoreEra> instancesEra = std::nullopt;
    //! Entry nodes reject requests ranked below this value, to protect the sender's backend server from overload; see
    //! ClearingRank.
    Rank clearingRank = 0;
    //! For how long the sender, a reader of the platform's store, has had access to it; not set if it has none.
    std::optional<Duration> storeAvailableFor;
    //! The version of the routes that the sender has in force and serves to peers; zero if it does not report one.
    Revision routesVersion;
};

//! Requests a newer configuration. Lists the digests of the contracts already held, so that only changed ones are sent.
struct ConfigurationRequest
{
    Revision heldRevision;
    std::map<CustomerName, std::string> heldDigests;
    //! The era of the store to which the revision belongs. Not set by peers that do not distinguish eras.
    std::optional<StoreEra> heldEra = std::nullopt;
};

struct ConfigurationMessage
{
    std::string manifest;
    std::map<CustomerName, std::string> contractTexts;
};

struct InstancesRequest
{
    Revision heldRevision;
    //! The era of the store to which the revision belongs. Not set by peers that do not distinguish eras.
    std::optional<StoreEra> heldEra = std::nullopt;
};

struct InstancesMessage
{
    std::string document;
};

//! Requests the routes in force. Only sent to peers that report their version: older builds reject unknown kinds of messages.
struct RoutesRequest
{
    Revision heldVersion;
};

struct RoutesMessage
{
    //! The source text of the routes.
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
                                 InstancesMessage,
                                 RoutesRequest,
                                 RoutesMessage,
                                 BodyPartMessage>;

} // namespace chervilpaddle

namespace std {
template<>
struct hash<chervilpaddle::TicketId>
{
    size_t operator()(const chervilpaddle::TicketId &id) const noexcept
    {
        constexpr size_t hashMultiplier = 0x9E3779B97F4A7C15ULL;
        return id.issuer.value() ^ (id.sequence * hashMultiplier);
    }
};
} // namespace std
