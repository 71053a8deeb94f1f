#pragma once

#include <string>
#include <vector>

namespace chervilpaddle::standins {

//! Compares what callers were told with what the backend servers started.
struct JudgeArguments
{
    //! Records of backend servers, as their /record gives them.
    std::vector<std::string> records;
    //! How each request ended, as `chervilpaddle load --requests` writes it.
    std::string requests;
    //! Operations that must start at most once for each request.
    std::vector<std::string> once;
    //! Most starts of one request's operation that are allowed elsewhere; zero for no limit.
    int mostStarts = 0;
};

//! Prints what is broken; the exit status is 0 where nothing is.
int judge(const JudgeArguments &arguments);

} // namespace chervilpaddle::standins
