#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <vector>

namespace chervilpaddle::detail {

//! A value is missing or has another type than the reader of a document expects.
class CborError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

//! One item of a document. The items of an array or a map follow their container.
struct CborItem
{
    enum class Kind { Unsigned, Negative, Double, Boolean, Null, Text, Bytes, Array, Map };

    Kind kind = Kind::Null;
    //! Value of an unsigned number or a boolean; for a negative number n, -1 - n.
    std::uint64_t number = 0;
    double fraction = 0;
    //! Content of a text or byte string.
    std::string_view content;
    //! Number of elements of an array, or of keys and values of a map.
    std::size_t size = 0;
    //! Index of the first item after this one and all that it contains.
    std::size_t next = 0;
};

//! View of an item. It must not outlive the document. Accessors throw CborError if the item has another type.
class CborValue
{
public:
    CborValue(const std::vector<CborItem> &items, std::size_t index);

    std::uint64_t unsignedNumber() const;
    std::int64_t integer() const;
    //! Returns any number.
    double number() const;
    bool boolean() const;
    std::string_view text() const;
    std::string_view byteString() const;

    //! Returns the elements of an array.
    std::vector<CborValue> elements() const;
    //! Returns the keys and values of a map, alternating.
    std::vector<CborValue> keysAndValues() const;
    //! Returns a value of a map, or nothing if the key is missing.
    std::optional<CborValue> find(std::string_view key) const;
    //! Returns a value of a map. Errors: CborError if the key is missing.
    CborValue at(std::string_view key) const;

private:
    const CborItem &item(CborItem::Kind kind, const char *expected) const;
    std::vector<CborValue> children(const CborItem &container) const;

    const std::vector<CborItem> *m_items;
    std::size_t m_index;
};

//! Limits that a document must keep.
struct CborLimits
{
    std::size_t maxNestingDepth;
    std::size_t maxItems;
};

//! A decoded CBOR document. Strings are not copied: the bytes must outlive the document.
class CborDocument
{
public:
    //! Decodes one item that takes all bytes. Returns nothing if the bytes are malformed or truncated, exceed a limit, or
    //! contain tags or items of indefinite length.
    static std::optional<CborDocument> parse(std::string_view bytes, const CborLimits &limits);

    CborValue root() const;

private:
    std::vector<CborItem> m_items;
};

} // namespace chervilpaddle::detail
