#pragma once

#include <chervilpaddle/base/problem.h>
#include <chervilpaddle/mesh/platformprotocol.h>
#include <chervilpaddle/node/nodesettings.h>

#include <functional>
#include <memory>
#include <optional>
#include <system_error>
#include <vector>

namespace chervilpaddle {

//! A node that serves plain HTTP calls. Runs on a single thread: the target machines have a fraction of a core, and every
//! hand-over between threads costs a wake-up. Not thread-safe.
class MeshNode
{
public:
    //! Reads the settings again on SIGHUP; returns nothing if they are invalid, and adds what is wrong with them to `problems`.
    using Reload = std::function<std::optional<NodeSettings>(std::vector<Problem> &problems)>;

    MeshNode(const NodeSettings &settings, PlatformProtocol protocol, Reload reload);
    ~MeshNode();
    MeshNode(const MeshNode &) = delete;
    MeshNode &operator=(const MeshNode &) = delete;

    //! Serves until SIGTERM or SIGINT has led to a graceful shutdown. Errors: AddressInUse.
    std::error_code run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace chervilpaddle
