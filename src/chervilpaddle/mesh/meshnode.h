#pragma once

#include <chervilpaddle/mesh/platformprotocol.h>
#include <chervilpaddle/node/nodesettings.h>

#include <memory>
#include <system_error>

namespace chervilpaddle {

//! A process that serves plain HTTP calls. All of it runs on one thread: the machines that it is meant for have a
//! part of a core, and every hand-over between threads costs a wake-up. Not thread safe.
class MeshNode
{
public:
    //! `reload` reads the settings again when the process is told that they have changed; it returns nothing, after
    //! saying why, where they do not check.
    using Reload = std::function<std::optional<NodeSettings>()>;

    MeshNode(const NodeSettings &settings, PlatformProtocol protocol, Reload reload);
    ~MeshNode();
    MeshNode(const MeshNode &) = delete;
    MeshNode &operator=(const MeshNode &) = delete;

    //! Serves until the process is told to stop. Errors: AddressInUse.
    std::error_code run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace chervilpaddle
