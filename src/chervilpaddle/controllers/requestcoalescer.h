#pragma once

#include <chervilpaddle/controllers/router.h>

#include <functional>
#include <map>
#include <string>

namespace chervilpaddle {

//! Identifies a request from outside the mesh that is in progress.
using EntryRequestId = StrongNumber<struct EntryRequestIdTag>;

//! Request coalescing: a caller's retry of an idempotent request joins the call that is already in flight for it instead
//! of starting another. Not thread-safe.
class RequestCoalescer
{
public:
    using Completion = Router::Completion;
    //! Starts the call. May invoke the completion before it returns.
    using Start = std::function<CallId(Completion)>;

    //! Joins the call in flight for the same key if `mayJoin` is set and there is one, otherwise starts a call. The
    //! completion is called exactly once, unless the request is abandoned.
    EntryRequestId submit(const std::string &key, bool mayJoin, const Start &start, Completion completion);
    //! Removes a request whose caller has disconnected. Returns the call to cancel if no other request waits for it,
    //! otherwise a null id.
    CallId abandon(EntryRequestId request);

private:
    struct Call
    {
        CallId id;
        std::string key;
        std::map<EntryRequestId, Completion> waiting;
    };

    void finish(EntryRequestId initiator, const CallResult &result);

    std::uint64_t m_lastRequest = 0;
    //! Calls by the request that started them.
    std::map<EntryRequestId, Call> m_calls;
    std::map<EntryRequestId, EntryRequestId> m_callOf;
    std::map<std::string, EntryRequestId> m_joinable;
};

} // namespace chervilpaddle
