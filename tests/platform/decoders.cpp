#include <platform/configurationdecoder.h>
#include <platform/httptranslation.h>
#include <platform/instancedecoder.h>
#include <platform/platformprotocol.h>
#include <platform/storecalls.h>

#include <chervilpaddle/base/random.h>
#include <chervilpaddle/transport/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cmath>
#include <criterion/criterion.h>
#include <limits>
#include <nlohmann/json.hpp>

using namespace chervilpaddle;
using namespace chervilpaddle::platform;

namespace {

const char *const validConfiguration = R"({"version":7,"limits":{},
    "listeners":[{"host":"h.example","rules":[
        {"name":"r1","kind":"idempotent","target_latency_s":1.5,"priority":2,"match":{"prefix":"/a/"},
         "action":{"traffic_split":[{"service":"x","weight":90},{"service":"y","weight":10}],"timeout_s":1.2,"attempts":2}},
        {"name":"r2","kind":"non_idempotent","target_latency_s":2,"priority":0,"match":{"prefix":"/b/"},
         "action":{"service":"y","timeout_s":1.5,"attempts":1}}]}],
    "clusters":[{"name":"x"},{"name":"y"}]})";

std::string replaced(std::string text, const std::string &what, const std::string &with)
{
    const auto at = text.find(what);
    cr_assert_neq(at, std::string::npos, "%s", what.c_str());
    return text.replace(at, what.size(), with);
}

HttpResult completeResponse(int status, std::initializer_list<std::pair<const char *, const char *>> fields)
{
    HttpResult result;
    result.stage = HttpStage::Complete;
    result.response.status = status;
    for (const auto &[name, value] : fields) {
        result.response.headers.add(name, value);
    }
    result.response.body = "body";
    return result;
}

} // namespace

Test(platform, decodes_a_configuration)
{
    std::string reason;
    const auto table = decodeRoutes({"op/config", validConfiguration, Revision(5)}, reason);
    cr_assert(table.has_value(), "%s", reason.c_str());
    cr_assert_eq(table->revision().value(), 7);
    const Route *first = table->match("h.example", "/a/x");
    cr_assert(first->idempotent);
    cr_assert_eq(first->targets.size(), 2);
    cr_assert_eq(first->maxAttempts, 2);
    cr_assert_eq(first->timeout, std::chrono::milliseconds(1200));
    cr_assert_eq(first->targetLatency, std::chrono::milliseconds(1500));
    cr_assert_not(table->match("h.example", "/b/")->idempotent);
}

Test(platform, limits_that_are_missing_or_odd_do_not_make_a_configuration_unusable)
{
    struct Case
    {
        std::string limits;
        double idleSeconds;
        double headerSeconds;
        std::size_t headerBytes;
        std::size_t bodyBytes;
    };
    const ClientLimits defaults;
    const double idle = toSeconds(defaults.idleTimeout);
    const double header = toSeconds(defaults.headerTimeout);
    const Case cases[] = {
        {R"("limits":{"max_header_bytes":32768,"max_body_bytes":67108864,"header_timeout_s":3.5,"idle_timeout_s":150})",
         150,
         3.5,
         32768,
         67108864},
        {R"("limits":{})", idle, header, defaults.headerBytes, defaults.bodyBytes},
        {R"("limits":{"idle_timeout_s":0.25})", 0.25, header, defaults.headerBytes, defaults.bodyBytes},
        {R"("limits":{"idle_timeout_s":1e300,"header_timeout_s":1e300})", 86400, 86400, defaults.headerBytes, defaults.bodyBytes},
        {R"("limits":{"max_header_bytes":1e300,"max_body_bytes":18446744073709551615})", idle, header, 1024 * mebibyte, 1024 * mebibyte},
        {R"("limits":{"idle_timeout_s":-1,"header_timeout_s":0,"max_header_bytes":-5,"max_body_bytes":0})",
         idle,
         header,
         defaults.headerBytes,
         defaults.bodyBytes},
        {R"("limits":{"idle_timeout_s":"60","header_timeout_s":null,"max_header_bytes":[1],"max_body_bytes":true})",
         idle,
         header,
         defaults.headerBytes,
         defaults.bodyBytes},
        {R"("limits":[60])", idle, header, defaults.headerBytes, defaults.bodyBytes},
        {R"("limits":"none")", idle, header, defaults.headerBytes, defaults.bodyBytes},
        {R"("other":{})", idle, header, defaults.headerBytes, defaults.bodyBytes},
    };
    for (const Case &testCase : cases) {
        std::string reason;
        const std::string text = replaced(validConfiguration, R"("limits":{})", testCase.limits);
        const auto table = decodeRoutes({"op/config", text, Revision(5)}, reason);
        cr_assert(table.has_value(), "%s: %s", testCase.limits.c_str(), reason.c_str());
        cr_expect_eq(table->limits().idleTimeout, fromSeconds(testCase.idleSeconds), "%s", testCase.limits.c_str());
        cr_expect_eq(table->limits().headerTimeout, fromSeconds(testCase.headerSeconds), "%s", testCase.limits.c_str());
        cr_expect_eq(table->limits().headerBytes, testCase.headerBytes, "%s", testCase.limits.c_str());
        cr_expect_eq(table->limits().bodyBytes, testCase.bodyBytes, "%s", testCase.limits.c_str());
    }
}

