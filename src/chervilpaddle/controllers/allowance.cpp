#include <chervilpaddle/controllers/allowance.h>

#include <algorithm>
#include <utility>

namespace chervilpaddle {

Allowance::Allowance(int granted)
    : m_held(std::max(0, granted))
{
}

int Allowance::held() const
{
    return m_held;
}

int Allowance::spent() const
{
    return m_spent;
}

bool Allowance::spend()
{
    if (m_held == 0) {
        return false;
    }
    --m_held;
    ++m_spent;
    return true;
}

int Allowance::lend()
{
    const int part = (m_held + 1) / 2;
    m_held -= part;
    return part;
}

void Allowance::takeBack(int unspent, int lent)
{
    m_held += std::clamp(unspent, 0, lent);
}

int Allowance::release()
{
    return std::exchange(m_held, 0);
}

} // namespace chervilpaddle
