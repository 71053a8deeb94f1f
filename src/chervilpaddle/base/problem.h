#pragma once

#include <chervilpaddle/base/resultcode.h>

#include <string>

namespace chervilpaddle {

//! Error in a text written by an operator, with its location and reason.
struct Problem
{
    ResultCode code = ResultCode::Success;
    std::string file;
    int line = 0;
    std::string key;
    std::string reason;
};

//! Formats a problem on one line as "FILE:LINE: key 'KEY': REASON (code NUMBER)".
std::string toText(const Problem &problem);

} // namespace chervilpaddle
