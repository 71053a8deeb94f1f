#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chervilpaddle {

//! Header fields in order; names compare without regard to case.
class HttpHeaders
{
public:
    //! Adds a field; one of the same name stays.
    void add(std::string name, std::string value);
    //! The first field's value, or null.
    const std::string *find(const std::string &name) const;
    //! The first field's value, or the fallback where there is none.
    std::string valueOr(const std::string &name, const std::string &fallback) const;
    const std::vector<std::pair<std::string, std::string>> &fields() const;
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
    //! Closes the connection behind this response.
    bool close = false;
};

//! Names of the header fields of docs/INTERFACE.md.
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
constexpr const char *repeats = "Chervilpaddle-Repeats";
constexpr const char *context = "Chervilpaddle-Context";
constexpr const char *notRun = "Chervilpaddle-Not-Run";
constexpr const char *leaving = "Chervilpaddle-Leaving";
constexpr const char *contentType = "Content-Type";
} // namespace headers

//! A response with a body of a media type.
HttpResponse textResponse(int status, const std::string &type, std::string body);

} // namespace chervilpaddle
