#pragma once

#include <string>

namespace chervilpaddle {

class NodeCore;

//! Everything that the node decides from, as JSON. On the core thread.
std::string stateDump(const NodeCore &core);

} // namespace chervilpaddle
