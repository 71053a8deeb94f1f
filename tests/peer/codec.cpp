#include <chervilpaddle/base/random.h>
#include <chervilpaddle/peer/codec.h>
#include <chervilpaddle/transport/httplimits.h>

#include <criterion/criterion.h>
#include <limits>
#include <nlohmann/json.hpp>

using namespace chervilpaddle;
using nlohmann::json;

namespace {

CallMessage exampleCall()
{
    CallMessage call;
    call.ticket = {{Incarnation(0xFFFFFFFFFFFFFFFFULL), 42}, InstanceId("pagos-1"), Incarnation(9)};
    call.context = {
        RequestId("r-1"), CustomerName("organisers"), OperationName("pagos.instruct"), 900.25, 3, true, false, BackendId("start-7")};
    call.remaining = std::chrono::milliseconds(750);
    call.retryAllowance = 2;
    call.payload = {0, "text/plain", std::make_shared<const std::string>("body\0with zero", 14)};
    return call;
}

std::string encoded(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

json exampleAsJson()
{
    return json::from_cbor(encodeFrame({exampleCall(), TimePoint()}));
}

std::error_code decodeResult(const std::string &bytes)
{
    PeerFrame frame;
    return decodeFrame(bytes, frame);
}

} // namespace

Test(codec, a_call_is_unchanged_by_encoding_and_decoding)
{
    const CallMessage call = exampleCall();
    PeerFrame frame;
    cr_assert_not(decodeFrame(encodeFrame({call, TimePoint(std::chrono::seconds(5))}), frame));
    const auto &copy = std::get<CallMessage>(frame.message);
    cr_assert(copy.ticket.id == call.ticket.id);
    cr_assert(copy.ticket.executor == call.ticket.executor);
    cr_assert(copy.context.request == call.context.request);
    cr_assert_eq(copy.context.rank, call.context.rank);
    cr_assert(copy.context.branchMayHaveRun);
    cr_assert_eq(copy.remaining.count(), call.remaining.count());
    cr_assert_eq(copy.retryAllowance, 2);
    cr_assert(*copy.payload.body == *call.payload.body);
    cr_assert_eq(frame.sentAt.time_since_epoch().count(), 5000000);
}

Test(codec, every_message_kind_round_trips)
{
    ResponseMessage response;
    response.code = ResultCode::Shed;
    ConfigurationMessage configuration{"{}", {{CustomerName("a"), "text"}}};
    ConfigurationRequest request{Revision(3), {{CustomerName("a"), "digest"}}};
    const PeerMessage messages[] = {HelloMessage(),
                                    response,
                                    CancelMessage(),
                                    VoidTicketMessage(),
                                    StatusMessage(),
                                    request,
                                    configuration,
                                    InstancesRequest(),
                                    InstancesMessage{"{}"},
                                    RoutesRequest{Revision(5)},
                                    RoutesMessage{"{}"},
                                    BodyPartMessage{{}, 9, "bytes"}};
    for (const PeerMessage &message : messages) {
        PeerFrame frame;
        cr_expect_not(decodeFrame(encodeFrame({message, TimePoint()}), frame));
        cr_expect_eq(frame.message.index(), message.index());
    }
}

Test(codec, a_status_without_a_routes_version_comes_from_a_peer_that_cannot_serve_its_routes)
{
    StatusMessage status;
    status.routesVersion = Revision(12);
    const json reported = json::from_cbor(encodeFrame({status, TimePoint()}));
    PeerFrame frame;
    cr_assert_not(decodeFrame(encoded(reported), frame));
    cr_assert_eq(std::get<StatusMessage>(frame.message).routesVersion.value(), 12);
    json older = reported;
    older.erase("routesVersion");
    cr_assert_not(decodeFrame(encoded(older), frame));
    cr_assert_eq(std::get<StatusMessage>(frame.message).routesVersion.value(), 0);
    cr_assert_not(json::from_cbor(encodeFrame({StatusMessage(), TimePoint()})).contains("routesVersion"));
}

//! Answers must not be sent in parts to peers of older builds, which reject kinds of messages that they do not know.
Test(codec, a_hello_without_the_field_comes_from_a_peer_that_takes_no_body_parts)
{
    json hello = json::from_cbor(encodeFrame({HelloMessage(), TimePoint()}));
    PeerFrame frame;
    cr_assert_not(decodeFrame(encoded(hello), frame));
    cr_assert(std::get<HelloMessage>(frame.message).takesBodyParts);
    hello.erase("bodyParts");
    cr_assert_not(decodeFrame(encoded(hello), frame));
    cr_assert_not(std::get<HelloMessage>(frame.message).takesBodyParts);
}

Test(codec, a_body_part_is_unchanged_by_encoding_and_decoding)
{
    const BodyPartMessage part{{Incarnation(7), 3}, maxBodyBytes, std::string("a\0b", 3)};
    PeerFrame frame;
    cr_assert_not(decodeFrame(encodeFrame({part, TimePoint()}), frame));
    const auto &copy = std::get<BodyPartMessage>(frame.message);
    cr_assert(copy.ticket == part.ticket);
    cr_assert_eq(copy.bodyBytes, maxBodyBytes);
    cr_assert(copy.bytes == part.bytes);
    const BodyPartMessage tooLarge{{Incarnation(7), 3}, maxBodyBytes + 1, "a"};
    cr_assert_eq(decodeResult(encodeFrame({tooLarge, TimePoint()})), std::error_code(ResultCode::FrameTooLarge));
}

Test(codec, routes_are_unchanged_by_encoding_and_decoding)
{
    PeerFrame frame;
    cr_assert_not(decodeFrame(encodeFrame({RoutesRequest{Revision(7)}, TimePoint()}), frame));
    cr_assert_eq(std::get<RoutesRequest>(frame.message).heldVersion.value(), 7);
    const std::string document = R"({"version": 8, "listeners": []})";
    cr_assert_not(decodeFrame(encodeFrame({RoutesMessage{document}, TimePoint()}), frame));
    cr_assert(std::get<RoutesMessage>(frame.message).document == document);
}

Test(codec, an_unknown_field_is_ignored)
{
    json value = exampleAsJson();
    value["added later"] = {1, 2, 3};
    cr_assert_not(decodeResult(encoded(value)));
}

Test(codec, another_major_version_is_rejected)
{
    HelloMessage hello;
    hello.major = peerProtocolMajor + 1;
    cr_assert_eq(decodeResult(encodeFrame({hello, TimePoint()})), std::error_code(ResultCode::VersionUnsupported));
}

Test(codec, malformed_fields_are_rejected)
{
    const std::vector<std::pair<std::string, json>> changes = {
        {"kind", "nonsense"},
        {"kind", 3},
        {"ticket", json::array()},
        {"ticket", "x"},
        {"rank", "high"},
        {"rank", -1},
        {"rank", 5000},
        {"remaining", -5},
        {"remaining", 1e300},
        {"allowance", -1},
        {"allowance", 1000000},
        {"body", "string"},
        {"status", "200"},
        {"repeated", 1},
        {"sent", nullptr},
        {"depth", "deep"},
        {"customer", 5},
    };
    for (const auto &[field, invalid] : changes) {
        json value = exampleAsJson();
        value[field] = invalid;
        cr_expect(decodeResult(encoded(value)), "%s = %s was accepted", field.c_str(), invalid.dump().c_str());
        value.erase(field);
        cr_expect(field == "body" || decodeResult(encoded(value)), "a frame without %s was accepted", field.c_str());
    }
}

Test(codec, a_response_whose_code_is_not_a_call_result_is_rejected)
{
    for (const int code : {0, 999, 1002, 4001, 6001, -1}) {
        json value = json::from_cbor(encodeFrame({ResponseMessage(), TimePoint()}));
        value["code"] = code;
        cr_expect(decodeResult(encoded(value)), "code %d was accepted", code);
    }
}

Test(codec, excessive_nesting_and_element_counts_are_rejected)
{
    cr_assert(decodeResult(std::string(maxFrameBytes, '\x81')));
    cr_assert(decodeResult(std::string(maxFrameBytes + 1, '\0')));
    json many = exampleAsJson();
    many["list"] = std::vector<int>(200000, 1);
    cr_assert(decodeResult(encoded(many)));
}

Test(codec, truncated_and_random_bytes_never_crash_the_decoder)
{
    const std::string complete = encodeFrame({exampleCall(), TimePoint()});
    for (std::size_t length = 0; length < complete.size(); ++length) {
        cr_assert(decodeResult(complete.substr(0, length)));
    }
    RandomSource random(20261204);
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = complete;
        for (std::size_t changes = 1 + uniformIndex(random, 4); changes > 0; --changes) {
            bytes[uniformIndex(random, bytes.size())] = static_cast<char>(random());
        }
        decodeResult(bytes);
        std::string randomBytes(uniformIndex(random, 64), '\0');
        for (char &byte : randomBytes) {
            byte = static_cast<char>(random());
        }
        decodeResult(randomBytes);
    }
}

