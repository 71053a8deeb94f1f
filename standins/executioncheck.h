#pragma once

#include <string>
#include <vector>

namespace chervilpaddle::standins {

//! Input of the check that the outcomes reported to callers agree with the runs that the backend servers started.
struct ExecutionCheckArguments
{
    //! Files with the records of the backend servers, as returned by their /record.
    std::vector<std::string> records;
    //! File with the outcome of each request, as written by `chervilpaddle load --requests`.
    std::string requests;
    //! Operations that may start at most once for each request.
    std::vector<std::string> once;
    //! Maximum number of starts of any operation for one request. Zero means no limit.
    int maximumStarts = 0;
};

//! Prints every violation. Returns the exit status: 0 if there is none, else 1.
int checkExecution(const ExecutionCheckArguments &arguments);

} // namespace chervilpaddle::standins
