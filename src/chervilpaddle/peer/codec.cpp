#include <chervilpaddle/peer/codec.h>

#include <charconv>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace chervilpaddle {

namespace {

using nlohmann::json;

constexpr std::size_t maxNestingDepth = 4;
constexpr std::size_t maxElements = 50'000;
constexpr std::uint64_t maxDurationMicroseconds = 3'600'000'000ULL;
//! The time for which the store has been available is not distinguished beyond a day.
constexpr std::uint64_t maxStoreAvailability = 86'400'000'000;
constexpr int maxRetryAllowance = 1'000;
constexpr int hexadecimal = 16;

//! Checks a frame before it is decoded, to limit its nesting depth and its number of elements.
class FrameInspector : public nlohmann::json_sax<json>
{
public:
    bool null() override
    {
        return count();
    }
    bool boolean(bool /*value*/) override
    {
        return count();
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return count();
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return count();
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return count();
    }
    bool string(string_t & /*value*/) override
    {
        return count();
    }
    bool binary(binary_t & /*value*/) override
    {
        return count();
    }
    bool start_object(std::size_t /*elements*/) override
    {
        return enter();
    }
    bool key(string_t & /*value*/) override
    {
        return count();
    }
    bool end_object() override
    {
        return leave();
    }
    bool start_array(std::size_t /*elements*/) override
    {
        return enter();
    }
    bool end_array() override
    {
        return leave();
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    bool count()
    {
        return ++m_elements <= maxElements;
    }
    bool enter()
    {
        return ++m_depth <= maxNestingDepth && count();
    }
    bool leave()
    {
        --m_depth;
        return true;
    }

    std::size_t m_depth = 0;
    std::size_t m_elements = 0;
};

class FrameError : public std::exception
{
public:
    explicit FrameError(ResultCode code)
        : m_code(code)
    {
    }
    ResultCode code() const
    {
        return m_code;
    }

private:
    ResultCode m_code;
};

//! nlohmann::json converts implicitly between number types; a peer's frame must contain the expected type.
std::uint64_t decodeUnsigned(const json &value)
{
    if (!value.is_number_unsigned()) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    return value.get<std::uint64_t>();
}

std::int64_t decodeInteger(const json &value)
{
    if (!value.is_number_integer()
        || (value.is_number_unsigned() && value.get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max())) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    return value.get<std::int64_t>();
}

int decodeInt(const json &value)
{
    const std::int64_t number = decodeInteger(value);
    if (number < std::numeric_limits<int>::min() || number > std::numeric_limits<int>::max()) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    return static_cast<int>(number);
}

double decodeFinite(const json &value)
{
    const double number = value.get<double>();
    if (!std::isfinite(number)) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    return number;
}

json encodeTicketId(const TicketId &id)
{
    return json::array({id.issuer.value(), id.sequence});
}

TicketId decodeTicketId(const json &value)
{
    return {Incarnation(decodeUnsigned(value.at(0))), decodeUnsigned(value.at(1))};
}

json encodeTicket(const Ticket &ticket)
{
    return json::array({ticket.id.issuer.value(), ticket.id.sequence, ticket.executor.value(), ticket.executorIncarnation.value()});
}

Ticket decodeTicket(const json &value)
{
    return {decodeTicketId(value), InstanceId(value.at(2).get<std::string>()), Incarnation(decodeUnsigned(value.at(3)))};
}

//! Encodes the method, the target, and the alternating names and values of the fields as an array.
json encodeHead(const HttpHead &head)
{
    json value = json::array({head.method, head.target});
    for (const auto &[name, text] : head.fields) {
        value.push_back(name);
        value.push_back(text);
    }
    return value;
}

HttpHead decodeHead(const json &value)
{
    if (!value.is_array() || value.size() < 2 || value.size() % 2 != 0) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    HttpHead head{value[0].get<std::string>(), value[1].get<std::string>(), {}};
    for (std::size_t i = 2; i < value.size(); i += 2) {
        head.fields.emplace_back(value[i].get<std::string>(), value[i + 1].get<std::string>());
    }
    return head;
}

void encodePayload(json &value, const Payload &payload)
{
    value["status"] = payload.status;
    value["type"] = payload.contentType;
    if (payload.head) {
        value["head"] = encodeHead(*payload.head);
    }
    if (payload.body) {
        value["body"] = json::binary(std::vector<std::uint8_t>(payload.body->begin(), payload.body->end()));
    }
}

Payload decodePayload(const json &value)
{
    Payload payload;
    payload.status = decodeInt(value.at("status"));
    payload.contentType = value.at("type").get<std::string>();
    if (const auto head = value.find("head"); head != value.end()) {
        payload.head = std::make_shared<const HttpHead>(decodeHead(*head));
    }
    if (const auto body = value.find("body"); body != value.end()) {
        const auto &bytes = body->get_binary();
        if (bytes.size() > maxBodyBytes) {
            throw FrameError(ResultCode::FrameTooLarge);
        }
        payload.body = std::make_shared<const std::string>(bytes.begin(), bytes.end());
    }
    return payload;
}

int decodeRetryAllowance(const json &value)
{
    const int allowance = decodeInt(value.at("allowance"));
    if (allowance < 0 || allowance > maxRetryAllowance) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    return allowance;
}

json encode(const HelloMessage &m)
{
    return {{"kind", "hello"},
            {"major", m.major},
            {"instance", m.instance.value()},
            {"incarnation", m.incarnation.value()},
            {"service", m.service.value()},
            {"dataCentre", m.dataCentre.value()},
            {"slots", m.slots}};
}

HelloMessage decodeHello(const json &v)
{
    HelloMessage m;
    m.major = decodeInt(v.at("major"));
    if (m.major != peerProtocolMajor) {
        throw FrameError(ResultCode::VersionUnsupported);
    }
    m.instance = InstanceId(v.at("instance").get<std::string>());
    m.incarnation = Incarnation(decodeUnsigned(v.at("incarnation")));
    m.service = ServiceName(v.at("service").get<std::string>());
    m.dataCentre = DataCentreName(v.at("dataCentre").get<std::string>());
    m.slots = decodeInt(v.at("slots"));
    return m;
}

json encode(const CallMessage &m)
{
    json v = {{"kind", "call"},
              {"ticket", encodeTicket(m.ticket)},
              {"request", m.context.request.value()},
              {"customer", m.context.customer.value()},
              {"operation", m.context.operation.value()},
              {"rank", m.context.rank},
              {"depth", m.context.depth},
              {"repeated", m.context.branchMayHaveRun},
              {"idempotent", m.context.idempotent},
              {"remaining", std::max<std::int64_t>(0, m.remaining.count())},
              {"allowance", m.retryAllowance}};
    if (!m.context.backend.isEmpty()) {
        v["backend"] = m.context.backend.value();
    }
    encodePayload(v, m.payload);
    return v;
}

CallMessage decodeCall(const json &v)
{
    CallMessage m;
    m.ticket = decodeTicket(v.at("ticket"));
    m.context.request = RequestId(v.at("request").get<std::string>());
    m.context.customer = CustomerName(v.at("customer").get<std::string>());
    m.context.operation = OperationName(v.at("operation").get<std::string>());
    m.context.rank = decodeFinite(v.at("rank"));
    m.context.depth = decodeInt(v.at("depth"));
    m.context.branchMayHaveRun = v.at("repeated").get<bool>();
    m.context.idempotent = v.at("idempotent").get<bool>();
    m.context.backend = BackendId(v.value("backend", std::string()));
    const auto remaining = decodeUnsigned(v.at("remaining"));
    constexpr double maxRank = 1001;
    if (remaining > maxDurationMicroseconds || !(m.context.rank >= 0 && m.context.rank <= maxRank)) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    m.remaining = Duration(static_cast<std::int64_t>(remaining));
    m.retryAllowance = decodeRetryAllowance(v);
    m.payload = decodePayload(v);
    return m;
}

std::vector<ServiceCost> decodeCosts(const json &value)
{
    constexpr std::size_t maxCosts = 64;
    if (value.size() > maxCosts) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    std::vector<ServiceCost> costs;
    for (const json &cost : value) {
        costs.push_back({ServiceName(cost.at(0).get<std::string>()), std::max(0.0, decodeFinite(cost.at(1)))});
    }
    return costs;
}

json encode(const ResponseMessage &m)
{
    json v = {{"kind", "answer"},
              {"ticket", encodeTicketId(m.ticket)},
              {"code", static_cast<int>(m.code)},
              {"allowance", m.retryAllowance},
              {"price", m.price},
              {"load", m.load}};
    for (const ServiceCost &cost : m.costs) {
        v["costs"].push_back({cost.service.value(), cost.seconds});
    }
    encodePayload(v, m.payload);
    return v;
}

ResponseMessage decodeAnswer(const json &v)
{
    ResponseMessage m;
    m.ticket = decodeTicketId(v.at("ticket"));
    const int number = decodeInt(v.at("code"));
    constexpr int firstCallCode = 1000;
    constexpr int lastCallCode = 3999;
    if (number < firstCallCode || number > lastCallCode || findResultCode(number) == nullptr) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    m.code = static_cast<ResultCode>(number);
    m.retryAllowance = decodeRetryAllowance(v);
    m.price = decodeFinite(v.at("price"));
    m.load = v.contains("load") ? decodeFinite(v.at("load")) : 0;
    if (const auto costs = v.find("costs"); costs != v.end()) {
        m.costs = decodeCosts(*costs);
    }
    m.payload = decodePayload(v);
    return m;
}

json encode(const CancelMessage &m)
{
    return {{"kind", "cancel"}, {"ticket", encodeTicketId(m.ticket)}};
}

json encode(const VoidTicketMessage &m)
{
    return {{"kind", "void"}, {"ticket", encodeTicket(m.ticket)}};
}

json encode(const StatusMessage &m)
{
    json v = {{"kind", "status"},
              {"draining", m.draining},
              {"drainSeen", m.drainAcknowledged},
              {"incarnation", m.incarnation.value()},
              {"configuration", m.configurationRevision.value()},
              {"instances", m.instancesRevision.value()},
              {"clearing", m.clearingRank}};
    if (m.storeAvailableFor) {
        v["storeAvailable"] = m.storeAvailableFor->count();
    }
    return v;
}

StatusMessage decodeStatus(const json &v)
{
    StatusMessage m;
    m.draining = v.at("draining").get<bool>();
    m.drainAcknowledged = v.value("drainSeen", false);
    m.incarnation = Incarnation(decodeUnsigned(v.at("incarnation")));
    m.configurationRevision = Revision(decodeUnsigned(v.at("configuration")));
    m.instancesRevision = Revision(decodeUnsigned(v.at("instances")));
    m.clearingRank = v.contains("clearing") ? decodeFinite(v.at("clearing")) : 0;
    if (v.contains("storeAvailable")) {
        m.storeAvailableFor = Duration(static_cast<std::int64_t>(std::min(decodeUnsigned(v.at("storeAvailable")), maxStoreAvailability)));
    }
    return m;
}

json encodeCustomerMap(const std::map<CustomerName, std::string> &values)
{
    json v = json::object();
    for (const auto &[customer, text] : values) {
        v[customer.value()] = text;
    }
    return v;
}

std::map<CustomerName, std::string> decodeCustomerMap(const json &v)
{
    std::map<CustomerName, std::string> values;
    for (const auto &[customer, text] : v.items()) {
        values[CustomerName(customer)] = text.get<std::string>();
    }
    return values;
}

json encode(const ConfigurationRequest &m)
{
    return {{"kind", "getConfiguration"}, {"held", m.heldRevision.value()}, {"digests", encodeCustomerMap(m.heldDigests)}};
}

json encode(const ConfigurationMessage &m)
{
    return {{"kind", "configuration"}, {"manifest", m.manifest}, {"contracts", encodeCustomerMap(m.contractTexts)}};
}

json encode(const InstancesRequest &m)
{
    return {{"kind", "getInstances"}, {"held", m.heldRevision.value()}};
}

json encode(const InstancesMessage &m)
{
    return {{"kind", "instances"}, {"document", m.document}};
}

PeerMessage decodeMessage(const json &v)
{
    const auto kind = v.at("kind").get<std::string>();
    if (kind == "call") {
        return decodeCall(v);
    }
    if (kind == "answer") {
        return decodeAnswer(v);
    }
    if (kind == "status") {
        return decodeStatus(v);
    }
    if (kind == "hello") {
        return decodeHello(v);
    }
    if (kind == "cancel") {
        return CancelMessage{decodeTicketId(v.at("ticket"))};
    }
    if (kind == "void") {
        return VoidTicketMessage{decodeTicket(v.at("ticket"))};
    }
    if (kind == "getConfiguration") {
        return ConfigurationRequest{Revision(decodeUnsigned(v.at("held"))), decodeCustomerMap(v.at("digests"))};
    }
    if (kind == "configuration") {
        return ConfigurationMessage{v.at("manifest").get<std::string>(), decodeCustomerMap(v.at("contracts"))};
    }
    if (kind == "getInstances") {
        return InstancesRequest{Revision(decodeUnsigned(v.at("held")))};
    }
    if (kind == "instances") {
        return InstancesMessage{v.at("document").get<std::string>()};
    }
    throw FrameError(ResultCode::FrameMalformed);
}

std::optional<std::uint64_t> parseNumber(const std::string &text, int base)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number, base);
    if (error != std::errc() || rest != end) {
        return std::nullopt;
    }
    return number;
}

