#include "standinstore.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace chervilpaddle::standins {

namespace {

constexpr std::size_t maximumBodyBytes = 64 * kibibyte;
//! Small, so that readers have to request several pages.
constexpr std::size_t maximumPageItems = 4;
constexpr std::size_t base64GroupLength = 4;

std::string base64(const std::string &bytes)
{
    using namespace boost::archive::iterators;
    using Encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(Encoder(bytes.cbegin()), Encoder(bytes.cend()));
    text.append((base64GroupLength - text.size() % base64GroupLength) % base64GroupLength, '=');
    return text;
}

//! Does not decode percent-encoding, as the keys of the tests need none.
std::string queryValue(const std::string &query, const std::string &name)
{
    const auto position = query.find(name + "=");
    if (position == std::string::npos) {
        return {};
    }
    const auto begin = position + name.size() + 1;
    return query.substr(begin, query.find('&', begin) - begin);
}

std::uint64_t queryNumber(const std::string &query, const std::string &name)
{
    return std::strtoull(queryValue(query, name).c_str(), nullptr, 10);
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.rfind(prefix, 0) == 0;
}

nlohmann::json itemOf(const std::string &key, const std::string &value, std::uint64_t revision)
{
    return {{"key", key}, {"value", base64(value)}, {"revision", revision}, {"created", revision}, {"lease", 0}};
}

} // namespace

StandinStore::StandinStore(boost::asio::io_context &context, const Endpoint &address)
    : m_context(context)
    , m_server({&context}, {address, maximumBodyBytes}, [this](auto exchange) { handle(exchange); })
{
}

std::error_code StandinStore::listen()
{
    return m_server.listen();
}

void StandinStore::put(const std::string &key, const std::string &value)
{
    m_state.items[key] = {value, ++m_state.revision};
    recordChange({m_state.revision, key, value, false});
}

void StandinStore::remove(const std::string &key)
{
    m_state.items.erase(key);
    recordChange({++m_state.revision, key, {}, true});
}

void StandinStore::setDown(bool isDown)
{
    m_isDown = isDown;
    if (isDown) {
        failWatchers();
    }
}

void StandinStore::copy()
{
    m_copy = m_state;
}

void StandinStore::restore()
{
    m_state = m_copy;
    ++m_era;
    failWatchers();
}

std::uint64_t StandinStore::requestCount() const
{
    return m_requestCount;
}

void StandinStore::respond(HttpExchange &exchange, int status, std::string body) const
{
    HttpResponse response = textResponse(status, "application/json", std::move(body));
    response.headers.add("Store-Era", std::to_string(m_era));
    exchange.respond(std::move(response));
}

void StandinStore::failWatchers()
{
    for (const Watcher &watcher : m_watchers) {
        watcher.timer->cancel();
        respond(*watcher.exchange, 503, "{}");
    }
    m_watchers.clear();
}

void StandinStore::discardHistory()
{
    m_state.history.clear();
    m_state.oldestRevision = m_state.revision;
}

void StandinStore::recordChange(Change change)
{
    m_state.history.push_back(std::move(change));
    for (auto watcher = m_watchers.begin(); watcher != m_watchers.end();) {
        const std::string changes = changesAfter(watcher->prefix, watcher->after, false);
        if (changes.empty()) {
            ++watcher;
            continue;
        }
        watcher->timer->cancel();
        respond(*watcher->exchange, 200, changes);
        watcher = m_watchers.erase(watcher);
    }
}

void StandinStore::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    ++m_requestCount;
    const std::string target = exchange->request().target;
    const std::string query = target.substr(target.find('?') + 1);
    if (m_isDown) {
        respond(*exchange, 503, "{}");
    } else if (startsWith(target, "/kv-range?")) {
        handleRange(*exchange, query);
    } else if (startsWith(target, "/kv-watch?")) {
        handleWatch(exchange, query);
    } else {
        respond(*exchange, 404, "{}");
    }
}

void StandinStore::handleRange(HttpExchange &exchange, const std::string &query)
{
    const std::string prefix = queryValue(query, "prefix");
    const std::string after = queryValue(query, "after");
    nlohmann::json items = nlohmann::json::array();
    bool hasMore = false;
    for (auto item = m_state.items.lower_bound(prefix); item != m_state.items.end() && startsWith(item->first, prefix); ++item) {
        if (item->first <= after) {
            continue;
        }
        if (items.size() == maximumPageItems) {
            hasMore = true;
            break;
        }
        items.push_back(itemOf(item->first, item->second.value, item->second.revision));
    }
    const nlohmann::json page = {{"items", std::move(items)}, {"has_more", hasMore}, {"store_revision", m_state.revision}};
    respond(exchange, 200, page.dump());
}

void StandinStore::handleWatch(const std::shared_ptr<HttpExchange> &exchange, const std::string &query)
{
    const std::string prefix = queryValue(query, "prefix");
    const std::uint64_t after = queryNumber(query, "after");
    if (after < m_state.oldestRevision || after > m_state.revision) {
        respond(*exchange, 410, "{}");
        return;
    }
    if (const std::string changes = changesAfter(prefix, after, false); !changes.empty()) {
        respond(*exchange, 200, changes);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(queryNumber(query, "wait_ms")));
    const auto watcher = m_watchers.insert(m_watchers.end(), {prefix, after, exchange, timer});
    timer->async_wait([this, watcher](const boost::system::error_code &error) {
        if (!error) {
            respond(*watcher->exchange, 200, changesAfter(watcher->prefix, watcher->after, true));
            m_watchers.erase(watcher);
        }
    });
}

std::string StandinStore::changesAfter(const std::string &prefix, std::uint64_t after, bool includesEmpty) const
{
    nlohmann::json events = nlohmann::json::array();
    for (const Change &change : m_state.history) {
        if (change.revision <= after || !startsWith(change.key, prefix)) {
            continue;
        }
        events.push_back(change.isRemoved ? nlohmann::json{{"key", change.key}, {"revision", change.revision}, {"deleted", true}}
                                          : itemOf(change.key, change.value, change.revision));
    }
    if (events.empty() && !includesEmpty) {
        return {};
    }
    const nlohmann::json changes = {{"events", std::move(events)}, {"store_revision", m_state.revision}};
    return changes.dump();
}

} // namespace chervilpaddle::standins
