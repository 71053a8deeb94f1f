#pragma once

#include <memory>
#include <string>

namespace chervilpaddle {

class MeshCore;
class NodeCore;

//! Exports a node's metrics in the Prometheus text format. The values are read from the controllers' counters at scrape
//! time, so that nothing is counted twice and requests take no lock for metrics.
class NodeMetrics
{
public:
    NodeMetrics();
    ~NodeMetrics();
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    //! Exports the metrics of a node that serves calls under contracts. Call on the core thread.
    std::string scrape(const NodeCore &core);
    //! Exports the metrics of a node that serves plain HTTP. Call on the core thread.
    std::string scrape(const MeshCore &core);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace chervilpaddle
