#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace chervilpaddle {

namespace rcu {
//! Registers the calling thread with liburcu for its lifetime. One object a thread, before its first read.
class ThreadRegistration
{
public:
    ThreadRegistration();
    ~ThreadRegistration();
    ThreadRegistration(const ThreadRegistration &) = delete;
    ThreadRegistration &operator=(const ThreadRegistration &) = delete;
};

//! Read-side critical section; never blocks.
class ReadGuard
{
public:
    ReadGuard();
    ~ReadGuard();
    ReadGuard(const ReadGuard &) = delete;
    ReadGuard &operator=(const ReadGuard &) = delete;
};

//! Waits until all readers that started before have left.
void waitForReaders();
} // namespace rcu

//! Holds an immutable snapshot: many readers without locks, writers that replace it whole.
//! Threads that read must hold a rcu::ThreadRegistration; writers must be serialised by the owner.
template<typename T>
class RcuCell
{
public:
    explicit RcuCell(std::shared_ptr<const T> first)
        : m_current(new std::shared_ptr<const T>(std::move(first)))
    {
    }
    ~RcuCell()
    {
        delete m_current.load(std::memory_order_acquire);
    }
    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    //! The snapshot in force; it stays valid while the pointer is held. Lock free.
    std::shared_ptr<const T> read() const
    {
        const rcu::ReadGuard guard;
        return *m_current.load(std::memory_order_acquire);
    }

    //! Replaces the snapshot and waits until no reader can see the holder of the old one.
    //! Precondition: not called inside a read-side critical section, and by one thread at a time.
    void publish(std::shared_ptr<const T> next)
    {
        auto *old = m_current.exchange(new std::shared_ptr<const T>(std::move(next)), std::memory_order_acq_rel);
        rcu::waitForReaders();
        delete old;
    }

private:
    std::atomic<std::shared_ptr<const T> *> m_current;
};

} // namespace chervilpaddle
