#include "standinplatform.h"

#include <chervilpaddle/base/inidocument.h>
#include <chervilpaddle/base/units.h>
#include <chervilpaddle/contract/manifestdocument.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace chervilpaddle::standins {

namespace {

constexpr std::size_t maximumControlBodyBytes = 4 * mebibyte;
const std::string valuePrefix = "/v1/values/";
const std::string watchPrefix = "/v1/watch/";
const std::string controlPrefix = "/control/";

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.rfind(prefix, 0) == 0;
}

std::uint64_t queryNumber(const std::string &query, const std::string &name)
{
    const auto position = query.find(name + "=");
    return position == std::string::npos ? 0 : std::strtoull(query.c_str() + position + name.size() + 1, nullptr, 10);
}

} // namespace

StandinPlatform::StandinPlatform(boost::asio::io_context &context, const Endpoint &address)
    : m_context(context)
    , m_server({&context}, {address, maximumControlBodyBytes}, [this](auto exchange) { handle(exchange); })
{
}

std::error_code StandinPlatform::listen()
{
    return m_server.listen();
}

bool StandinPlatform::publishContracts(const std::string &directory)
{
    std::vector<Problem> problems;
    ContractBundle bundle = loadBundle(directory, problems);
    if (bundle.manifest.contractDigests.empty()) {
        return false;
    }
    ++m_manifestRevision;
    bundle.manifest.revision = Revision(m_manifestRevision);
    for (const auto &[customer, text] : bundle.texts) {
        put("contracts/" + customer.value(), m_manifestRevision, text);
    }
    put("manifest", m_manifestRevision, formatManifest(bundle.manifest));
    notifyWatchers();
    return true;
}

bool StandinPlatform::publishInstances(const std::string &document)
{
    auto list = nlohmann::json::parse(document, nullptr, false);
    if (!list.is_object()) {
        return false;
    }
    list["revision"] = ++m_instancesRevision;
    put("instances", m_instancesRevision, list.dump());
    notifyWatchers();
    return true;
}

void StandinPlatform::put(const std::string &key, std::uint64_t revision, const std::string &text)
{
    m_documents[key] = {revision, text};
}

const StandinPlatform::Documents &StandinPlatform::servedDocuments() const
{
    return m_fault == Fault::Stale ? m_staleDocuments : m_documents;
}

void StandinPlatform::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string target = exchange->request().target;
    if (startsWith(target, controlPrefix)) {
        handleControl(exchange, target.substr(controlPrefix.size()));
    } else if (m_fault == Fault::Down) {
        respond(*exchange, 503, "down");
    } else if (startsWith(target, valuePrefix)) {
        ++m_reads;
        handleValue(exchange, target.substr(valuePrefix.size()));
    } else if (startsWith(target, watchPrefix)) {
        ++m_watches;
        handleWatch(exchange, target.substr(watchPrefix.size()));
    } else {
        respond(*exchange, 404, "not found");
    }
}

void StandinPlatform::handleValue(const std::shared_ptr<HttpExchange> &exchange, const std::string &key)
{
    const auto document = servedDocuments().find(key);
    if (document == servedDocuments().end()) {
        respond(*exchange, 404, "no such key");
        return;
    }
    respond(*exchange, 200, document->second.text);
}

void StandinPlatform::handleWatch(const std::shared_ptr<HttpExchange> &exchange, const std::string &query)
{
    const std::string key = query.substr(0, query.find('?'));
    const std::uint64_t after = queryNumber(query, "after");
    const auto document = servedDocuments().find(key);
    if (document != servedDocuments().end() && document->second.revision > after) {
        respond(*exchange, 200, document->second.text);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::seconds(queryNumber(query, "wait")));
    const auto watcher = m_watchers.insert(m_watchers.end(), {key, after, exchange, timer});
    timer->async_wait([this, watcher](const boost::system::error_code &error) {
        if (!error) {
            respond(*watcher->exchange, 304, {});
            m_watchers.erase(watcher);
        }
    });
}

void StandinPlatform::notifyWatchers()
{
    if (m_fault != Fault::None) {
        return;
    }
    for (auto watcher = m_watchers.begin(); watcher != m_watchers.end();) {
        const auto document = m_documents.find(watcher->key);
        if (document == m_documents.end() || document->second.revision <= watcher->after) {
            ++watcher;
            continue;
        }
        respond(*watcher->exchange, 200, document->second.text);
        watcher->timer->cancel();
        watcher = m_watchers.erase(watcher);
    }
}

void StandinPlatform::handleControl(const std::shared_ptr<HttpExchange> &exchange, const std::string &action)
{
    const std::string body = exchange->takeBody();
    if (action == "reads") {
        const nlohmann::json counts = {{"reads", m_reads}, {"watches", m_watches}, {"waiting", m_watchers.size()}};
        respond(*exchange, 200, counts.dump());
    } else if (action == "contracts") {
        respond(*exchange, publishContracts(trimmed(body)) ? 200 : 400, std::to_string(m_manifestRevision));
    } else if (action == "instances") {
        respond(*exchange, publishInstances(body) ? 200 : 400, std::to_string(m_instancesRevision));
    } else if (action == "values") {
        // {"key":..., "revision":..., "text":...}: publishes any document, to test what nodes reject.
        const auto value = nlohmann::json::parse(body, nullptr, false);
        put(value.at("key").get<std::string>(), value.at("revision").get<std::uint64_t>(), value.at("text").get<std::string>());
        notifyWatchers();
        respond(*exchange, 200, {});
    } else if (action == "fault") {
        const std::string fault = trimmed(body);
        m_fault = fault == "down" ? Fault::Down : (fault == "stale" ? Fault::Stale : Fault::None);
        m_staleDocuments = m_documents;
        if (m_fault == Fault::Down) {
            for (Watcher &watcher : m_watchers) {
                watcher.timer->cancel();
                respond(*watcher.exchange, 503, "down");
            }
            m_watchers.clear();
        }
        notifyWatchers();
        respond(*exchange, 200, fault);
    } else {
        respond(*exchange, 404, "not found");
    }
}

void StandinPlatform::respond(HttpExchange &exchange, int status, const std::string &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body;
    exchange.respond(std::move(response));
}

} // namespace chervilpaddle::standins
