#pragma once

#include <chervilpaddle/base/units.h>
#include <chervilpaddle/peer/messages.h>

#include <deque>
#include <optional>
#include <unordered_map>

namespace chervilpaddle {

//! Records of the calls sent to an executor, by which it rejects duplicates, so that no call runs twice. Memory is
//! bounded: records of finished and voided calls are evicted, the oldest first, and each issuer's low-water mark
//! rejects all tickets up to the newest evicted one. Not thread-safe.
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
        Fresh, //!< Seen for the first time; now recorded as queued.
        InFlight, //!< A duplicate of a call that is queued or running.
        Answered, //!< A duplicate of a finished call; its response is stored.
        ResponseEvicted, //!< A duplicate of a finished call whose response was too large to store.
        Voided, //!< Has not started and never will.
        TooOld, //!< At or below the issuer's low-water mark: the call may have run.
        Mismatch, //!< The ticket was first used for a different request.
        Full, //!< The maximum number of issuers has been reached.
    };

    struct Limits
    {
        std::size_t maxRecords = 65536;
        std::size_t maxIssuers = 4096;
        std::size_t maxResponseBytes = 32 * mebibyte;
    };

    TicketRegistry();
    explicit TicketRegistry(Limits limits);

    //! Checks an arriving call and records it if it is new. `requestDigest` identifies its content.
    Verdict admit(const TicketId &ticket, std::uint64_t requestDigest);

    //! Marks a queued call as started. Returns false if the call is not queued and must not run.
    bool start(const TicketId &ticket);

    //! Records the response of a started call.
    void finish(const TicketId &ticket, const ResponseMessage &response);

    //! Prevents a ticket's call from ever starting. Returns true if it has not started, so that "not run" is certain.
    //! An unknown ticket is recorded as voided, so that a frame that arrives later is rejected.
    bool voidTicket(const TicketId &ticket);

    //! The stored response of a finished call, or null.
    const ResponseMessage *response(const TicketId &ticket) const;

    std::optional<State> state(const TicketId &ticket) const;
    std::size_t size() const;
    std::size_t issuerCount() const;
    std::size_t responseBytes() const;

private:
    struct Record
    {
        State state = State::Queued;
        std::uint64_t requestDigest = 0;
        std::shared_ptr<const ResponseMessage> response;
    };

    bool isTooOld(const TicketId &ticket) const;
    bool hasRoomFor(Incarnation issuer);
    void retire(const TicketId &ticket);
    void evict();

    Limits m_limits;
    std::unordered_map<TicketId, Record> m_records;
    std::unordered_map<Incarnation, std::uint64_t> m_lowWater;
    std::deque<TicketId> m_retired;
    std::size_t m_responseBytes = 0;
};

} // namespace chervilpaddle