//! A frame that ends early, even by one byte of the answer's body, is no answer.
Test(codec, a_truncated_answer_is_rejected)
{
    ResponseMessage response;
    response.ticket = {Incarnation(3), 4};
    response.payload.status = 200;
    response.payload.head = std::make_shared<const HttpHead>(HttpHead{{}, {}, {{"Response-Signature", "s"}}});
    for (const char *body : {"", "body"}) {
        response.payload.body = std::make_shared<const std::string>(body);
        const std::string complete = encodeFrame({response, TimePoint()});
        cr_assert_not(decodeResult(complete));
        for (std::size_t length = 0; length < complete.size(); ++length) {
            cr_assert(decodeResult(complete.substr(0, length)), "%zu of %zu bytes", length, complete.size());
        }
        cr_assert(decodeResult(complete + complete), "two frames in one");
    }
}

Test(codec, a_ticket_round_trips_through_its_text_form)
{
    const Ticket ticket = exampleCall().ticket;
    const auto parsed = parseTicket(formatTicket(ticket));
    cr_assert(parsed.has_value());
    cr_assert(parsed->id == ticket.id);
    cr_assert(parsed->executor == ticket.executor);
    cr_assert(parsed->executorIncarnation == ticket.executorIncarnation);
    for (const char *invalid : {"", "a", "a/b/c/d", "a/1/2", "/1/2/3", "a/1/2/3x", "a/1/2/-3", "a/1/2/99999999999999999999"}) {
        cr_expect_not(parseTicket(invalid).has_value(), "%s", invalid);
    }
}

