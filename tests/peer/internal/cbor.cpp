#include <chervilpaddle/peer/internal/cborreader.h>
#include <chervilpaddle/peer/internal/cborwriter.h>

#include <criterion/criterion.h>
#include <limits>
#include <nlohmann/json.hpp>

using namespace chervilpaddle::detail;
using nlohmann::json;

namespace {

constexpr CborLimits limits{3, 100};

//! Encodes with a second implementation, so that reader and writer cannot agree on the same mistake.
std::string encoded(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

bool isAccepted(const std::string &bytes)
{
    return CborDocument::parse(bytes, limits).has_value();
}

template<typename Read>
bool throwsCborError(const Read &read)
{
    try {
        read();
    } catch (const CborError &) {
        return true;
    }
    return false;
}

} // namespace

Test(cbor, reads_numbers_of_every_length)
{
    const std::vector<std::int64_t> numbers = {
        0, 23, 24, 255, 256, 65535, 65536, 4294967296, -1, -24, -25, -257, -65537, -4294967297, std::numeric_limits<std::int64_t>::min()};
    for (const std::int64_t number : numbers) {
        const std::string bytes = encoded(number);
        const auto document = CborDocument::parse(bytes, limits);
        cr_assert(document.has_value());
        cr_expect_eq(document->root().integer(), number);
    }
    const std::string largest = encoded(std::numeric_limits<std::uint64_t>::max());
    const auto document = CborDocument::parse(largest, limits);
    cr_assert_eq(document->root().unsignedNumber(), std::numeric_limits<std::uint64_t>::max());
    cr_assert(throwsCborError([&] { document->root().integer(); }));
}

Test(cbor, reads_nested_containers)
{
    const std::string bytes = encoded({{"a", {1, json::array(), 3}}, {"b", {{"c", "text"}}}, {"d", true}});
    const auto document = CborDocument::parse(bytes, limits);
    cr_assert(document.has_value());
    const CborValue root = document->root();
    const auto elements = root.at("a").elements();
    cr_assert_eq(elements.size(), 3);
    cr_assert(elements[1].elements().empty());
    cr_assert_eq(elements[2].unsignedNumber(), 3);
    cr_assert(root.at("b").at("c").text() == "text");
    cr_assert(root.at("d").boolean());
    cr_assert_not(root.find("c").has_value());
    cr_assert(throwsCborError([&] { root.at("missing"); }));
    cr_assert(throwsCborError([&] { root.at("d").text(); }));
    cr_assert(throwsCborError([&] { root.at("a").at("x"); }));
}

Test(cbor, a_key_that_is_not_a_text_is_no_match)
{
    // {1: 2, "a": 3}
    const std::string bytes("\xA2\x01\x02\x61\x61\x03", 6);
    const auto document = CborDocument::parse(bytes, limits);
    cr_assert(document.has_value());
    cr_assert_eq(document->root().at("a").unsignedNumber(), 3);
}

Test(cbor, limits_nesting_and_items)
{
    cr_assert(isAccepted(encoded(json::array({json::array({json::array()})}))));
    cr_assert_not(isAccepted(encoded(json::array({json::array({json::array({json::array()})})}))));
    cr_assert(isAccepted(encoded(std::vector<int>(99, 1))));
    cr_assert_not(isAccepted(encoded(std::vector<int>(100, 1))));
}

Test(cbor, announced_sizes_beyond_the_bytes_are_rejected)
{
    cr_assert_not(isAccepted(std::string("\x9B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9)));
    cr_assert_not(isAccepted(std::string("\xBB\x80\x00\x00\x00\x00\x00\x00\x00", 9)));
    cr_assert_not(isAccepted(std::string("\x7B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9)));
    cr_assert_not(isAccepted(std::string("\x5B\x00\x00\x00\x00\x7F\xFF\xFF\xFF", 9)));
    cr_assert_not(isAccepted("\x82\x01"));
}

Test(cbor, tags_indefinite_lengths_and_trailing_bytes_are_rejected)
{
    cr_assert_not(isAccepted(""));
    cr_assert_not(isAccepted("\xC1\x01"));
    cr_assert_not(isAccepted("\x9F\x01\xFF"));
    cr_assert_not(isAccepted("\xBF\xFF"));
    cr_assert_not(isAccepted("\x7F\x61\x61\xFF"));
    cr_assert_not(isAccepted("\x5F\x41\x61\xFF"));
    cr_assert_not(isAccepted("\xFF"));
    cr_assert_not(isAccepted("\x01\x02"));
}

Test(cbor, what_is_written_is_read_by_another_implementation)
{
    CborWriter writer;
    writer.startMap(4);
    writer.write("numbers");
    writer.startArray(4);
    writer.write(std::numeric_limits<std::uint64_t>::max());
    writer.write(std::numeric_limits<std::int64_t>::min());
    writer.write(-25);
    writer.write(0.1);
    writer.write("flag");
    writer.write(false);
    writer.write("text");
    writer.write(std::string(300, 'x'));
    writer.write("bytes");
    writer.writeBytes(std::string_view("\0\xFF", 2));
    const json value = json::from_cbor(writer.bytes());
    cr_assert_eq(value["numbers"][0].get<std::uint64_t>(), std::numeric_limits<std::uint64_t>::max());
    cr_assert_eq(value["numbers"][1].get<std::int64_t>(), std::numeric_limits<std::int64_t>::min());
    cr_assert_eq(value["numbers"][2].get<int>(), -25);
    cr_assert_eq(value["numbers"][3].get<double>(), 0.1);
    cr_assert_not(value["flag"].get<bool>());
    cr_assert_eq(value["text"].get<std::string>().size(), 300);
    cr_assert_eq(value["bytes"].get_binary().size(), 2);
}