Test(platform, rejects_an_invalid_configuration)
{
    const std::string valid = validConfiguration;
    const std::string invalid[] = {valid.substr(0, valid.size() / 2),
                                   "",
                                   "[]",
                                   replaced(valid, "\"clusters\":[{\"name\":\"x\"},", "\"clusters\":["),
                                   replaced(valid, "non_idempotent", "odd"),
                                   replaced(valid, "\"/b/\"", "\"/b\""),
                                   replaced(valid, "\"timeout_s\":1.5,", ""),
                                   replaced(valid, "\"timeout_s\":1.5", "\"timeout_s\":0"),
                                   replaced(valid, "\"weight\":10", "\"weight\":-1"),
                                   replaced(valid, "\"version\":7", "\"version\":\"7\"")};
    for (const std::string &text : invalid) {
        std::string reason;
        cr_assert_not(decodeRoutes({"op/config", text, Revision(5)}, reason).has_value(), "%s", text.c_str());
        cr_assert_not(reason.empty());
    }
}

Test(platform, decodes_entries_and_rejects_those_that_name_no_instance)
{
    const std::string valid = R"({"service":"x","address":"10.1.0.9:8080","zone":"a","version":"v1","slots":108,)"
                              R"("state":"ready","cold_remaining_s":0,"sequence":4,"born":1700000000000})";
    std::string reason;
    const auto entry = decodeInstance({"servers/i-1", valid, Revision(3)}, reason);
    cr_assert(entry.has_value(), "%s", reason.c_str());
    cr_assert_str_eq(entry->instance.instance.value().c_str(), "10.1.0.9");
    cr_assert_str_eq(entry->instance.backend.value().c_str(), "i-1");
    cr_assert_eq(entry->startedAt, 1700000000000);
    cr_assert(decodeInstance({"servers/i-1", replaced(valid, "ready", "draining"), Revision(3)}, reason)->instance.leaving);
    const std::string invalid[] = {"\xff\xfe",
                                   "{}",
                                   "7",
                                   replaced(valid, "\"ready\"", "\"asleep\""),
                                   replaced(valid, "108", "\"many\""),
                                   replaced(valid, "10.1.0.9:8080", "nowhere"),
                                   replaced(valid, "\"service\":\"x\",", "")};
    for (const std::string &text : invalid) {
        cr_assert_not(decodeInstance({"servers/i-1", text, Revision(3)}, reason).has_value(), "%s", text.c_str());
    }
    cr_assert_not(decodeInstance({"servers/", valid, Revision(3)}, reason).has_value());
}

Test(platform, decodes_store_responses)
{
    const StorePage page = decodePage(R"({"items":[{"key":"k","value":"bm9kZS0x","revision":4},{"key":"l","value":"!","revision":5}],)"
                                      R"("has_more":true,"store_revision":9})");
    cr_assert_eq(page.status, StoreStatus::Success);
    cr_assert_str_eq(page.items.at(0).value.c_str(), "node-1");
    cr_assert(page.hasMore);
    cr_assert_eq(page.storeRevision.value(), 9);
    const StoreChanges changes = decodeChanges(R"({"events":[{"key":"k","revision":6,"deleted":true}],"store_revision":6})");
    cr_assert(changes.events.at(0).isRemoved);
    cr_assert_eq(decodePage("{").status, StoreStatus::Failed);
    cr_assert_eq(decodeChanges("{\"events\":3}").status, StoreStatus::Failed);
}

