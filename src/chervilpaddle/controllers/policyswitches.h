#pragma once

namespace chervilpaddle {

//! Disables single mechanisms for measurements and tests. Not a setting for production use.
struct PolicySwitches
{
    bool priorityOrder = true;
    bool price = true;
    bool retryAllowance = true;
    //! Passes deadlines on to downstream calls, drops calls that cannot meet theirs, and cancels downstream work.
    bool deadlineEnforcement = true;
    //! Attempts at each hop without the retry allowance.
    int attemptsPerHop = 3;
    //! Retries as a share of first attempts at each hop without the retry allowance; zero for no limit.
    double hopRetryBudget = 0;
    //! Whether the executor limits concurrent calls to the slots of its backend server.
    bool concurrencyLimit = true;
};

//! All mechanisms enabled.
PolicySwitches fullPolicy();
//! Baseline without overload control: calls pass straight through, with three attempts at each hop.
PolicySwitches passThroughPolicy();
//! Baseline with a conventional set-up: a fixed concurrency limit, a FIFO queue and a retry budget of 10 % at each hop.
PolicySwitches conventionalPolicy();

} // namespace chervilpaddle
