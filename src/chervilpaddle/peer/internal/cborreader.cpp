#include <chervilpaddle/peer/internal/cborreader.h>

#include <cbor.h>
#include <limits>

namespace chervilpaddle::detail {

namespace {

//! Items of an ordinary call, allocated at once.
constexpr std::size_t initialItems = 96;

//! Receives the items of a document in the order of their bytes.
class Builder
{
public:
    Builder(std::vector<CborItem> &items, const CborLimits &limits)
        : m_items(items)
        , m_limits(limits)
    {
        m_items.reserve(initialItems);
    }

    void add(CborItem item)
    {
        m_failed = m_failed || isComplete() || m_items.size() >= m_limits.maxItems;
        if (m_failed) {
            return;
        }
        item.next = m_items.size() + 1;
        m_items.push_back(item);
        closeFullContainers();
    }

    void open(CborItem::Kind kind, std::size_t size)
    {
        m_failed = m_failed || isComplete() || m_open.size() >= m_limits.maxNestingDepth || size > m_limits.maxItems;
        if (m_failed) {
            return;
        }
        CborItem container;
        container.kind = kind;
        container.size = kind == CborItem::Kind::Map ? 2 * size : size;
        m_open.push_back({m_items.size(), container.size + 1});
        m_items.push_back(container);
        closeFullContainers();
    }

    void fail()
    {
        m_failed = true;
    }

    bool hasFailed() const
    {
        return m_failed;
    }
    bool isComplete() const
    {
        return !m_items.empty() && m_open.empty();
    }

private:
    struct OpenContainer
    {
        std::size_t index;
        //! Items still expected, including the container itself until it has been counted.
        std::size_t remaining;
    };

    void closeFullContainers()
    {
        while (!m_open.empty() && --m_open.back().remaining == 0) {
            m_items[m_open.back().index].next = m_items.size();
            m_open.pop_back();
        }
    }