Test(platform, an_era_that_cannot_be_read_counts_as_missing)
{
    HttpResponse response;
    cr_assert(!storeEra(response));
    for (const char *text : {"", "x", "-1", "3x", " 3", "1.5", "18446744073709551616"}) {
        response = {};
        response.headers.add("Store-Era", text);
        cr_expect(!storeEra(response), "'%s'", text);
    }
    response = {};
    response.headers.add("store-era", "3");
    cr_assert(storeEra(response) == StoreEra(3));
}

Test(platform, maps_backend_responses_to_result_codes)
{
    struct Case
    {
        HttpResult result;
        ResultCode expected;
    };
    HttpResult noResponse;
    noResponse.stage = HttpStage::Sent;
    HttpResult truncated;
    truncated.stage = HttpStage::Truncated;
    HttpResult notSent;
    Case cases[] = {{completeResponse(200, {{"Response-Signature", "s"}}), ResultCode::Done},
                    {completeResponse(200, {}), ResultCode::AnswerUnverified},
                    {completeResponse(200, {{"Response-Signature", "s"}, {"Content-Encoding", "gzip"}}), ResultCode::AnswerUnverified},
                    {completeResponse(500, {{"Response-Signature", "s"}}), ResultCode::DoneWithError},
                    {completeResponse(404, {{"Response-Signature", "s"}}), ResultCode::Done},
                    {completeResponse(503, {{"Not-Executed", "1"}}), ResultCode::BackendRefused},
                    {completeResponse(429, {{"Not-Executed", "1"}}), ResultCode::BackendRefused},
                    {completeResponse(421, {{"Instance-Id", "i"}}), ResultCode::BackendRefused},
                    {completeResponse(503, {{"Response-Signature", "s"}}), ResultCode::AnswerUnverified},
                    {noResponse, ResultCode::AnswerLost},
                    {truncated, ResultCode::AnswerTruncated},
                    {notSent, ResultCode::BackendUnreachable}};
    for (Case &c : cases) {
        cr_assert_eq(backendResult(c.result).code, c.expected, "status %d", c.result.response.status);
    }
}

Test(platform, only_calls_that_have_not_run_get_a_status_that_invites_a_retry)
{
    for (const ResultCodeInfo &info : resultCodeTable()) {
        if (static_cast<int>(info.code) < 2000 || static_cast<int>(info.code) > 3999) {
            continue;
        }
        CallResult result;
        result.code = info.code;
        const HttpResponse response = callerResponse(RequestId("r"), result, std::chrono::milliseconds(250));
        const bool claimsNotRun = response.status == 503 || response.status == 429 || response.status == 408 || response.status == 421;
        cr_assert(!claimsNotRun || outcomeOf(info.code) == Outcome::NotRun, "%s", info.name);
        cr_assert_eq(claimsNotRun, response.headers.find("Retry-After") != nullptr, "%s", info.name);
    }
}

Test(platform, forwards_end_to_end_fields_only)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/a/x?y=1";
    const std::pair<const char *, const char *> fields[] = {{"Host", "h.example"},
                                                            {"Request-Id", "aa.bb"},
                                                            {"Deadline-Milliseconds", "900"},
                                                            {"Connection", "keep-alive, X-Hop"},
                                                            {"X-Hop", "1"},
                                                            {"Caller-Service", "forged"},
                                                            {"Expected-Instance", "forged"},
                                                            {"Content-Length", "4"},
                                                            {"X-Kept", "1"}};
    for (const auto &[name, value] : fields) {
        request.headers.add(name, value);
    }
    const auto call = parseCall(request, ServiceName("own"));
    cr_assert(call.has_value());
    cr_assert_str_eq(call->parentRequest.value().c_str(), "aa");
    cr_assert_eq(*call->callerTimeout, std::chrono::milliseconds(900));
    CallMessage message;
    message.payload.head = call->head;
    message.context.backend = BackendId("i-1");
    const HttpRequest sent = backendRequest(message, std::chrono::milliseconds(700));
    cr_assert_str_eq(sent.target.c_str(), "/a/x?y=1");
    cr_assert(sent.headers.valueOr("Caller-Service", "") == "own");
    cr_assert(sent.headers.valueOr("Expected-Instance", "") == "i-1");
    cr_assert(sent.headers.valueOr("Deadline-Milliseconds", "") == "700");
    cr_assert(sent.headers.valueOr("X-Kept", "") == "1");
    cr_assert_null(sent.headers.find("X-Hop"));
    cr_assert_null(sent.headers.find("Connection"));
    cr_assert(sent.headers.valueOr(platformProtocol().requestIdHeader, "") == "aa.bb");
}

