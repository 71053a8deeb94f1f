#pragma once

#include <chervilpaddle/transport/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace chervilpaddle::standins {

//! A stand-in for the users' metadata store: range reads and watches over HTTP, and faults on request. Single-threaded.
class StandinStore
{
public:
    StandinStore(boost::asio::io_context &context, const Endpoint &address);

    std::error_code listen();
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    //! While down, every request fails with status 503. Open watches fail at once.
    void setDown(bool isDown);
    //! Discards the change history. Watches from an older revision get status 410.
    void discardHistory();
    //! Keeps a copy of the items and of their history.
    void copy();
    //! Goes back to the latest copy: what was written since is lost, revisions are given out again, and the era rises by one. Open
    //! watches fail. Precondition: there is a copy.
    void restore();
    //! The number of requests that have arrived.
    std::uint64_t requestCount() const;

private:
    struct Change
    {
        std::uint64_t revision = 0;
        std::string key;
        std::string value;
        bool isRemoved = false;
    };
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct Watcher
    {
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    //! All that a copy holds.
    struct State
    {
        std::map<std::string, Item> items;
        std::list<Change> history;
        std::uint64_t revision = 1;
        std::uint64_t oldestRevision = 0;
    };

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void handleRange(HttpExchange &exchange, const std::string &query);
    void handleWatch(const std::shared_ptr<HttpExchange> &exchange, const std::string &query);
    //! The response body with the changes below a prefix after a revision. If there are none, it is empty unless
    //! `includesEmpty` is set.
    std::string changesAfter(const std::string &prefix, std::uint64_t after, bool includesEmpty) const;
    void recordChange(Change change);
    void failWatchers();
    //! Responds with a JSON document and the header fields of all responses.
    void respond(HttpExchange &exchange, int status, std::string body) const;

    boost::asio::io_context &m_context;
    HttpServer m_server;
    State m_state;
    State m_copy;
    std::list<Watcher> m_watchers;
    std::uint64_t m_era = 1;
    std::uint64_t m_requestCount = 0;
    bool m_isDown = false;
};

} // namespace chervilpaddle::standins
