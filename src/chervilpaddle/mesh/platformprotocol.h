#pragma once

#include <chervilpaddle/contract/routetable.h>
#include <chervilpaddle/controllers/executor.h>
#include <chervilpaddle/controllers/instancedirectory.h>
#include <chervilpaddle/controllers/router.h>
#include <chervilpaddle/controllers/storemessages.h>
#include <chervilpaddle/transport/httpclient.h>
#include <chervilpaddle/transport/httpmessage.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chervilpaddle {

//! A plain HTTP request after the platform's headers have been parsed.
struct IncomingCall
{
    RequestId request;
    //! The request that the caller was serving when it made this call, derived from the request id; empty if there is none.
    RequestId parentRequest;
    std::string host;
    //! How long the caller waits for the response; not set if the request carries no deadline.
    std::optional<Duration> callerTimeout;
    //! Method, target and end-to-end header fields, as forwarded to the backend server.
    std::shared_ptr<const HttpHead> head;
};

//! The wire formats of a platform, as functions that a platform adapter provides. They only translate: all decisions
//! are made by the controllers.
struct PlatformProtocol
{
    //! Parses a request; returns nothing if it lacks a header that the platform requires. `origin` is the service of the
    //! backend server beside the node that received the request.
    std::function<std::optional<IncomingCall>(HttpRequest &request, const ServiceName &origin)> parseCall;
    //! Builds the request to the backend server.
    std::function<HttpRequest(const CallMessage &call, Duration remaining)> backendRequest;
    //! Header that identifies a request; each response of a backend server repeats it.
    std::string requestIdHeader;
    //! Derives result code and payload from the backend server's response.
    std::function<BackendResult(HttpResult &)> backendResult;
    //! Builds the response to the caller. `retryAfter` is the delay after which a call that has not run may be sent again.
    std::function<HttpResponse(const RequestId &, const CallResult &, std::optional<Duration> retryAfter)> callerResponse;

    //! Creates a reader of the platform's store that uses the client. The client must outlive the reader.
    std::function<StoreReader(HttpClient &)> storeReader;
    //! Key prefixes of the configuration and of the instance entries in the store.
    std::string configurationPrefix;
    std::string instancesPrefix;
    //! Decodes a configuration item; returns nothing and sets `reason` if it is invalid or is not the configuration.
    std::function<std::optional<RouteTable>(const StoreItem &, std::string &reason)> decodeRoutes;
    //! Whether an instance entry that was written again only shows that its backend server is alive.
    std::function<bool(const StoreItem &previous, const StoreItem &next)> isHeartbeat;
    //! Decodes an instance entry; returns nothing and sets `reason` if it is invalid.
    std::function<std::optional<InstanceDirectory::Entry>(const StoreItem &, std::string &reason)> decodeInstance;
};

} // namespace chervilpaddle
