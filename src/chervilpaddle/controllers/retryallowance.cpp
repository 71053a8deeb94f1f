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
    const int part = (m_remaining + 1) / 2;
    m_remaining -= part;
    return part;
}

void RetryAllowance::reclaim(int unspent, int lent)
{
    m_remaining += std::clamp(unspent, 0, lent);
}

int RetryAllowance::release()
{
    return std::exchange(m_remaining, 0);
}

} // namespace chervilpaddle
