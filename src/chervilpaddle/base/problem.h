#pragma once

#include <chervilpaddle/base/resultcode.h>

#include <string>

namespace chervilpaddle {

//! One fault found in a text that an operator wrote: where, what and why.
struct Problem
{
    ResultCode code = ResultCode::Success;
    std::string file;
    int line = 0;
    std::string key;
    std::string reason;
};

//! "FILE:LINE: key 'KEY': REASON (code NUMBER)", on one line.
std::string toText(const Problem &problem);

} // namespace chervilpaddle
