#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace chervilpaddle {

//! Bounds the memory that the bodies of messages take together, those that are received and those that wait for a reader. Once it is
//! used up, messages are given up: the largest of those that may have no end while these take more than a quarter of it, and then
//! those that have been held for longest.
//! Thread-safe. To be created as a shared pointer, as its shares keep it alive.
class BodyMemory : public std::enable_shared_from_this<BodyMemory>
{
public:
    //! What a message is held for.
    enum class Use {
        Receiving, //!< It is received up to a length that is known.
        ReceivingOpenEnded, //!< It is received and does not announce its length, so that it may have no end.
        Sending, //!< It waits for its reader.
        Committed, //!< It waits for its reader and can no longer be given up.
    };

    //! The part of the memory that a message takes, released with this object. To be used by one thread at a time; another one may
    //! give it up meanwhile.
    class Share
    {
    public:
        Share(std::shared_ptr<BodyMemory> memory, std::uint64_t id);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        //! Sets the size. Returns false if the message is given up or does not fit; it must then be discarded.
        bool update(Use use, std::size_t bytes);
        bool isGivenUp() const;

    private:
        std::shared_ptr<BodyMemory> m_memory;
        std::uint64_t m_id;
    };

    explicit BodyMemory(std::size_t maxBytes);

    //! Creates an empty share. `giveUp` is called at most once, from any thread that updates another share, and must not block; the
    //! message's memory is to be freed soon after.
    std::unique_ptr<Share> hold(std::function<void()> giveUp);

    std::size_t heldBytes() const;
    //! Number of messages that were given up or did not fit.
    std::uint64_t givenUp() const;

private:
    struct Entry
    {
        Use use = Use::Receiving;
        std::size_t bytes = 0;
        std::function<void()> giveUp;
        bool isGivenUp = false;
    };

    bool update(std::uint64_t id, Use use, std::size_t bytes);
    void resize(Entry &entry, Use use, std::size_t bytes);
    //! Returns the updated entry if there is no other choice.
    Entry &nextToGiveUp(Entry &updated);
    void release(std::uint64_t id);
    bool isGivenUp(std::uint64_t id) const;

    const std::size_t m_maxBytes;
    //! Guards all below.
    mutable std::mutex m_mutex;
    //! In the order of their creation.
    std::map<std::uint64_t, Entry> m_entries;
    std::uint64_t m_lastId = 0;
    std::size_t m_heldBytes = 0;
    std::size_t m_openEndedBytes = 0;
    std::uint64_t m_givenUp = 0;
};

} // namespace chervilpaddle
