#pragma once

#include <chervilpaddle/base/units.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilpaddle {

//! Maximum size of the head of a request or response.
constexpr std::uint32_t maxHeaderBytes = 16 * kibibyte;
//! Bounds what is read ahead of the parser. Body bytes leave the buffer at once, whereas a line without an end stays in it.
constexpr std::size_t maxReadAheadBytes = 128 * kibibyte;

//! Header fields in insertion order; names are compared case-insensitively.
class HttpHeaders
{
public:
    //! Appends a field; existing fields of the same name are kept.
    void add(std::string name, std::string value);
    //! Returns the value of the first field with this name, or nullptr.
    const std::string *find(std::string_view name) const;
    //! Returns the value of the first field with this name, or the fallback if there is none.
    std::string valueOr(std::string_view name, const std::string &fallback) const;
    const std::vector<std::pair<std::string, std::string>> &fields() const;
    //! Moves the fields out.
    std::vector<std::pair<std::string, std::string>> takeFields();

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    //! Closes the connection after this response.
    bool close = false;
};

//! Header field names as documented in docs/INTERFACE.md.
namespace headers {
constexpr const char *customer = "Chervilpaddle-Customer";
constexpr const char *request = "Chervilpaddle-Request";
constexpr const char *deadline = "Chervilpaddle-Deadline-Ms";
constexpr const char *ticket = "Chervilpaddle-Ticket";
constexpr const char *attempt = "Chervilpaddle-Attempt";
constexpr const char *ticketAttempt = "Chervilpaddle-Ticket-Attempt";
constexpr const char *outcome = "Chervilpaddle-Outcome";
constexpr const char *code = "Chervilpaddle-Code";
constexpr const char *attempts = "Chervilpaddle-Attempts";
constexpr const char *retries = "Chervilpaddle-Repeats";
constexpr const char *context = "Chervilpaddle-Context";
constexpr const char *notRun = "Chervilpaddle-Not-Run";
constexpr const char *leaving = "Chervilpaddle-Leaving";
constexpr const char *contentType = "Content-Type";
} // namespace headers

//! Creates a response with a body of the given media type.
HttpResponse textResponse(int status, const std::string &type, std::string body);

} // namespace chervilpaddle
