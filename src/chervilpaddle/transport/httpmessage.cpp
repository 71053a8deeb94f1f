#include <chervilpaddle/transport/httpmessage.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <utility>

namespace chervilpaddle {

void HttpHeaders::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

const std::string *HttpHeaders::find(std::string_view name) const
{
    const auto field = std::find_if(m_fields.begin(), m_fields.end(), [&](const auto &f) {
        return boost::beast::iequals(f.first, {name.data(), name.size()});
    });
    return field == m_fields.end() ? nullptr : &field->second;
}

std::string HttpHeaders::valueOr(std::string_view name, const std::string &fallback) const
{
    const std::string *value = find(name);
    return value != nullptr ? *value : fallback;
}

const std::vector<std::pair<std::string, std::string>> &HttpHeaders::fields() const
{
    return m_fields;
}

std::vector<std::pair<std::string, std::string>> HttpHeaders::takeFields()
{
    return std::move(m_fields);
}

HttpResponse textResponse(int status, const std::string &type, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.add(headers::contentType, type);
    response.body = std::move(body);
    return response;
}

} // namespace chervilpaddle
