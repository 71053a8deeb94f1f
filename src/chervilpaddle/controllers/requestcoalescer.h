#pragma once

#include <chervilpaddle/controllers/router.h>

#include <functional>
#include <map>
#include <string>

namespace chervilpaddle {

//! Names an outside request in progress.
using EntryNumber = StrongNumber<struct EntryNumberTag>;

//! Outside requests in progress: a caller's repeat of an idempotent request joins the call that is in flight for it.
//! Not thread safe.
class RequestCoalescer
{
public:
    using Completion = Router::Completion;
    //! Starts the call; its completion may be called at once.
    using Start = std::function<CallId(Completion)>;

    //! Joins the call in flight for the same key, or starts one. Each completion is called exactly once.
    EntryNumber submit(const std::string &key, bool mayJoin, const Start &start, Completion completion);
    //! The caller has gone. The call to cancel, where nobody waits for it any more, or zero.
    CallId abandon(EntryNumber entry);

private:
    struct Call
    {
        CallId id;
        std::string key;
        std::map<EntryNumber, Completion> waiting;
    };

    void finish(EntryNumber number, const CallResult &result);

    std::uint64_t m_lastEntry = 0;
    //! By the entry that started each call.
    std::map<EntryNumber, Call> m_calls;
    std::map<EntryNumber, EntryNumber> m_callOf;
    std::map<std::string, EntryNumber> m_joinable;
};

} // namespace chervilpaddle
