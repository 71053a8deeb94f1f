#pragma once

namespace chervilpaddle {

//! The repeats that one call may still spend. Moved between calls, never copied: what is lent is not held,
//! and a lent part that never comes back counts as spent. Over a whole call tree, spent + held + lent never
//! passes what the entry node granted. Not thread safe.
class RetryAllowance
{
public:
    explicit RetryAllowance(int granted);

    int remaining() const;
    int spent() const;

    //! Takes one repeat to spend it here. False where none is held.
    bool spend();
    //! Moves half of what is held, rounded up, to a child call and returns that part.
    int delegate();
    //! Takes back the unspent part of a loan. What exceeds the loan is ignored: it cannot be true.
    void reclaim(int unspent, int lent);
    //! Gives up all that is held, for handing it back to the lender.
    int release();

private:
    int m_remaining;
    int m_spent = 0;
};

} // namespace chervilpaddle
