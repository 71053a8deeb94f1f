#pragma once

#include <string_view>

namespace chervilpaddle {

//! Finds obsolete line folding in the head of a message (RFC 9112, 5.2): a line that begins with a blank or a tab and that a parser
//! joins to the field before it. Not thread-safe.
class FoldedLineDetector
{
public:
    //! Examines the next bytes of a message; those behind its head are ignored. Returns whether its head has a folded line so far.
    bool examine(std::string_view bytes);

private:
    char m_previous = 0;
    //! Number of bytes of the current line, without its end.
    std::size_t m_lineLength = 0;
    bool m_isFirstLine = true;
    bool m_isHeadComplete = false;
    bool m_isFolded = false;
};

} // namespace chervilpaddle
