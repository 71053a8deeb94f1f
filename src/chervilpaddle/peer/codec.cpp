#include <chervilpaddle/peer/codec.h>

#include <chervilpaddle/base/httpsyntax.h>
#include <chervilpaddle/peer/internal/cborreader.h>
#include <chervilpaddle/peer/internal/cborwriter.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace chervilpaddle {

namespace {

using detail::CborDocument;
using detail::CborValue;
using detail::CborWriter;

constexpr detail::CborLimits frameLimits{4, 50'000};
constexpr std::uint64_t maxDurationMicroseconds = 3'600'000'000ULL;
//! The time for which the store has been available is not distinguished beyond a day.
constexpr std::uint64_t maxStoreAvailability = 86'400'000'000;
constexpr int maxRetryAllowance = 1'000;
constexpr int hexadecimal = 16;
constexpr int maxHttpStatus = 999;
//! Longest encoding of the start of a map.
constexpr std::size_t maxMapHeadBytes = 9;
//! Room for the fields of an ordinary call without its body.
constexpr std::size_t initialFieldBytes = 1024;

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

//! Writes the fields of a frame, whose number is known only after the last one.
class FieldWriter
{
public:
    FieldWriter()
    {
        m_fields.reserve(initialFieldBytes);
    }

    //! Starts a field; its value is to be written next.
    CborWriter &startField(std::string_view name)
    {
        ++m_count;
        m_fields.write(name);
        return m_fields;
    }
    template<typename Value>
    void field(std::string_view name, const Value &value)
    {
        startField(name).write(value);
    }

    std::string finish() const
    {
        CborWriter frame;
        frame.reserve(m_fields.bytes().size() + maxMapHeadBytes);
        frame.startMap(m_count);
        frame.append(m_fields);
        return frame.takeBytes();
    }

private:
    CborWriter m_fields;
    std::size_t m_count = 0;
};

int decodeInt(const CborValue &value)
{
    const std::int64_t number = value.integer();
    if (number < std::numeric_limits<int>::min() || number > std::numeric_limits<int>::max()) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    return static_cast<int>(number);
}

double decodeFinite(const CborValue &value)
{
    const double number = value.number();
    if (!std::isfinite(number)) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    return number;
}

std::string decodeText(const CborValue &value)
{
    return std::string(value.text());
}

void encode(CborWriter &writer, const TicketId &id)
{
    writer.startArray(2);
    writer.write(id.issuer.value());
    writer.write(id.sequence);
}

std::vector<CborValue> decodeElements(const CborValue &value, std::size_t minSize)
{
    std::vector<CborValue> elements = value.elements();
    if (elements.size() < minSize) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    return elements;
}

//! Precondition: there are two elements at least.
TicketId decodeTicketId(const std::vector<CborValue> &elements)
{
    return {Incarnation(elements[0].unsignedNumber()), elements[1].unsignedNumber()};
}

TicketId decodeTicketId(const CborValue &value)
{
    return decodeTicketId(decodeElements(value, 2));
}

constexpr std::size_t ticketElements = 4;

void encode(CborWriter &writer, const Ticket &ticket)
{
    writer.startArray(ticketElements);
    writer.write(ticket.id.issuer.value());
    writer.write(ticket.id.sequence);
    writer.write(ticket.executor.value());
    writer.write(ticket.executorIncarnation.value());
}

Ticket decodeTicket(const CborValue &value)
{
    const auto elements = decodeElements(value, ticketElements);
    return {decodeTicketId(elements), InstanceId(decodeText(elements[2])), Incarnation(elements[3].unsignedNumber())};
}

//! Encodes the method, the target, and the alternating names and values of the fields as an array.
void encode(CborWriter &writer, const HttpHead &head)
{
    writer.startArray(2 + 2 * head.fields.size());
    writer.write(head.method);
    writer.write(head.target);
    for (const auto &[name, text] : head.fields) {
        writer.write(name);
        writer.write(text);
    }
}

HttpHead decodeHead(const CborValue &value)
{
    const auto elements = decodeElements(value, 2);
    if (elements.size() % 2 != 0) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    for (const CborValue &element : elements) {
        if (element.text().size() > maxHeadTextBytes) {
            throw FrameError(ResultCode::FrameTooLarge);
        }
    }
    HttpHead head{decodeText(elements[0]), decodeText(elements[1]), {}};
    head.fields.reserve(elements.size() / 2 - 1);
    for (std::size_t i = 2; i < elements.size(); i += 2) {
        head.fields.emplace_back(elements[i].text(), elements[i + 1].text());
    }
    return head;
}

void encodePayload(FieldWriter &fields, const Payload &payload)
{
    fields.field("status", payload.status);
    fields.field("type", payload.contentType);
    if (payload.head) {
        encode(fields.startField("head"), *payload.head);
    }
    if (payload.body) {
        fields.startField("body").writeBytes(*payload.body);
    }
    if (payload.bodyBytesInParts != 0) {
        fields.field("bodyInParts", std::uint64_t(payload.bodyBytesInParts));
    }
}

std::size_t decodeBodySize(const CborValue &value)
{
    const std::uint64_t size = value.unsignedNumber();
    if (size > maxBodyBytes) {
        throw FrameError(ResultCode::FrameTooLarge);
    }
    return size;
}

Payload decodePayload(const CborValue &value)
{
    Payload payload;
    payload.status = decodeInt(value.at("status"));
    if (payload.status < 0 || payload.status > maxHttpStatus) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    payload.contentType = decodeText(value.at("type"));
    if (const auto head = value.find("head"); head) {
        payload.head = std::make_shared<const HttpHead>(decodeHead(*head));
    }
    if (const auto body = value.find("body"); body) {
        const std::string_view bytes = body->byteString();
        if (bytes.size() > maxBodyBytes) {
            throw FrameError(ResultCode::FrameTooLarge);
        }
        payload.body = std::make_shared<const std::string>(bytes);
    }
    if (const auto size = value.find("bodyInParts"); size) {
        payload.bodyBytesInParts = decodeBodySize(*size);
    }
    return payload;
}

//! Returns whether the payload of an answer can be written as a final HTTP response.
bool isHttpResponse(const Payload &payload)
{
    const auto isField = [](const auto &field) { return isHttpToken(field.first) && isHttpFieldValue(field.second); };
    const bool hasValidFields = !payload.head || std::all_of(payload.head->fields.begin(), payload.head->fields.end(), isField);
    return hasValidFields && isFinalHttpStatus(payload.status) && isHttpFieldValue(payload.contentType);
}

int decodeRetryAllowance(const CborValue &value)
{
    const int allowance = decodeInt(value.at("allowance"));
    if (allowance < 0 || allowance > maxRetryAllowance) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    return allowance;
}

void encode(FieldWriter &fields, const HelloMessage &m)
{
    fields.field("kind", "hello");
    fields.field("major", m.major);
    fields.field("instance", m.instance.value());
    fields.field("incarnation", m.incarnation.value());
    fields.field("service", m.service.value());
    fields.field("dataCentre", m.dataCentre.value());
    fields.field("slots", m.slots);
    fields.field("bodyParts", m.takesBodyParts);
}

HelloMessage decodeHello(const CborValue &v)
{
    HelloMessage m;
    m.major = decodeInt(v.at("major"));
    if (m.major != peerProtocolMajor) {
        throw FrameError(ResultCode::VersionUnsupported);
    }
    m.instance = InstanceId(decodeText(v.at("instance")));
    m.incarnation = Incarnation(v.at("incarnation").unsignedNumber());
    m.service = ServiceName(decodeText(v.at("service")));
    m.dataCentre = DataCentreName(decodeText(v.at("dataCentre")));
    m.slots = decodeInt(v.at("slots"));
    const auto takesBodyParts = v.find("bodyParts");
    m.takesBodyParts = takesBodyParts && takesBodyParts->boolean();
    return m;
}

void encode(FieldWriter &fields, const CallMessage &m)
{
    fields.field("kind", "call");
    encode(fields.startField("ticket"), m.ticket);
    fields.field("request", m.context.request.value());
    fields.field("customer", m.context.customer.value());
    fields.field("operation", m.context.operation.value());
    fields.field("rank", m.context.rank);
    fields.field("depth", m.context.depth);
    fields.field("repeated", m.context.branchMayHaveRun);
    fields.field("idempotent", m.context.idempotent);
    fields.field("remaining", std::max<std::int64_t>(0, m.remaining.count()));
    fields.field("allowance", m.retryAllowance);
    if (!m.context.backend.isEmpty()) {
        fields.field("backend", m.context.backend.value());
    }
    encodePayload(fields, m.payload);
}

CallMessage decodeCall(const CborValue &v)
{
    CallMessage m;
    m.ticket = decodeTicket(v.at("ticket"));
    m.context.request = RequestId(decodeText(v.at("request")));
    m.context.customer = CustomerName(decodeText(v.at("customer")));
    m.context.operation = OperationName(decodeText(v.at("operation")));
    m.context.rank = decodeFinite(v.at("rank"));
    m.context.depth = decodeInt(v.at("depth"));
    m.context.branchMayHaveRun = v.at("repeated").boolean();
    m.context.idempotent = v.at("idempotent").boolean();
    if (const auto backend = v.find("backend"); backend) {
        m.context.backend = BackendId(decodeText(*backend));
    }
    const std::uint64_t remaining = v.at("remaining").unsignedNumber();
    constexpr double maxRank = 1001;
    if (remaining > maxDurationMicroseconds || !(m.context.rank >= 0 && m.context.rank <= maxRank)) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    m.remaining = Duration(static_cast<std::int64_t>(remaining));
    m.retryAllowance = decodeRetryAllowance(v);
    m.payload = decodePayload(v);
    return m;
}

void encode(CborWriter &writer, const std::vector<ServiceCost> &costs)
{
    writer.startArray(costs.size());
    for (const ServiceCost &cost : costs) {
        writer.startArray(2);
        writer.write(cost.service.value());
        writer.write(cost.seconds);
    }
}

std::vector<ServiceCost> decodeCosts(const CborValue &value)
{
    constexpr std::size_t maxCosts = 64;
    std::vector<ServiceCost> costs;
    for (const CborValue &cost : value.elements()) {
        const auto elements = decodeElements(cost, 2);
        costs.push_back({ServiceName(decodeText(elements[0])), std::max(0.0, decodeFinite(elements[1]))});
    }
    if (costs.size() > maxCosts) {
        throw FrameError(ResultCode::FrameMalformed);
    }
    return costs;
}

void encode(FieldWriter &fields, const ResponseMessage &m)
{
    fields.field("kind", "answer");
    encode(fields.startField("ticket"), m.ticket);
    fields.field("code", static_cast<int>(m.code));
    fields.field("allowance", m.retryAllowance);
    fields.field("price", m.price);
    fields.field("load", m.load);
    if (!m.costs.empty()) {
        encode(fields.startField("costs"), m.costs);
    }
    encodePayload(fields, m.payload);
}

ResponseMessage decodeAnswer(const CborValue &v)
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
    if (const auto load = v.find("load"); load) {
        m.load = decodeFinite(*load);
    }
    if (const auto costs = v.find("costs"); costs) {
        m.costs = decodeCosts(*costs);
    }
    m.payload = decodePayload(v);
    // A peer of an older build passes on malformed responses. Rejecting the frame would close the link, and end all calls on it.
    if (outcomeOf(m.code) == Outcome::Done && !isHttpResponse(m.payload)) {
        m.code = ResultCode::AnswerTruncated;
        m.payload = {};
    }
    return m;
}

void encode(FieldWriter &fields, const BodyPartMessage &m)
{
    fields.field("kind", "bodyPart");
    encode(fields.startField("ticket"), m.ticket);
    fields.field("bodyBytes", std::uint64_t(m.bodyBytes));
    fields.startField("bytes").writeBytes(m.bytes);
}

void encode(FieldWriter &fields, const CancelMessage &m)
{
    fields.field("kind", "cancel");
    encode(fields.startField("ticket"), m.ticket);
}

void encode(FieldWriter &fields, const VoidTicketMessage &m)
{
    fields.field("kind", "void");
    encode(fields.startField("ticket"), m.ticket);
}

void encodeEra(FieldWriter &fields, std::string_view name, const std::optional<StoreEra> &era)
{
    if (era) {
        fields.field(name, era->value());
    }
}

std::optional<StoreEra> decodeEra(const CborValue &value, std::string_view name)
{
    const auto era = value.find(name);
    return era ? std::optional<StoreEra>(era->unsignedNumber()) : std::nullopt;
}

void encode(FieldWriter &fields, const StatusMessage &m)
{
    fields.field("kind", "status");
    fields.field("draining", m.draining);
    fields.field("drainSeen", m.drainAcknowledged);
    fields.field("incarnation", m.incarnation.value());
    fields.field("configuration", m.configurationRevision.value());
    fields.field("instances", m.instancesRevision.value());
    encodeEra(fields, "configurationEra", m.configurationEra);
    encodeEra(fields, "instancesEra", m.instancesEra);
    fields.field("clearing", m.clearingRank);
    if (m.storeAvailableFor) {
        fields.field("storeAvailable", std::int64_t(m.storeAvailableFor->count()));
    }
    if (m.routesVersion.value() != 0) {
        fields.field("routesVersion", m.routesVersion.value());
    }
}

StatusMessage decodeStatus(const CborValue &v)
{
    StatusMessage m;
    m.draining = v.at("draining").boolean();
    if (const auto acknowledged = v.find("drainSeen"); acknowledged) {
        m.drainAcknowledged = acknowledged->boolean();
    }
    m.incarnation = Incarnation(v.at("incarnation").unsignedNumber());
    m.configurationRevision = Revision(v.at("configuration").unsignedNumber());
    m.instancesRevision = Revision(v.at("instances").unsignedNumber());
    m.configurationEra = decodeEra(v, "configurationEra");
    m.instancesEra = decodeEra(v, "instancesEra");
    if (const auto clearing = v.find("clearing"); clearing) {
        m.clearingRank = decodeFinite(*clearing);
    }
    if (const auto available = v.find("storeAvailable"); available) {
        m.storeAvailableFor = Duration(static_cast<std::int64_t>(std::min(available->unsignedNumber(), maxStoreAvailability)));
    }
    if (const auto version = v.find("routesVersion"); version) {
        m.routesVersion = Revision(version->unsignedNumber());
    }
    return m;
}

void encode(CborWriter &writer, const std::map<CustomerName, std::string> &values)
{
    writer.startMap(values.size());
    for (const auto &[customer, text] : values) {
        writer.write(customer.value());
        writer.write(text);
    }
}

std::map<CustomerName, std::string> decodeCustomerMap(const CborValue &v)
{
    std::map<CustomerName, std::string> values;
    const auto keysAndValues = v.keysAndValues();
    for (std::size_t i = 0; i < keysAndValues.size(); i += 2) {
        values[CustomerName(decodeText(keysAndValues[i]))] = decodeText(keysAndValues[i + 1]);
    }
    return values;
}

void encode(FieldWriter &fields, const ConfigurationRequest &m)
{
    fields.field("kind", "getConfiguration");
    fields.field("held", m.heldRevision.value());
    encodeEra(fields, "era", m.heldEra);
    encode(fields.startField("digests"), m.heldDigests);
}

void encode(FieldWriter &fields, const ConfigurationMessage &m)
{
    fields.field("kind", "configuration");
    fields.field("manifest", m.manifest);
    encode(fields.startField("contracts"), m.contractTexts);
}

void encode(FieldWriter &fields, const InstancesRequest &m)
{
    fields.field("kind", "getInstances");
    fields.field("held", m.heldRevision.value());
    encodeEra(fields, "era", m.heldEra);
}

void encode(FieldWriter &fields, const InstancesMessage &m)
{
    fields.field("kind", "instances");
    fields.field("document", m.document);
}

void encode(FieldWriter &fields, const RoutesRequest &m)
{
    fields.field("kind", "getRoutes");
    fields.field("held", m.heldVersion.value());
}

void encode(FieldWriter &fields, const RoutesMessage &m)
{
    fields.field("kind", "routes");
    fields.field("document", m.document);
}

PeerMessage decodeMessage(const CborValue &v)
{
    const std::string_view kind = v.at("kind").text();
    if (kind == "call") {
        return decodeCall(v);
    }
    if (kind == "answer") {
        return decodeAnswer(v);
    }
    if (kind == "bodyPart") {
        return BodyPartMessage{decodeTicketId(v.at("ticket")), decodeBodySize(v.at("bodyBytes")), std::string(v.at("bytes").byteString())};
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
        return ConfigurationRequest{Revision(v.at("held").unsignedNumber()), decodeCustomerMap(v.at("digests")), decodeEra(v, "era")};
    }
    if (kind == "configuration") {
        return ConfigurationMessage{decodeText(v.at("manifest")), decodeCustomerMap(v.at("contracts"))};
    }
    if (kind == "getInstances") {
        return InstancesRequest{Revision(v.at("held").unsignedNumber()), decodeEra(v, "era")};
    }
    if (kind == "instances") {
        return InstancesMessage{decodeText(v.at("document"))};
    }
    if (kind == "getRoutes") {
        return RoutesRequest{Revision(v.at("held").unsignedNumber())};
    }
    if (kind == "routes") {
        return RoutesMessage{decodeText(v.at("document"))};
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
    FieldWriter fields;
    std::visit([&fields](const auto &message) { encode(fields, message); }, frame.message);
    fields.field("sent", std::int64_t(frame.sentAt.time_since_epoch().count()));
    return fields.finish();
}

std::error_code decodeFrame(const std::string &bytes, PeerFrame &frame)
{
    if (bytes.size() > maxFrameBytes) {
        return ResultCode::FrameTooLarge;
    }
    const auto document = CborDocument::parse(bytes, frameLimits);
    if (!document) {
        return ResultCode::FrameMalformed;
    }
    try {
        frame.message = decodeMessage(document->root());
        frame.sentAt = TimePoint(Duration(document->root().at("sent").integer()));
    } catch (const FrameError &error) {
        return error.code();
    } catch (const detail::CborError &) {
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
