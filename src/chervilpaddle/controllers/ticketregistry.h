#pragma once

#include <chervilpaddle/base/units.h>
#include <chervilpaddle/peer/messages.h>

#include <deque>
#include <optional>
#include <unordered_map>

namespace chervilpaddle {

//! What an executor remembers of the calls that were sent to it, so that none runs twice. Bounded: finished
//! records are evicted oldest first, and a minter's low-water mark refuses whatever is older than an evicted
//! record. Not thread safe.
class TicketRegistry
{
public:
    enum class State {
        Queued,
        Started,
        Finished,
        Voided,
    };

    enum class Verdict {
        Fresh, //!< First seen now; recorded as queued.
        InFlight, //!< A duplicate of a call that is queued or running.
        Answered, //!< A duplicate of a finished call; its answer is held.
        AnswerEvicted, //!< A duplicate of a finished call whose answer was too large to keep.
        Voided, //!< Never started, and never will be.
        TooOld, //!< At or below the low-water mark: it may have run.
        Mismatch, //!< The ticket was first used for another request.
        Full, //!< No room for another minter.
    };

    struct Limits
    {
        std::size_t mostRecords = 65536;
        std::size_t mostMinters = 4096;
        std::size_t mostAnswerBytes = 32 * mebibyte;
    };

    TicketRegistry();
    explicit TicketRegistry(Limits limits);

    //! Judges an arriving call. `requestDigest` identifies its content.
    Verdict admit(const TicketId &ticket, std::uint64_t requestDigest);

    //! Marks a queued call as started. False where it is not queued: it must not be run then.
    bool start(const TicketId &ticket);

    //! Records the answer of a started call.
    void finish(const TicketId &ticket, const AnswerMessage &answer);

    //! Rules out that a ticket's call will ever start. True where it had not started: "not run" is definite.
    //! A ticket never seen is recorded as voided, so that a late frame is refused.
    bool voidTicket(const TicketId &ticket);

    //! The answer of a finished call, or null.
    const AnswerMessage *answer(const TicketId &ticket) const;

    std::optional<State> state(const TicketId &ticket) const;
    std::size_t size() const;
    std::size_t issuerCount() const;
    std::size_t answerBytes() const;

private:
    struct Record
    {
        State state = State::Queued;
        std::uint64_t requestDigest = 0;
        std::shared_ptr<const AnswerMessage> answer;
    };

    bool isTooOld(const TicketId &ticket) const;
    bool hasRoomFor(Incarnation minter);
    void retire(const TicketId &ticket);
    void evict();

    Limits m_limits;
    std::unordered_map<TicketId, Record> m_records;
    std::unordered_map<Incarnation, std::uint64_t> m_lowWater;
    std::deque<TicketId> m_retired;
    std::size_t m_answerBytes = 0;
};

} // namespace chervilpaddle