    std::vector<CborItem> &m_items;
    CborLimits m_limits;
    std::vector<OpenContainer> m_open;
    bool m_failed = false;
};

Builder &builder(void *context)
{
    return *static_cast<Builder *>(context);
}

void addNumber(void *context, CborItem::Kind kind, std::uint64_t number)
{
    CborItem item;
    item.kind = kind;
    item.number = number;
    builder(context).add(item);
}

template<CborItem::Kind kind, typename Number>
void addNumber(void *context, Number number)
{
    addNumber(context, kind, number);
}

template<typename Number>
void addFraction(void *context, Number number)
{
    CborItem item;
    item.kind = CborItem::Kind::Double;
    item.fraction = number;
    builder(context).add(item);
}

template<CborItem::Kind kind>
void addString(void *context, cbor_data data, std::size_t size)
{
    CborItem item;
    item.kind = kind;
    item.content = {reinterpret_cast<const char *>(data), size};
    builder(context).add(item);
}

template<CborItem::Kind kind>
void openContainer(void *context, std::size_t size)
{
    builder(context).open(kind, size);
}

void fail(void *context)
{
    builder(context).fail();
}

void failOnTag(void *context, std::uint64_t /*tag*/)
{
    builder(context).fail();
}

cbor_callbacks makeCallbacks()
{
    using Kind = CborItem::Kind;
    cbor_callbacks callbacks{};
    callbacks.uint8 = &addNumber<Kind::Unsigned, std::uint8_t>;
    callbacks.uint16 = &addNumber<Kind::Unsigned, std::uint16_t>;
    callbacks.uint32 = &addNumber<Kind::Unsigned, std::uint32_t>;
    callbacks.uint64 = &addNumber<Kind::Unsigned, std::uint64_t>;
    callbacks.negint8 = &addNumber<Kind::Negative, std::uint8_t>;
    callbacks.negint16 = &addNumber<Kind::Negative, std::uint16_t>;
    callbacks.negint32 = &addNumber<Kind::Negative, std::uint32_t>;
    callbacks.negint64 = &addNumber<Kind::Negative, std::uint64_t>;
    callbacks.boolean = &addNumber<Kind::Boolean, bool>;
    callbacks.float2 = &addFraction<float>;
    callbacks.float4 = &addFraction<float>;
    callbacks.float8 = &addFraction<double>;
    callbacks.string = &addString<Kind::Text>;
    callbacks.byte_string = &addString<Kind::Bytes>;
    callbacks.array_start = &openContainer<Kind::Array>;
    callbacks.map_start = &openContainer<Kind::Map>;
    callbacks.null = [](void *context) { builder(context).add({}); };
    callbacks.undefined = &fail;
    callbacks.string_start = &fail;
    callbacks.byte_string_start = &fail;
    callbacks.indef_array_start = &fail;
    callbacks.indef_map_start = &fail;
    callbacks.indef_break = &fail;
    callbacks.tag = &failOnTag;
    return callbacks;
}

} // namespace

CborValue::CborValue(const std::vector<CborItem> &items, std::size_t index)
    : m_items(&items)
    , m_index(index)
{
}

const CborItem &CborValue::item(CborItem::Kind kind, const char *expected) const
{
    const CborItem &item = (*m_items)[m_index];
    if (item.kind != kind) {
        throw CborError(std::string("expected ") + expected);
    }
    return item;
}

std::uint64_t CborValue::unsignedNumber() const
{
    return item(CborItem::Kind::Unsigned, "an unsigned number").number;
}

std::int64_t CborValue::integer() const
{
    const bool isNegative = (*m_items)[m_index].kind == CborItem::Kind::Negative;
    const std::uint64_t number = isNegative ? (*m_items)[m_index].number : unsignedNumber();
    if (number > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
        throw CborError("integer out of range");
    }
    return isNegative ? -1 - static_cast<std::int64_t>(number) : static_cast<std::int64_t>(number);
}

double CborValue::number() const
{
    if (const CborItem &value = (*m_items)[m_index]; value.kind == CborItem::Kind::Double) {
        return value.fraction;
    }
    return static_cast<double>(integer());
}

bool CborValue::boolean() const
{
    return item(CborItem::Kind::Boolean, "a boolean").number != 0;
}

std::string_view CborValue::text() const
{
    return item(CborItem::Kind::Text, "a text").content;
}

std::string_view CborValue::byteString() const
{
    return item(CborItem::Kind::Bytes, "a byte string").content;
}

std::vector<CborValue> CborValue::elements() const
{
    return children(item(CborItem::Kind::Array, "an array"));
}

std::vector<CborValue> CborValue::keysAndValues() const
{
    return children(item(CborItem::Kind::Map, "a map"));
}

std::vector<CborValue> CborValue::children(const CborItem &container) const
{
    std::vector<CborValue> values;
    values.reserve(container.size);
    for (std::size_t index = m_index + 1; index < container.next; index = (*m_items)[index].next) {
        values.emplace_back(*m_items, index);
    }
    return values;
}

std::optional<CborValue> CborValue::find(std::string_view key) const
{
    const CborItem &map = item(CborItem::Kind::Map, "a map");
    for (std::size_t index = m_index + 1; index < map.next;) {
        const CborItem &candidate = (*m_items)[index];
        const std::size_t valueIndex = candidate.next;
        if (candidate.kind == CborItem::Kind::Text && candidate.content == key) {
            return CborValue(*m_items, valueIndex);
        }
        index = (*m_items)[valueIndex].next;
    }
    return std::nullopt;
}

CborValue CborValue::at(std::string_view key) const
{
    const auto value = find(key);
    if (!value) {
        throw CborError("missing " + std::string(key));
    }
    return *value;
}

std::optional<CborDocument> CborDocument::parse(std::string_view bytes, const CborLimits &limits)
{
    static const cbor_callbacks callbacks = makeCallbacks();
    CborDocument document;
    Builder builder(document.m_items, limits);
    while (!bytes.empty() && !builder.hasFailed()) {
        const auto result =
            cbor_stream_decode(reinterpret_cast<cbor_data>(bytes.data()), bytes.size(), &callbacks, static_cast<void *>(&builder));
        if (result.status != CBOR_DECODER_FINISHED) {
            return std::nullopt;
        }
        bytes.remove_prefix(result.read);
    }
    if (builder.hasFailed() || !builder.isComplete()) {
        return std::nullopt;
    }
    return document;
}

CborValue CborDocument::root() const
{
    return {m_items, 0};
}

} // namespace chervilpaddle::detail
