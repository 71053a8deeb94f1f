#include <chervilpaddle/controllers/retryallowance.h>

#include <algorithm>
#include <utility>

namespace chervilpaddle {

RetryAllowance::RetryAllowance(int granted)
    : m_held(std::max(0, granted))
{
}

int RetryAllowance::held() const
{
    return m_held;
}

int RetryAllowance::spent() const
{
    return m_spent;
}

bool RetryAllowance::spend()
{
    if (m_held == 0) {
        return false;
    }
    --m_held;
    ++m_spent;
    return true;
}

int RetryAllowance::lend()
{
    const int part = (m_held + 1) / 2;
    m_held -= part;
    return part;
}

void RetryAllowance::takeBack(int unspent, int lent)
{
    m_held += std::clamp(unspent, 0, lent);
}

int RetryAllowance::release()
{
    return std::exchange(m_held, 0);
}

} // namespace chervilpaddle