Test(codec, keeps_the_head_of_plain_http_calls)
{
    CallMessage call;
    call.context.request = RequestId("r");
    call.context.operation = OperationName("x.route");
    call.context.backend = BackendId("start-7");
    call.payload.head = std::make_shared<const HttpHead>(HttpHead{"PUT", "/a/b?c=d", {{"Host", "h"}, {"X-Twice", "1"}, {"X-Twice", "2"}}});
    PeerFrame frame;
    cr_assert_not(decodeFrame(encodeFrame({call, TimePoint()}), frame));
    const auto &copy = std::get<CallMessage>(frame.message);
    cr_assert_str_eq(copy.context.backend.value().c_str(), "start-7");
    cr_assert_str_eq(copy.payload.head->method.c_str(), "PUT");
    cr_assert_str_eq(copy.payload.head->target.c_str(), "/a/b?c=d");
    cr_assert(copy.payload.head->fields == call.payload.head->fields);
}

//! A peer that rejects a frame closes the link, and with it every call that is in flight on it.
Test(codec, a_request_with_the_longest_header_that_is_taken_can_be_passed_on)
{
    ClientLimits allowed;
    allowed.headerBytes = std::numeric_limits<std::size_t>::max();
    const std::size_t longest = widened({}, allowed).headerBytes;
    constexpr std::size_t shortestFieldBytes = 4;
    const HttpHead longTarget{"GET", std::string(longest, 'x'), {}};
    const HttpHead longField{"GET", "/", {{"Cookie", std::string(longest, 'x')}}};
    HttpHead manyFields{"GET", "/", {}};
    manyFields.fields.resize(longest / shortestFieldBytes, {"a", ""});
    for (const HttpHead &head : {longTarget, longField, manyFields}) {
        CallMessage call = exampleCall();
        call.payload.head = std::make_shared<const HttpHead>(head);
        const std::error_code error = decodeResult(encodeFrame({call, TimePoint()}));
        cr_expect_not(error, "%zu fields: %s", head.fields.size(), error.message().c_str());
    }
}

