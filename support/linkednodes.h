#pragma once

#include "virtualtime.h"

#include <chervilpaddle/controllers/executor.h>
#include <chervilpaddle/controllers/linkcontroller.h>
#include <chervilpaddle/controllers/router.h>

#include <array>
#include <map>
#include <memory>
#include <set>

namespace chervilpaddle::support {

//! A call made by a node, and what became of it.
struct TracedCall
{
    std::size_t caller = 0;
    bool isIdempotent = false;
    TimePoint madeAt;
    int starts = 0;
    std::vector<ResultCode> results;
    //! The process that made the call was killed before the call ended.
    bool isCallerKilled = false;
};

//! Nodes of one service that call each other over connections in virtual time. Each has links, a router, an executor and a backend
//! server. Frames arrive in order; those that cross the close of a connection are dropped, as WebSocket endpoints do.
class LinkedNodes
{
public:
    LinkedNodes(VirtualTime &time, std::size_t nodes, std::uint64_t seed);
    ~LinkedNodes();

    void call(std::size_t caller, bool isIdempotent);
    //! Suspends the process of a node. Afterwards it runs its timers either before or after what has arrived.
    void pause(std::size_t node, Duration length);
    //! Holds all frames between two nodes; they arrive after the partition.
    void partition(std::size_t a, std::size_t b, Duration length);
    //! Resets all connections between two nodes.
    void reset(std::size_t a, std::size_t b);
    //! Ends the process of a node and starts another at the same address after a delay.
    void restart(std::size_t node, Duration delay);
    //! Publishes that a node has left, or that it is back.
    void setPublished(std::size_t node, bool isPublished);

    const std::vector<TracedCall> &calls() const;
    Executor &executor(std::size_t node);
    Router &router(std::size_t node);
    LinkController &links(std::size_t node);

private:
    enum class Source {
        Timer,
        Socket,
    };
    struct Node;
    struct Connection;

    std::shared_ptr<Node> makeNode(std::size_t index);
    void publish();
    void onNode(const std::shared_ptr<Node> &node, Duration delay, Source source, std::function<void()> action);
    void repeat(const std::shared_ptr<Node> &node, Duration period, std::function<void()> action);
    ConnectionId dial(const std::shared_ptr<Node> &from, std::size_t to);
    Duration transitTime(const Connection &connection, std::size_t side);
    void transmit(const std::shared_ptr<Connection> &connection, std::size_t side, std::function<void()> action);
    void send(const std::shared_ptr<Node> &from, ConnectionId id, const PeerMessage &message);
    void close(const std::shared_ptr<Node> &node, ConnectionId id);
    void end(const std::shared_ptr<Connection> &connection, std::size_t side);
    void resetConnections(const std::function<bool(const Connection &)> &isReset);
    void receive(Node &node, PeerEvent event);
    bool sendToInstance(const std::shared_ptr<Node> &from, const InstanceId &to, const PeerMessage &message);
    void startRun(const std::shared_ptr<Node> &node, const Run &run);
    void endRun(const std::shared_ptr<Node> &node, RunId run, ResultCode code, Duration delay);
    bool isPartitioned(std::size_t a, std::size_t b) const;

    VirtualTime &m_time;
    RandomSource m_random;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastIncarnation = 100;
    std::vector<std::shared_ptr<Node>> m_nodes;
    std::set<std::size_t> m_unpublished;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_partitionedUntil;
    std::map<ConnectionId, std::pair<std::shared_ptr<Connection>, std::size_t>> m_connections;
    std::vector<TracedCall> m_calls;
};

} // namespace chervilpaddle::support
