#pragma once

#include <string>

namespace chervilpaddle {

class NodeCore;

//! The state on which the node bases its decisions, as JSON. Call on the core thread.
std::string stateDump(const NodeCore &core);

} // namespace chervilpaddle
