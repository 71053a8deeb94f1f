#include <chervilpaddle/peer/internal/cborwriter.h>

#include <array>
#include <cbor.h>
#include <utility>

namespace chervilpaddle::detail {

namespace {

//! Longest encoding of a number or of the start of an item.
constexpr std::size_t maxHeadBytes = 9;

template<typename Value>
void appendHead(std::string &bytes, std::size_t (*encode)(Value, unsigned char *, std::size_t), Value value)
{
    std::array<unsigned char, maxHeadBytes> head{};
    const std::size_t size = encode(value, head.data(), head.size());
    bytes.append(head.begin(), head.begin() + size);
}

} // namespace

void CborWriter::startArray(std::size_t size)
{
    appendHead(m_bytes, &cbor_encode_array_start, size);
}

void CborWriter::startMap(std::size_t pairs)
{
    appendHead(m_bytes, &cbor_encode_map_start, pairs);
}

void CborWriter::write(std::string_view text)
{
    appendHead(m_bytes, &cbor_encode_string_start, text.size());
    m_bytes.append(text);
}

void CborWriter::write(const char *text)
{
    write(std::string_view(text));
}

void CborWriter::write(bool value)
{
    appendHead(m_bytes, &cbor_encode_bool, value);
}

void CborWriter::write(double value)
{
    appendHead(m_bytes, &cbor_encode_double, value);
}

void CborWriter::write(int value)
{
    write(std::int64_t(value));
}

void CborWriter::write(std::int64_t value)
{
    if (value < 0) {
        // CBOR encodes a negative number n as -1 - n.
        appendHead(m_bytes, &cbor_encode_negint, static_cast<std::uint64_t>(-1 - value));
        return;
    }
    write(static_cast<std::uint64_t>(value));
}

void CborWriter::write(std::uint64_t value)
{
    appendHead(m_bytes, &cbor_encode_uint, value);
}

void CborWriter::writeBytes(std::string_view bytes)
{
    appendHead(m_bytes, &cbor_encode_bytestring_start, bytes.size());
    m_bytes.append(bytes);
}

void CborWriter::append(const CborWriter &items)
{
    m_bytes += items.m_bytes;
}

const std::string &CborWriter::bytes() const
{
    return m_bytes;
}

std::string CborWriter::takeBytes()
{
    return std::exchange(m_bytes, {});
}

void CborWriter::reserve(std::size_t bytes)
{
    m_bytes.reserve(bytes);
}

} // namespace chervilpaddle::detail
