#include <chervilpaddle/base/units.h>
#include <chervilpaddle/node/platformadapter.h>

namespace chervilpaddle {

namespace {

constexpr Duration readTimeout = std::chrono::seconds(1);
constexpr int watchSeconds = 30;
constexpr Duration watchTimeout = std::chrono::seconds(watchSeconds + 2);
constexpr std::size_t largestValue = mebibyte + 64 * kibibyte;
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;

PlatformAnswer answerOf(const HttpResult &result)
{
    if (result.stage != HttpStage::Whole) {
        return {PlatformAnswer::Status::Failed, {}};
    }
    if (result.response.status == statusNotModified) {
        return {PlatformAnswer::Status::Unchanged, {}};
    }
    if (result.response.status != statusOk) {
        return {PlatformAnswer::Status::Failed, {}};
    }
    return {PlatformAnswer::Status::Value, result.response.body};
}

} // namespace

PlatformAdapter::PlatformAdapter(boost::asio::io_context &context, const Endpoint &address)
    : m_client(context, {address, largestValue})
{
}

void PlatformAdapter::read(const std::string &key, ConfigurationSync::PlatformReply reply)
{
    HttpRequest request;
    request.target = "/v1/values/" + key;
    m_client.send(request, readTimeout, [reply = std::move(reply)](const HttpResult &result) { reply(answerOf(result)); });
}

void PlatformAdapter::watch(const std::string &key, Revision after, ConfigurationSync::PlatformReply reply)
{
    HttpRequest request;
    request.target = "/v1/watch/" + key + "?after=" + std::to_string(after.value()) + "&wait=" + std::to_string(watchSeconds);
    m_client.send(request, watchTimeout, [reply = std::move(reply)](const HttpResult &result) { reply(answerOf(result)); });
}

} // namespace chervilpaddle
