#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace chervilpaddle {

namespace rcu {
//! Registers the calling thread with liburcu for the lifetime of the object. Each reading thread needs one such object,
//! created before its first read.
class ThreadRegistration
{
public:
    ThreadRegistration();
    ~ThreadRegistration();
    ThreadRegistration(const ThreadRegistration &) = delete;
    ThreadRegistration &operator=(const ThreadRegistration &) = delete;
};

//! Read-side critical section. Never blocks.
class ReadGuard
{
public:
    ReadGuard();
    ~ReadGuard();
    ReadGuard(const ReadGuard &) = delete;
    ReadGuard &operator=(const ReadGuard &) = delete;
};

//! Waits for a grace period: until all read-side critical sections that began earlier have ended.
void waitForGracePeriod();
} // namespace rcu

//! Holds an immutable snapshot. Readers take no locks; writers replace the entire snapshot.
//! Threads that read must hold a rcu::ThreadRegistration; the owner must serialise writers.
template<typename T>
class RcuCell
{
public:
    explicit RcuCell(std::shared_ptr<const T> initial)
        : m_current(new std::shared_ptr<const T>(std::move(initial)))
    {
    }
    ~RcuCell()
    {
        delete m_current.load(std::memory_order_acquire);
    }
    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    //! Returns the current snapshot; it stays valid while the pointer is held. Lock-free.
    std::shared_ptr<const T> read() const
    {
        const rcu::ReadGuard guard;
        return *m_current.load(std::memory_order_acquire);
    }

    //! Replaces the snapshot, and waits until no reader can access the previous pointer before freeing it.
    //! Precondition: not called within a read-side critical section, and by one thread at a time.
    void publish(std::shared_ptr<const T> next)
    {
        auto *old = m_current.exchange(new std::shared_ptr<const T>(std::move(next)), std::memory_order_acq_rel);
        rcu::waitForGracePeriod();
        delete old;
    }

private:
    std::atomic<std::shared_ptr<const T> *> m_current;
};

} // namespace chervilpaddle
