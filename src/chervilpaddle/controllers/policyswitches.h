#pragma once

namespace chervilpaddle {

//! Turns single mechanisms off, for measurements and tests only; operators have no access to it.
struct PolicySwitches
{
    bool priorityOrder = true;
    bool price = true;
    bool allowance = true;
    //! Deadlines are passed on, work that cannot meet its own is dropped, and cancellation ends work below.
    bool deadlineEnforcement = true;
    //! With the allowance off: attempts at each hop.
    int attemptsPerHop = 3;
    //! With the allowance off: repeats as a share of first attempts at each hop; zero for no limit.
    double hopRetryBudget = 0;
    //! Whether the executor holds work back at its backend server's slots.
    bool slots = true;
};

//! The whole design.
PolicySwitches fullPolicy();
//! No layer: calls go straight through, three tries a hop.
PolicySwitches passThroughPolicy();
//! What is commonly deployed: a fixed concurrency limit, a first-in-first-out queue, a retry budget of 10 % a hop.
PolicySwitches conventionalPolicy();

} // namespace chervilpaddle
