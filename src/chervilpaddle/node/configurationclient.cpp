#include <chervilpaddle/base/units.h>
#include <chervilpaddle/node/configurationclient.h>

namespace chervilpaddle {

namespace {

constexpr Duration readTimeout = std::chrono::seconds(1);
constexpr int watchDurationSeconds = 30;
//! Leaves the service 2 s beyond the end of the watch to answer.
constexpr Duration watchTimeout = std::chrono::seconds(watchDurationSeconds + 2);
constexpr std::size_t maxValueBytes = mebibyte + 64 * kibibyte;
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;

PlatformResponse toPlatformResponse(const HttpResult &result)
{
    if (result.stage != HttpStage::Complete) {
        return {PlatformResponse::Status::Failed, {}};
    }
    if (result.response.status == statusNotModified) {
        return {PlatformResponse::Status::Unchanged, {}};
    }
    if (result.response.status != statusOk) {
        return {PlatformResponse::Status::Failed, {}};
    }
    return {PlatformResponse::Status::Value, result.response.body};
}

} // namespace

ConfigurationClient::ConfigurationClient(boost::asio::io_context &context, const Endpoint &address)
    : m_client(context, {address, maxValueBytes})
{
}

void ConfigurationClient::read(const std::string &key, ConfigurationSync::ResponseHandler reply)
{
    HttpRequest request;
    request.target = "/v1/values/" + key;
    m_client.send(request, readTimeout, [reply = std::move(reply)](const HttpResult &result) { reply(toPlatformResponse(result)); });
}

void ConfigurationClient::watch(const std::string &key, Revision after, ConfigurationSync::ResponseHandler reply)
{
    HttpRequest request;
    request.target = "/v1/watch/" + key + "?after=" + std::to_string(after.value()) + "&wait=" + std::to_string(watchDurationSeconds);
    m_client.send(request, watchTimeout, [reply = std::move(reply)](const HttpResult &result) { reply(toPlatformResponse(result)); });
}

} // namespace chervilpaddle
