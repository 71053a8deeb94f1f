#pragma once

namespace chervilpaddle {

//! The number of retries that a call may still cause in its call tree. Shares are moved to child calls, never copied, and a
//! delegated share that is not returned counts as spent. So the retries spent, remaining and delegated over a whole call tree
//! never exceed what the entry node granted. Not thread-safe.
class RetryAllowance
{
public:
    explicit RetryAllowance(int granted);

    int remaining() const;
    int spent() const;

    //! Takes one retry. Returns false if none remains.
    bool spend();
    //! Removes half of the remaining retries, rounded up, and returns that share for a child call.
    int delegate();
    //! Adds back the unspent part of a delegated share. Clamped to the share, since a peer cannot return more than it received.
    void reclaim(int unspent, int delegated);
    //! Removes and returns all remaining retries, to return them to the parent call.
    int release();

private:
    int m_remaining;
    int m_spent = 0;
};

} // namespace chervilpaddle
