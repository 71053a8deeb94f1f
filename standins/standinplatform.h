#pragma once

#include <chervilpaddle/transport/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace chervilpaddle::standins {

//! A stand-in for the platform's configuration service: reads, watches and faults on request. Single-threaded.
class StandinPlatform
{
public:
    StandinPlatform(boost::asio::io_context &context, const Endpoint &address);

    std::error_code listen();
    //! Publishes the contracts of a directory under the next revision. Returns false if no contract can be read.
    bool publishContracts(const std::string &directory);
    //! Publishes an instance list (JSON without revision) under the next revision.
    bool publishInstances(const std::string &document);

private:
    enum class Fault {
        None,
        Down, //!< Every read and watch fails with status 503.
        Stale, //!< Reads and new watches get the documents from the start of the fault; open watches get no changes.
    };
    struct Document
    {
        std::uint64_t revision = 0;
        std::string text;
    };
    struct Watcher
    {
        std::string key;
        std::uint64_t after = 0;
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    using Documents = std::map<std::string, Document>;

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void handleValue(const std::shared_ptr<HttpExchange> &exchange, const std::string &key);
    void handleWatch(const std::shared_ptr<HttpExchange> &exchange, const std::string &query);
    void handleControl(const std::shared_ptr<HttpExchange> &exchange, const std::string &action);
    void put(const std::string &key, std::uint64_t revision, const std::string &text);
    void notifyWatchers();
    const Documents &servedDocuments() const;
    static void respond(HttpExchange &exchange, int status, const std::string &body);

    boost::asio::io_context &m_context;
    HttpServer m_server;
    Documents m_documents;
    Documents m_staleDocuments;
    Fault m_fault = Fault::None;
    std::list<Watcher> m_watchers;
    std::uint64_t m_reads = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_manifestRevision = 0;
    std::uint64_t m_instancesRevision = 0;
};

} // namespace chervilpaddle::standins
