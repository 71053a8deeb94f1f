#include <chervilpaddle/base/rcucell.h>

#include <urcu/urcu-memb.h>

// ThreadSanitizer cannot see liburcu's barriers, so the order that they give is told to it here.
#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void *);
extern "C" void __tsan_release(void *);
#endif

namespace chervilpaddle::rcu {

namespace {
#if defined(__SANITIZE_THREAD__)
char readersLeft;
void noteReaderLeft()
{
    __tsan_release(&readersLeft);
}
void noteGracePeriod()
{
    __tsan_acquire(&readersLeft);
}
#else
void noteReaderLeft()
{
}
void noteGracePeriod()
{
}
#endif
} // namespace

ThreadRegistration::ThreadRegistration()
{
    urcu_memb_register_thread();
}

ThreadRegistration::~ThreadRegistration()
{
    urcu_memb_unregister_thread();
}

ReadGuard::ReadGuard()
{
    urcu_memb_read_lock();
}

ReadGuard::~ReadGuard()
{
    noteReaderLeft();
    urcu_memb_read_unlock();
}

void waitForReaders()
{
    urcu_memb_synchronize_rcu();
    noteGracePeriod();
}

} // namespace chervilpaddle::rcu
