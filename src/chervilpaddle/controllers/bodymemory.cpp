#include <chervilpaddle/controllers/bodymemory.h>

#include <utility>

namespace chervilpaddle {

namespace {

//! Messages that may have no end are given up before others while they take more than this part of the memory.
constexpr std::size_t openEndedDivisor = 4;

} // namespace

BodyMemory::Share::Share(std::shared_ptr<BodyMemory> memory, std::uint64_t id)
    : m_memory(std::move(memory))
    , m_id(id)
{
}

BodyMemory::Share::~Share()
{
    m_memory->release(m_id);
}

bool BodyMemory::Share::update(Use use, std::size_t bytes)
{
    return m_memory->update(m_id, use, bytes);
}

bool BodyMemory::Share::isGivenUp() const
{
    return m_memory->isGivenUp(m_id);
}

BodyMemory::BodyMemory(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

std::unique_ptr<BodyMemory::Share> BodyMemory::hold(std::function<void()> giveUp)
{
    const std::lock_guard lock(m_mutex);
    m_entries[++m_lastId].giveUp = std::move(giveUp);
    return std::make_unique<Share>(shared_from_this(), m_lastId);
}

std::size_t BodyMemory::heldBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_heldBytes;
}

std::uint64_t BodyMemory::givenUp() const
{
    const std::lock_guard lock(m_mutex);
    return m_givenUp;
}

bool BodyMemory::update(std::uint64_t id, Use use, std::size_t bytes)
{
    std::vector<std::function<void()>> giveUps;
    bool isKept = true;
    {
        const std::lock_guard lock(m_mutex);
        Entry &updated = m_entries.at(id);
        if (updated.isGivenUp) {
            return false;
        }
        resize(updated, use, bytes);
        while (m_heldBytes > m_maxBytes && isKept) {
            Entry &entry = nextToGiveUp(updated);
            resize(entry, entry.use, 0);
            entry.isGivenUp = true;
            ++m_givenUp;
            isKept = &entry != &updated;
            if (isKept) {
                giveUps.push_back(std::move(entry.giveUp));
            }
        }
    }
    for (const auto &giveUp : giveUps) {
        giveUp();
    }
    return isKept;
}

void BodyMemory::resize(Entry &entry, Use use, std::size_t bytes)
{
    m_heldBytes = m_heldBytes - entry.bytes + bytes;
    m_openEndedBytes -= entry.use == Use::ReceivingOpenEnded ? entry.bytes : 0;
    m_openEndedBytes += use == Use::ReceivingOpenEnded ? bytes : 0;
    entry.use = use;
    entry.bytes = bytes;
}

BodyMemory::Entry &BodyMemory::nextToGiveUp(Entry &updated)
{
    Entry *largestOpenEnded = nullptr;
    Entry *longestHeld = nullptr;
    for (auto &[id, entry] : m_entries) {
        if (entry.bytes == 0 || entry.use == Use::Committed) {
            continue;
        }
        if (entry.use != Use::ReceivingOpenEnded) {
            longestHeld = longestHeld == nullptr && &entry != &updated ? &entry : longestHeld;
        } else if (largestOpenEnded == nullptr || entry.bytes > largestOpenEnded->bytes) {
            largestOpenEnded = &entry;
        }
    }
    const bool prefersOpenEnded = m_openEndedBytes > m_maxBytes / openEndedDivisor;
    Entry *next = prefersOpenEnded || longestHeld == nullptr ? largestOpenEnded : longestHeld;
    return next != nullptr ? *next : updated;
}

void BodyMemory::release(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    Entry &entry = m_entries.at(id);
    resize(entry, entry.use, 0);
    m_entries.erase(id);
}

bool BodyMemory::isGivenUp(std::uint64_t id) const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.at(id).isGivenUp;
}

} // namespace chervilpaddle
