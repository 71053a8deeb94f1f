#pragma once

#include <chervilpaddle/controllers/router.h>

#include <functional>
#include <map>
#include <string>

namespace chervilpaddle {

//! Names an outside request in progress.
using EntryRequestId = StrongNumber<struct EntryRequestIdTag>;

//! Outside requests in progress: a caller's repeat of an idempotent request joins the call that is in flight for it.
//! Not thread safe.
class RequestCoalescer
{
public:
    using Completion = Router::Completion;
    //! Starts the call; its completion may be called at once.
    using Start = std::function<CallId(Completion)>;

    //! Joins the call in flight for the same key, or starts one. Each completion is called exactly once.
    EntryRequestId submit(const std::string &key, bool mayJoin, const Start &start, Completion completion);
    //! The caller has gone. The call to cancel, where nobody waits for it any more, or zero.
    CallId abandon(EntryRequestId entry);

private:
    struct Call
    {
        CallId id;
        std::string key;
        std::map<EntryRequestId, Completion> waiting;
    };

    void finish(EntryRequestId number, const CallResult &result);

    std::uint64_t m_lastEntry = 0;
    //! By the entry that started each call.
    std::map<EntryRequestId, Call> m_calls;
    std::map<EntryRequestId, EntryRequestId> m_callOf;
    std::map<std::string, EntryRequestId> m_joinable;
};

} // namespace chervilpaddle