std::string toHexadecimal(std::uint64_t number)
{
    char text[17] = {};
    std::to_chars(text, text + sizeof text - 1, number, hexadecimal);
    return text;
}

} // namespace

std::string encodeFrame(const PeerFrame &frame)
{
    json value = std::visit([](const auto &message) { return encode(message); }, frame.message);
    value["sent"] = frame.sentAt.time_since_epoch().count();
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

std::error_code decodeFrame(const std::string &bytes, PeerFrame &frame)
{
    if (bytes.size() > maxFrameBytes) {
        return ResultCode::FrameTooLarge;
    }
    FrameInspector inspector;
    try {
        if (!json::sax_parse(bytes, &inspector, json::input_format_t::cbor)) {
            return ResultCode::FrameMalformed;
        }
        const json value = json::from_cbor(bytes);
        frame.message = decodeMessage(value);
        frame.sentAt = TimePoint(Duration(decodeInteger(value.at("sent"))));
    } catch (const FrameError &error) {
        return error.code();
    } catch (const std::exception &) {
        return ResultCode::FrameMalformed;
    }
    return {};
}

std::string formatTicket(const Ticket &ticket)
{
    return ticket.executor.value() + "/" + toHexadecimal(ticket.executorIncarnation.value()) + "/" + toHexadecimal(ticket.id.issuer.value())
        + "/" + std::to_string(ticket.id.sequence);
}

std::optional<Ticket> parseTicket(const std::string &text)
{
    const auto first = text.find('/');
    const auto second = first == std::string::npos ? first : text.find('/', first + 1);
    const auto third = second == std::string::npos ? second : text.find('/', second + 1);
    if (third == std::string::npos || first == 0) {
        return std::nullopt;
    }
    const auto incarnation = parseNumber(text.substr(first + 1, second - first - 1), hexadecimal);
    const auto issuer = parseNumber(text.substr(second + 1, third - second - 1), hexadecimal);
    constexpr int decimal = 10;
    const auto sequence = parseNumber(text.substr(third + 1), decimal);
    if (!incarnation || !issuer || !sequence) {
        return std::nullopt;
    }
    return Ticket{{Incarnation(*issuer), *sequence}, InstanceId(text.substr(0, first)), Incarnation(*incarnation)};
}

} // namespace chervilpaddle
