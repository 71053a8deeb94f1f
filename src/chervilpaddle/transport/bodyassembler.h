#pragma once

#include <chervilpaddle/controllers/bodymemory.h>
#include <chervilpaddle/peer/messages.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chervilpaddle {

//! Joins the bodies of answers that a peer sends in parts on one connection. A body that is given up is discarded with the parts that
//! still follow, so that neither the connection nor the peer's other answers are affected. Not thread-safe.
class BodyAssembler
{
public:
    //! Runs an action later on the thread of the assembler. May be called from any thread.
    using Post = std::function<void(std::function<void()> action)>;

    //! The bodies take shares of `memory`; without one, only each of them is bounded.
    BodyAssembler(std::shared_ptr<BodyMemory> memory, Post post);

    void add(const BodyPartMessage &part);
    //! Moves the body of an answer whose parts have been added into it. An answer whose body was given up or is not whole gets the code
    //! AnswerTooLarge instead.
    void complete(ResponseMessage &answer);

private:
    struct Assembly
    {
        std::string body;
        std::unique_ptr<BodyMemory::Share> share;
        bool isDiscarded = false;
    };

    Assembly &assemblyOf(const TicketId &ticket);
    static void discard(Assembly &assembly);

    std::shared_ptr<BodyMemory> m_memory;
    Post m_post;
    std::map<TicketId, std::shared_ptr<Assembly>> m_assemblies;
};

} // namespace chervilpaddle