Test(codec, keeps_load_costs_and_clearing_rank)
{
    ResponseMessage response;
    response.load = 1.5;
    response.costs = {{ServiceName("x"), 0.25}, {ServiceName("y"), 0.5}};
    PeerFrame frame;
    cr_assert_not(decodeFrame(encodeFrame({response, TimePoint()}), frame));
    const auto &copy = std::get<ResponseMessage>(frame.message);
    cr_assert_float_eq(copy.load, 1.5, 1e-9);
    cr_assert_eq(copy.costs.size(), 2);
    cr_assert_str_eq(copy.costs.back().service.value().c_str(), "y");
    cr_assert_float_eq(copy.costs.back().seconds, 0.5, 1e-9);
    StatusMessage status;
    status.clearingRank = 8.25;
    cr_assert_not(decodeFrame(encodeFrame({status, TimePoint()}), frame));
    cr_assert_float_eq(std::get<StatusMessage>(frame.message).clearingRank, 8.25, 1e-9);
}

Test(codec, a_node_that_does_not_know_eras_and_one_that_does_understand_each_other)
{
    StatusMessage status;
    status.configurationRevision = Revision(7);
    status.instancesRevision = Revision(9);
    status.configurationEra = StoreEra(2);
    status.instancesEra = StoreEra(3);
    const ConfigurationRequest configurationRequest{Revision(7), {}, StoreEra(2)};
    const InstancesRequest instancesRequest{Revision(9), StoreEra(3)};
    PeerFrame frame;

    json value = json::from_cbor(encodeFrame({status, TimePoint()}));
    cr_assert_eq(value.at("configuration"), 7);
    cr_assert_eq(value.at("instances"), 9);
    cr_assert_not(decodeFrame(encoded(value), frame));
    cr_assert(std::get<StatusMessage>(frame.message).configurationEra == StoreEra(2));
    cr_assert(std::get<StatusMessage>(frame.message).instancesEra == StoreEra(3));
    value.erase("configurationEra");
    value.erase("instancesEra");
    cr_assert_not(decodeFrame(encoded(value), frame));
    cr_assert(!std::get<StatusMessage>(frame.message).configurationEra);
    cr_assert(!std::get<StatusMessage>(frame.message).instancesEra);
    cr_assert_eq(std::get<StatusMessage>(frame.message).instancesRevision.value(), 9);

    value = json::from_cbor(encodeFrame({configurationRequest, TimePoint()}));
    cr_assert_eq(value.at("held"), 7);
    cr_assert_not(decodeFrame(encoded(value), frame));
    cr_assert(std::get<ConfigurationRequest>(frame.message).heldEra == StoreEra(2));
    value.erase("era");
    cr_assert_not(decodeFrame(encoded(value), frame));
    cr_assert(!std::get<ConfigurationRequest>(frame.message).heldEra);

    value = json::from_cbor(encodeFrame({instancesRequest, TimePoint()}));
    cr_assert_eq(value.at("held"), 9);
    cr_assert_not(decodeFrame(encoded(value), frame));
    cr_assert(std::get<InstancesRequest>(frame.message).heldEra == StoreEra(3));
    value.erase("era");
    cr_assert_not(decodeFrame(encoded(value), frame));
    cr_assert(!std::get<InstancesRequest>(frame.message).heldEra);
    value["era"] = "many";
    cr_assert(decodeResult(encoded(value)));
}

