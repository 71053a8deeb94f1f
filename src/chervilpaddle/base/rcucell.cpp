#include <chervilpaddle/base/rcucell.h>

#include <urcu/urcu-memb.h>

// ThreadSanitizer does not recognise liburcu's memory barriers, so the ordering that they establish is annotated here.
#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void *);
extern "C" void __tsan_release(void *);
#endif

namespace chervilpaddle::rcu {

namespace {
#if defined(__SANITIZE_THREAD__)
char readerSync;
void annotateReadEnd()
{
    __tsan_release(&readerSync);
}
void annotateGracePeriod()
{
    __tsan_acquire(&readerSync);
}
#else
void annotateReadEnd()
{
}
void annotateGracePeriod()
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
    annotateReadEnd();
    urcu_memb_read_unlock();
}

void waitForGracePeriod()
{
    urcu_memb_synchronize_rcu();
    annotateGracePeriod();
}

} // namespace chervilpaddle::rcu
