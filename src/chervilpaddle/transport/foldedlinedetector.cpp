#include <chervilpaddle/transport/foldedlinedetector.h>

namespace chervilpaddle {

bool FoldedLineDetector::examine(std::string_view bytes)
{
    for (const char c : bytes) {
        if (m_isHeadComplete || m_isFolded) {
            break;
        }
        if (c == '\n' && m_previous == '\r') {
            m_isHeadComplete = !m_isFirstLine && m_lineLength == 0;
            m_isFirstLine = false;
            m_lineLength = 0;
        } else if (c != '\r') {
            m_isFolded = !m_isFirstLine && m_lineLength == 0 && (c == ' ' || c == '\t');
            ++m_lineLength;
        }
        m_previous = c;
    }
    return m_isFolded;
}

} // namespace chervilpaddle