Test(platform, rejects_requests_without_an_id_or_with_a_malformed_deadline)
{
    for (const char *deadline : {"", "-1", "soon", "1.5"}) {
        HttpRequest request;
        request.headers.add("Request-Id", "a");
        request.headers.add("Deadline-Milliseconds", deadline);
        cr_assert_not(parseCall(request, ServiceName("own")).has_value(), "%s", deadline);
    }
    HttpRequest withoutId;
    cr_assert_not(parseCall(withoutId, ServiceName("own")).has_value());
}

Test(platform, an_entry_that_only_counts_on_is_a_heartbeat)
{
    const std::string value =
        R"({"service":"x","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","cold_remaining_s":2,"sequence":4,"born":17})";
    const StoreItem previous{"servers/i-1", value, Revision(5)};
    const auto isHeartbeatWith = [&](const std::string &changed) { return isHeartbeat(previous, {"servers/i-1", changed, Revision(6)}); };
    const std::string next = replaced(value, "\"sequence\":4", "\"sequence\":5");
    cr_assert(isHeartbeatWith(next));
    cr_assert(isHeartbeatWith(replaced(next, "\"cold_remaining_s\":2", "\"cold_remaining_s\":0.5")));
    cr_assert_not(isHeartbeatWith(replaced(next, "ready", "draining")));
    cr_assert_not(isHeartbeatWith(replaced(next, "\"born\":17", "\"born\":18")));
    cr_assert_not(isHeartbeatWith(replaced(next, "\"slots\":4", "\"slots\":8")));
    cr_assert_not(isHeartbeatWith(replaced(next, "10.0.0.1", "10.0.0.2")));
    cr_assert_not(isHeartbeatWith(replaced(value, "\"sequence\":4", "\"sequence\":1")), "the count starts anew with the backend server");
    cr_assert_not(isHeartbeatWith(replaced(next, "\"sequence\":5", "\"sequence\":\"x\"")));
    cr_assert_not(isHeartbeatWith("no JSON"));
    cr_assert_not(isHeartbeat({"servers/i-1", "[]", Revision(5)}, {"servers/i-1", value, Revision(6)}));
}

Test(platform, rejects_an_entry_whose_key_is_not_below_the_prefix)
{
    const std::string valid = R"({"service":"x","address":"10.1.0.9:8080","zone":"a","version":"v1","slots":108,)"
                              R"("state":"ready","cold_remaining_s":0,"sequence":4})";
    std::string reason;
    cr_assert(decodeInstance({"servers/i-1", valid, Revision(3)}, reason).has_value(), "%s", reason.c_str());
    for (const char *key : {"", "s", "servers", "servers/", "clients/i-1"}) {
        reason.clear();
        cr_expect_not(decodeInstance({key, valid, Revision(3)}, reason).has_value(), "%s", key);
        cr_expect_not(reason.empty());
    }
}

Test(platform, documents_nested_too_deeply_do_not_exhaust_the_stack)
{
    constexpr std::size_t depth = 1'000'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const auto entry = [&nested](int sequence) {
        return StoreItem{"servers/i-1", "{\"sequence\":" + std::to_string(sequence) + ",\"x\":" + nested + "}", Revision(3)};
    };
    cr_expect_not(isHeartbeat(entry(1), entry(2)));
    std::string reason;
    cr_expect_not(decodeInstance(entry(1), reason).has_value());
    cr_expect_not(decodeRoutes({"op/config", nested, Revision(5)}, reason).has_value());
    cr_expect_eq(decodePage(nested).status, StoreStatus::Failed);
    cr_expect_eq(decodeChanges(nested).status, StoreStatus::Failed);
}

Test(platform, a_response_of_a_peer_without_a_head_reaches_the_caller)
{
    CallResult result;
    result.code = ResultCode::Done;
    result.payload.status = 200;
    result.payload.body = std::make_shared<const std::string>("body");
    const HttpResponse response = callerResponse(RequestId("r"), result, std::nullopt);
    cr_expect_eq(response.status, 200);
    cr_expect_str_eq(response.body.c_str(), "body");
}

