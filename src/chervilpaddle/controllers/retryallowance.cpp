#include <chervilpaddle/controllers/retryallowance.h>

#include <algorithm>
#include <utility>

namespace chervilpaddle {

RetryAllowance::RetryAllowance(int granted)
    : m_remaining(std::max(0, granted))
{
}

int RetryAllowance::remaining() const
{
    return m_remaining;
}

int RetryAllowance::spent() const
{
    return m_spent;
}

bool RetryAllowance::spend()
{
    if (m_remaining == 0) {
        return false;
    }
    --m_remaining;
    ++m_spent;
    return true;
}

int RetryAllowance::delegate()
{
    const int share = (m_remaining + 1) / 2;
    m_remaining -= share;
    return share;
}

void RetryAllowance::reclaim(int unspent, int delegated)
{
    m_remaining += std::clamp(unspent, 0, delegated);
}

int RetryAllowance::release()
{
    return std::exchange(m_remaining, 0);
}

} // namespace chervilpaddle
