#pragma once

#include <memory>
#include <string>

namespace chervilpaddle {

class MeshCore;
class NodeCore;

//! The node's metrics in Prometheus' text format. Filled from the controllers' counters when asked for, so that
//! nothing is counted twice and a request's path takes no lock for them.
class NodeMetrics
{
public:
    NodeMetrics();
    ~NodeMetrics();
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    //! On the core thread.
    std::string scrape(const NodeCore &core);
    //! The same of a node that serves plain HTTP. On its thread.
    std::string scrape(const MeshCore &core);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace chervilpaddle
