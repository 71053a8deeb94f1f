#pragma once

#include <chervilpaddle/transport/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace chervilpaddle::standins {

//! A small stand-in for the users' metadata store: ranges and watches over HTTP, with faults to bring about. One thread.
class StandinStore
{
public:
    StandinStore(boost::asio::io_context &context, const Endpoint &address);

    std::error_code listen();
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    //! While down, nothing is answered well and watches are cut.
    void setDown(bool isDown);
    //! Drops the history: watches that begin before now are told so.
    void forgetHistory();

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

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void handleRange(HttpExchange &exchange, const std::string &query);
    void handleWatch(const std::shared_ptr<HttpExchange> &exchange, const std::string &query);
    //! The changes below a prefix after a revision as an answer; empty where there are none.
    std::string changesAfter(const std::string &prefix, std::uint64_t after, bool isEmptyWanted) const;
    void note(Change change);

    boost::asio::io_context &m_context;
    HttpServer m_server;
    std::map<std::string, Item> m_items;
    std::list<Change> m_history;
    std::list<Watcher> m_watchers;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldestKnown = 0;
    bool m_isDown = false;
};

} // namespace chervilpaddle::standins