Test(codec, rejects_payloads_that_cannot_be_written_as_http)
{
    const json valid = exampleAsJson();
    for (const int status : {-1, 1000}) {
        json changed = valid;
        changed["status"] = status;
        cr_expect(decodeResult(encoded(changed)) == ResultCode::FrameMalformed, "%d", status);
    }
    json changed = valid;
    changed["head"] = json::array({"GET", "/", "Host", "h"});
    cr_expect_not(decodeResult(encoded(changed)));
    for (const std::size_t index : {0, 1, 2, 3}) {
        json large = changed;
        large["head"][index] = std::string(66'000, 'x');
        cr_expect(decodeResult(encoded(large)) == ResultCode::FrameTooLarge, "%zu", index);
    }
}

//! Peers of older builds pass on malformed responses of backend servers. The link stays open, as other calls are in flight on it.
Test(codec, an_answer_that_is_no_http_response_does_not_count_as_one)
{
    struct Case
    {
        const char *description;
        int status;
        const char *name;
        std::string value;
        ResultCode expected;
    };
    const Case cases[] = {
        {"a response", 200, "Name", "\t a value \xc3\xa9", ResultCode::Done},
        {"an empty value", 204, "!#$%&'*+-.^_`|~09azAZ", "", ResultCode::Done},
        {"a failure", 599, "Name", "value", ResultCode::Done},
        {"no status", 0, "Name", "value", ResultCode::AnswerTruncated},
        {"an interim status", 100, "Name", "value", ResultCode::AnswerTruncated},
        {"a status below the range", 99, "Name", "value", ResultCode::AnswerTruncated},
        {"a status above the range", 600, "Name", "value", ResultCode::AnswerTruncated},
        {"a blank in a name", 200, "Na me", "value", ResultCode::AnswerTruncated},
        {"a blank before a name", 200, " Name", "value", ResultCode::AnswerTruncated},
        {"a control byte in a name", 200, "Na\x01me", "value", ResultCode::AnswerTruncated},
        {"a colon in a name", 200, "Name:", "value", ResultCode::AnswerTruncated},
        {"a byte above ASCII in a name", 200, "Na\xe9me", "value", ResultCode::AnswerTruncated},
        {"no name", 200, "", "value", ResultCode::AnswerTruncated},
        {"a further line in a value", 200, "Name", "value\r\nOther: value", ResultCode::AnswerTruncated},
        {"a line feed in a value", 200, "Name", "value\nvalue", ResultCode::AnswerTruncated},
        {"a control byte in a value", 200, "Name", "val\x01ue", ResultCode::AnswerTruncated},
        {"a NUL in a value", 200, "Name", std::string("val\0ue", 6), ResultCode::AnswerTruncated},
        {"a delete byte in a value", 200, "Name", "val\x7fue", ResultCode::AnswerTruncated},
    };
    for (const Case &c : cases) {
        ResponseMessage plain;
        plain.payload = {c.status, "text/plain", std::make_shared<const std::string>("body"), nullptr};
        plain.payload.head = std::make_shared<const HttpHead>(HttpHead{{}, {}, {{"First", "1"}, {c.name, c.value}}});
        PeerFrame frame;
        cr_assert_not(decodeFrame(encodeFrame({plain, TimePoint()}), frame), "%s: the frame is rejected", c.description);
        const auto &decoded = std::get<ResponseMessage>(frame.message);
        cr_expect_eq(decoded.code, c.expected, "%s: %s", c.description, describe(decoded.code).name);
        cr_expect_eq(static_cast<bool>(decoded.payload.body), c.expected == ResultCode::Done, "%s: its body", c.description);
    }
    ResponseMessage typed;
    typed.payload = {200, "text/plain\r\nOther: value", std::make_shared<const std::string>("body"), nullptr};
    PeerFrame frame;
    cr_assert_not(decodeFrame(encodeFrame({typed, TimePoint()}), frame));
    cr_expect_eq(std::get<ResponseMessage>(frame.message).code, ResultCode::AnswerTruncated, "a further line in the media type");
    ResponseMessage refusal;
    refusal.code = ResultCode::Shed;
    cr_assert_not(decodeFrame(encodeFrame({refusal, TimePoint()}), frame));
    cr_expect_eq(std::get<ResponseMessage>(frame.message).code, ResultCode::Shed, "a refusal has no status");
}