Test(platform, odd_documents_are_rejected_without_an_exception)
{
    const std::string entry = R"({"service":"x","address":"10.1.0.9:8080","zone":"a","version":"v1","slots":108,"state":"ready",)"
                              R"("cold_remaining_s":0,"sequence":4,"born":1700000000000})";
    const std::string page = R"({"items":[{"key":"servers/i-1","revision":4,"value":"YWJj"}],"has_more":true,"store_revision":7})";
    const std::string changes = R"({"events":[{"key":"servers/i-1","revision":4,"deleted":true}],"store_revision":7})";
    const std::string tokens[] = {
        "null", "-1", "1e308", "1e400", "18446744073709551616", "\"\"", "\"=\"", "[", "]", "{}", ",", "\\u0000", "\xff"};
    RandomSource random(20261204);
    const auto changed = [&](std::string text) {
        for (std::size_t count = 1 + uniformIndex(random, 3); count > 0; --count) {
            const std::size_t at = uniformIndex(random, text.size());
            text.replace(at, uniformIndex(random, 12), tokens[uniformIndex(random, std::size(tokens))]);
        }
        return text;
    };
    for (int i = 0; i < 5000; ++i) {
        std::string reason;
        cr_assert_no_throw(decodeRoutes({"op/config", changed(validConfiguration), Revision(5)}, reason), std::exception);
        cr_assert_no_throw(decodeInstance({"servers/i-1", changed(entry), Revision(3)}, reason), std::exception);
        cr_assert_no_throw(isHeartbeat({"servers/i-1", entry, Revision(3)}, {"servers/i-1", changed(entry), Revision(4)}), std::exception);
        cr_assert_no_throw(decodePage(changed(page)), std::exception);
        cr_assert_no_throw(decodeChanges(changed(changes)), std::exception);
    }
}

Test(platform, numbers_that_fit_no_type_make_an_entry_invalid)
{
    const std::string valid = R"({"service":"x","address":"10.1.0.9:8080","zone":"a","version":"v1","slots":108,)"
                              R"("state":"ready","cold_remaining_s":0,"sequence":4,"born":1700000000000})";
    const std::string numbers[] = {
        "1e300", "9223372036854775808", "18446744073709551615", "18446744073709551616", "-1", "1.5", "true", "null", "\"NaN\"", "[1]"};
    for (const std::string &number : numbers) {
        std::string reason;
        cr_expect_not(
            decodeInstance({"servers/i-1", replaced(valid, "108", number), Revision(3)}, reason).has_value(), "slots %s", number.c_str());
        cr_expect_not(decodeInstance({"servers/i-1", replaced(valid, "1700000000000", number), Revision(3)}, reason).has_value(),
                      "born %s",
                      number.c_str());
        const StoreItem odd{"servers/i-1", replaced(valid, "\"sequence\":4", "\"sequence\":" + number), Revision(4)};
        cr_expect_not(isHeartbeat({"servers/i-1", valid, Revision(3)}, odd), "sequence %s", number.c_str());
        cr_expect_not(isHeartbeat(odd, {"servers/i-1", valid, Revision(5)}), "sequence %s", number.c_str());
    }
    std::string reason;
    const auto whole = decodeInstance({"servers/i-1", replaced(valid, "108", "108.0"), Revision(3)}, reason);
    cr_assert(whole.has_value(), "%s", reason.c_str());
    cr_expect_eq(whole->instance.slots, 108);
}

Test(platform, numbers_that_fit_no_type_make_a_configuration_invalid)
{
    const std::string valid = validConfiguration;
    const std::string fields[] = {
        "\"version\":7", "\"priority\":2", "\"attempts\":2", "\"timeout_s\":1.2", "\"target_latency_s\":1.5", "\"weight\":90"};
    for (const std::string &field : fields) {
        const std::string name = field.substr(0, field.find(':') + 1);
        for (const char *number : {"1e300", "-1", "18446744073709551616", "true", "null", "\"NaN\"", "{}"}) {
            std::string reason;
            cr_expect_not(decodeRoutes({"op/config", replaced(valid, field, name + number), Revision(5)}, reason).has_value(),
                          "%s%s",
                          name.c_str(),
                          number);
            cr_expect_not(reason.empty());
        }
    }
    for (const std::string &field : {std::string("\"version\":7"), std::string("\"priority\":2"), std::string("\"attempts\":2")}) {
        std::string reason;
        const std::string fraction = field.substr(0, field.find(':') + 1) + "2.5";
        cr_expect_not(decodeRoutes({"op/config", replaced(valid, field, fraction), Revision(5)}, reason).has_value(), "%s", field.c_str());
    }
}

