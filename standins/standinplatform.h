#pragma once

#include <chervilpaddle/transport/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace chervilpaddle::standins {

//! A small stand-in for the platform's service: values that can be read and watched, and faults to bring about.
//! One thread.
class StandinPlatform
{
public:
    StandinPlatform(boost::asio::io_context &context, const Endpoint &address);

    std::error_code listen();
    //! Publishes the contracts of a directory under the next revision. False where the directory cannot be read.
    bool publishContracts(const std::string &directory);
    //! Publishes an instance list (JSON without revision) under the next revision.
    bool publishInstances(const std::string &document);

private:
    enum class Fault {
        None,
        Down, //!< Nothing is answered well.
        Stale, //!< Answers as of the moment when the fault began; watches hear nothing.
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
    void tellWatchers();
    const Documents &visible() const;
    static void respond(HttpExchange &exchange, int status, const std::string &body);

    boost::asio::io_context &m_context;
    HttpServer m_server;
    Documents m_documents;
    Documents m_frozen;
    Fault m_fault = Fault::None;
    std::list<Watcher> m_watchers;
    std::uint64_t m_reads = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_manifestRevision = 0;
    std::uint64_t m_instancesRevision = 0;
};

} // namespace chervilpaddle::standins
