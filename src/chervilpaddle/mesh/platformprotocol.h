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

//! A plain HTTP request, as the mesh sees it.
struct IncomingCall
{
    RequestId request;
    //! The request that the caller was running when it made this one, as far as the ids tell; empty otherwise.
    RequestId parent;
    std::string host;
    //! How long the caller waits; nothing where it does not say.
    std::optional<Duration> callerTimeout;
    //! What is passed on: method, target and the fields that concern more than one connection.
    std::shared_ptr<const HttpHead> head;
};

//! How a platform names things on the wire. An adapter fills it; it translates and decides nothing.
struct PlatformProtocol
{
    //! Reads a request; nothing where it lacks what the platform asks of every request. `origin` is the service
    //! beside the node that takes the request.
    std::function<std::optional<IncomingCall>(HttpRequest &request, const ServiceName &origin)> parseCall;
    //! What the backend server is sent.
    std::function<HttpRequest(const CallMessage &call, Duration remaining)> backendRequest;
    //! Whether an answer of the backend server belongs to the request.
    std::function<bool(const HttpRequest &, const HttpHeaders &)> isMatchingResponse;
    //! What an answer of the backend server means.
    std::function<BackendResult(HttpResult &)> backendResult;
    //! What the caller is answered. `retryAfter`: when a call that has not run may be sent again.
    std::function<HttpResponse(const RequestId &, const CallResult &, std::optional<Duration> retryAfter)> callerResponse;

    //! The platform's store behind a client. The client must outlive the reader.
    std::function<StoreReader(HttpClient &)> storeReader;
    //! Below this prefix lies the configuration, and below the other the instances.
    std::string configurationPrefix;
    std::string instancesPrefix;
    //! The configuration among the items below its prefix; nothing, and a reason, where it cannot be used.
    std::function<std::optional<RouteTable>(const StoreItem &, std::string &reason)> decodeRoutes;
    //! One instance; nothing, and a reason, where the entry names none that can be used.
    std::function<std::optional<InstanceDirectory::Entry>(const StoreItem &, std::string &reason)> decodeInstance;
};

} // namespace chervilpaddle