Test(platform, an_invalid_item_does_not_make_the_other_items_of_a_response_unavailable)
{
    const std::string deep = std::string(20'000, '[') + std::string(20'000, ']');
    const std::string invalidItems[] = {"null",
                                        "7",
                                        "[]",
                                        R"({"revision":4})",
                                        R"({"key":7,"revision":4})",
                                        R"({"key":"","revision":4})",
                                        R"({"key":"servers/odd"})",
                                        R"({"key":"servers/odd","revision":-1})",
                                        R"({"key":"servers/odd","revision":1e300})",
                                        R"({"key":"servers/odd","revision":18446744073709551615})",
                                        R"({"key":"servers/odd","revision":true})",
                                        deep};
    const std::string first = R"({"key":"servers/a","value":"e30=","revision":3},)";
    const std::string last = R"(,{"key":"servers/z","value":"e30=","revision":5})";
    for (const std::string &invalid : invalidItems) {
        const std::string name = invalid.substr(0, 100);
        const StorePage page = decodePage(R"({"items":[)" + first + invalid + last + R"(],"has_more":true,"store_revision":9})");
        cr_assert_eq(page.status, StoreStatus::Success, "%s", name.c_str());
        cr_expect_eq(page.items.size(), 2, "%s", name.c_str());
        cr_expect_eq(page.items.back().value, "{}");
        cr_expect(page.hasMore);
        const StoreChanges changes = decodeChanges(R"({"events":[)" + first + invalid + last + R"(],"store_revision":9})");
        cr_assert_eq(changes.status, StoreStatus::Success, "%s", name.c_str());
        cr_expect_eq(changes.events.size(), 2, "%s", name.c_str());
        cr_expect_eq(changes.storeRevision.value(), 9);
    }
    for (const std::string &value : {std::string("7"), std::string("{}"), deep}) {
        const StorePage page = decodePage(R"({"items":[{"key":"servers/odd","revision":4,"value":)" + value + R"(}],"store_revision":9})");
        cr_assert_eq(page.items.size(), 1, "an item with a key is kept, so that its previous value is no longer used");
        std::string reason;
        cr_expect_not(decodeInstance(page.items.front(), reason).has_value());
    }
    for (const char *revision : {"-1", "1e300", "18446744073709551615", "true", "null", "1.5"}) {
        const std::string end = std::string(R"(],"store_revision":)") + revision + "}";
        cr_expect_eq(decodePage(R"({"items":[)" + end).status, StoreStatus::Failed, "%s", revision);
        cr_expect_eq(decodeChanges(R"({"events":[)" + end).status, StoreStatus::Failed, "%s", revision);
    }
    cr_expect_eq(decodePage(R"({"items":[7],"has_more":true,"store_revision":9})").status, StoreStatus::Failed, "the next page is unknown");
}

Test(platform, an_entry_that_is_not_utf8_stays_invalid_after_peers_have_replaced_its_bytes)
{
    // {"service":"x","address":"10.1.0.9:8080","zone":"\xff","version":"v1","slots":1,"state":"ready","cold_remaining_s":0,"sequence":4}
    const std::string value = "eyJzZXJ2aWNlIjoieCIsImFkZHJlc3MiOiIxMC4xLjAuOTo4MDgwIiwiem9uZSI6Iv8iLCJ2ZXJzaW9uIjoidjEiLCJzbG90cyI6MSwic3R"
                              "hdGUiOiJyZWFkeSIsImNvbGRfcmVtYWluaW5nX3MiOjAsInNlcXVlbmNlIjo0fQ==";
    const StorePage page = decodePage(R"({"items":[{"key":"servers/odd","revision":4,"value":")" + value + R"("}],"store_revision":9})");
    cr_assert_eq(page.items.size(), 1);
    StoreItem item = page.items.front();
    std::string reason;
    cr_expect_not(decodeInstance(item, reason).has_value());
    const std::string sent = nlohmann::json(item.value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    item.value = nlohmann::json::parse(sent).get<std::string>();
    cr_expect_not(decodeInstance(item, reason).has_value());
}

Test(platform, an_entry_without_a_field_that_backend_servers_write_is_not_from_one)
{
    const std::string valid = R"({"service":"x","address":"10.1.0.9:8080","zone":"a","version":"v1","slots":108,)"
                              R"("state":"ready","cold_remaining_s":0,"sequence":4,"born":1700000000000})";
    for (const char *field : {"service", "address", "zone", "version", "slots", "state", "cold_remaining_s", "sequence"}) {
        nlohmann::json missing = nlohmann::json::parse(valid);
        missing.erase(field);
        std::string reason;
        cr_expect_not(decodeInstance({"servers/i-1", missing.dump(), Revision(3)}, reason).has_value(), "no %s", field);
        for (const nlohmann::json &value :
             {nlohmann::json(nullptr), nlohmann::json(true), nlohmann::json::array(), nlohmann::json::object()}) {
            nlohmann::json odd = nlohmann::json::parse(valid);
            odd[field] = value;
            cr_expect_not(
                decodeInstance({"servers/i-1", odd.dump(), Revision(3)}, reason).has_value(), "%s %s", field, value.dump().c_str());
        }
    }
}

Test(platform, names_and_addresses_of_an_entry_that_cannot_be_used_make_it_invalid)
{
    const std::string valid = R"({"service":"x","address":"10.1.0.9:8080","zone":"a","version":"v1","slots":108,)"
                              R"("state":"ready","cold_remaining_s":0,"sequence":4,"born":1700000000000})";
    const auto isValid = [](const std::string &key, const std::string &value) {
        std::string reason;
        return decodeInstance({key, value, Revision(3)}, reason).has_value();
    };
    cr_assert(isValid("servers/i-1", valid));
    cr_expect(isValid("servers/i-1", replaced(valid, "\"a\"", "\"z\u00fcrich 1\"")));
    const std::string names[] = {"", "\\r\\nX-Odd: 1", "\\u0000", "\\u007f", "\\t", std::string(201, 'n'), std::string(1'000'000, 'n')};
    for (const std::string &name : names) {
        const std::string quoted = "\"" + name + "\"";
        cr_expect_not(isValid("servers/i-1", replaced(valid, "\"x\"", quoted)), "service %.20s", name.c_str());
        cr_expect_not(isValid("servers/i-1", replaced(valid, "\"a\"", quoted)), "zone %.20s", name.c_str());
    }
    for (const std::string &id : {std::string("i-1\r\nX-Odd: 1"), std::string("i\0", 2), std::string(201, 'i')}) {
        cr_expect_not(isValid("servers/" + id, valid), "id %.20s", id.c_str());
    }
    for (const char *address : {"10.0.0.1:99999",
                                "10.0.0.1:65536",
                                "10.0.0.1:0",
                                "10.0.0.1:-1",
                                "10.0.0.1:+1",
                                "10.0.0.1:",
                                "10.0.0.1",
                                ":8501",
                                "",
                                "host:8501",
                                "0.0.0.0:8501",
                                "[::]:8501",
                                "224.0.0.1:8501",
                                "[ff02::1]:8501",
                                "10.0.0.1:1e3",
                                "10.0.0.1: 80",
                                "255.255.255.255:80"}) {
        cr_expect_not(isValid("servers/i-1", replaced(valid, "10.1.0.9:8080", address)), "%s", address);
    }
}

Test(platform, the_reason_of_a_rejection_does_not_quote_a_long_document)
{
    const std::string text(1'000'000, 'a');
    const std::string entry = R"({"service":"x","address":"10.1.0.9:8080","zone":"a","slots":1,"state":")" + text + "\"}";
    for (const std::string &value : {entry, text, "\"" + text, "{\"" + text + "\":\x01"}) {
        std::string reason;
        cr_expect_not(decodeInstance({"servers/i-1", value, Revision(3)}, reason).has_value());
        cr_expect_leq(reason.size(), 200);
        cr_expect_not(decodeRoutes({"op/config", value, Revision(3)}, reason).has_value());
        cr_expect_leq(reason.size(), 200);
    }
}

Test(platform, changes_that_exceed_the_size_limit_are_replaced_by_a_new_read)
{
    boost::asio::io_context context;
    const auto port = boost::asio::ip::tcp::acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
    HttpServer server({&context}, {{"127.0.0.1", port}, 1024}, [](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->respond(textResponse(200, "application/json", R"({"events":[],"store_revision":9})" + std::string(64 * 1024, ' ')));
    });
    cr_assert_not(server.listen());
    HttpClient client(context, HttpClient::Options{{"127.0.0.1", port}, 1024});
    std::optional<StoreStatus> status;
    storeReader(client).watch("servers/", Revision(1), std::chrono::seconds(1), [&](const StoreChanges &changes) {
        status = changes.status;
        context.stop();
    });
    context.run_for(std::chrono::seconds(10));
    cr_assert(status.has_value());
    cr_expect_eq(*status, StoreStatus::Compacted);
}

Test(platform, an_instance_entry_of_a_megabyte_is_not_kept)
{
    // "AAAA" in base64 is three zero bytes.
    std::string value;
    for (int i = 0; i < 350'000; ++i) {
        value += "AAAA";
    }
    const auto itemWithKey = [&value](const std::string &key) {
        return decodePage(R"({"items":[{"key":")" + key + R"(","revision":4,"value":")" + value + R"("}],"store_revision":9})").items.at(0);
    };
    const StoreItem entry = itemWithKey("servers/odd");
    cr_expect_lt(entry.value.size(), 64 * 1024);
    std::string reason;
    cr_expect_not(decodeInstance(entry, reason).has_value());
    cr_expect_eq(itemWithKey("op/config").value.size(), 1'050'000);
}

Test(platform, whatever_is_accepted_from_a_mutated_document_is_within_its_range)
{
    using nlohmann::json;
    const json entry = json::parse(R"({"service":"x","address":"10.1.0.9:8080","zone":"a","version":"v1","slots":108,)"
                                   R"("state":"ready","cold_remaining_s":0.5,"sequence":4,"born":1700000000000})");
    const json configuration = json::parse(validConfiguration);
    json nested = 1;
    for (int depth = 0; depth < 100; ++depth) {
        nested = json::array({std::move(nested)});
    }
    const json values[] = {nullptr,
                           true,
                           -1,
                           0,
                           1.5,
                           1e300,
                           -1e300,
                           1e-300,
                           std::numeric_limits<std::int64_t>::min(),
                           std::numeric_limits<std::int64_t>::max(),
                           std::numeric_limits<std::uint64_t>::max(),
                           "",
                           "NaN",
                           std::string("\r\n\0", 3),
                           "10.0.0.1:99999",
                           "0.0.0.0:1",
                           "/",
                           std::string(100'000, 'a'),
                           json::array(),
                           json::object(),
                           nested};
    RandomSource random(20261205);
    const auto mutated = [&](json document) {
        for (std::size_t count = 1 + uniformIndex(random, 2); count > 0; --count) {
            const json fields = document.flatten();
            auto field = fields.begin();
            std::advance(field, static_cast<std::ptrdiff_t>(uniformIndex(random, fields.size())));
            document[json::json_pointer(field.key())] = values[uniformIndex(random, std::size(values))];
        }
        return document.dump();
    };
    const auto isName = [](const std::string &text) {
        return !text.empty() && text.size() <= 200 && std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20; });
    };
    int accepted = 0;
    for (int i = 0; i < 4000; ++i) {
        std::string reason;
        if (const auto decoded = decodeInstance({"servers/i-1", mutated(entry), Revision(3)}, reason); decoded) {
            const PublishedInstance &instance = decoded->instance;
            cr_assert(instance.slots >= 1 && instance.slots <= 100'000 && decoded->startedAt >= 0);
            cr_assert(isName(instance.service.value()) && isName(instance.dataCentre.value()) && isName(instance.instance.value()));
            ++accepted;
        }
        if (const auto table = decodeRoutes({"op/config", mutated(configuration), Revision(5)}, reason); table) {
            cr_assert_leq(table->revision().value(), static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
            for (const Route &route : table->routes()) {
                cr_assert(route.timeout >= Duration::zero() && route.timeout <= std::chrono::hours(24 * 365 * 100));
                cr_assert(route.maxAttempts >= 1 && route.stepsBelowTopPriority >= 0 && !route.targets.empty());
                for (const RouteTarget &target : route.targets) {
                    cr_assert(target.weight >= 0 && std::isfinite(target.weight));
                }
            }
            ++accepted;
        }
    }
    cr_assert_gt(accepted, 100, "the mutations must not all be rejected");
}
