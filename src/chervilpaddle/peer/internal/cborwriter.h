#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilpaddle::detail {

//! Appends CBOR items to a string. Precondition: as many items follow the start of an array or a map as announced.
//! Not thread-safe.
class CborWriter
{
public:
    void startArray(std::size_t size);
    void startMap(std::size_t pairs);
    void write(std::string_view text);
    void write(const char *text);
    void write(bool value);
    void write(double value);
    void write(int value);
    void write(std::int64_t value);
    void write(std::uint64_t value);
    void writeBytes(std::string_view bytes);
    //! Appends items that another writer has encoded.
    void append(const CborWriter &items);

    const std::string &bytes() const;
    //! Moves the items out; the writer is empty afterwards.
    std::string takeBytes();
    //! Allocates room for so many bytes at once.
    void reserve(std::size_t bytes);

private:
    std::string m_bytes;
};

} // namespace chervilpaddle::detail
