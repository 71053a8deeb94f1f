#pragma once

#include <chervilpaddle/base/units.h>

#include <cstddef>

namespace chervilpaddle {

//! What a process may use of its machine.
struct MachineResources
{
    std::size_t memoryBytes = 160 * mebibyte;
    std::size_t descriptors = 4100;
};

//! How a node divides its machine's resources among what clients and peers make it hold. Heads of requests that are arriving are not
//! part of it; docs/OPERATIONS.md lists what is.
struct ResourceBudget
{
    //! Bodies of requests, from their first byte until the response; for each of the servers.
    std::size_t requestBytes = 0;
    //! Bodies of responses of backend servers, from their first byte until they have been sent.
    std::size_t responseBytes = 0;
    //! Connections of callers and of the backend server beside the node.
    std::size_t callerConnections = 0;
    //! Connections to each of the ports for readiness and for operators.
    std::size_t operatorConnections = 0;
    //! Connections to the port for peers whose other end has not said which peer it is.
    std::size_t unidentifiedPeerConnections = 0;
};

//! Thread-safe.
ResourceBudget divideResources(const MachineResources &machine);

} // namespace chervilpaddle
