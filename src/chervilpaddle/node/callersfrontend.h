#pragma once

#include <chervilpaddle/filters/entryfilters.h>
#include <chervilpaddle/node/nodecore.h>
#include <chervilpaddle/transport/httpserver.h>

#include <memory>

namespace chervilpaddle {

//! Serves external callers: parses a request, runs the entry filters on the connection's thread, and passes accepted
//! requests on to the core thread.
class CallersFrontend
{
public:
    CallersFrontend(boost::asio::io_context &coreContext, NodeCore &core, EventLog &log);

    //! Thread-safe.
    void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    EntryRequest parse(HttpExchange &exchange) const;
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const EntryRequest &request, ResultCode code);
    void offerTicket(const std::shared_ptr<HttpExchange> &exchange, const EntryRequest &request);
    void submit(const std::shared_ptr<HttpExchange> &exchange, const std::shared_ptr<EntryRequest> &request);

    boost::asio::io_context &m_coreContext;
    NodeCore &m_core;
    EventLog &m_log;
    FilterChain m_chain;
    std::string m_requestPrefix;
    std::atomic<std::uint64_t> m_lastRequest{0};
};

//! Serves the outbound calls of the backend server beside the node.
class EgressFrontend
{
public:
    EgressFrontend(boost::asio::io_context &coreContext, NodeCore &core);

    void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    boost::asio::io_context &m_coreContext;
    NodeCore &m_core;
};

} // namespace chervilpaddle
