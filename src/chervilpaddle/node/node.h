#pragma once

#include <chervilpaddle/node/nodesettings.h>

#include <memory>
#include <system_error>

namespace chervilpaddle {

//! A node that serves calls under contracts: its threads, listeners and signal handling.
class Node
{
public:
    explicit Node(const NodeSettings &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    //! Runs until SIGTERM or SIGINT has led to a graceful shutdown. Errors: AddressInUse.
    std::error_code run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace chervilpaddle
