#pragma once

#include <chervilpaddle/controllers/configurationsync.h>
#include <chervilpaddle/transport/httpclient.h>

namespace chervilpaddle {

//! HTTP client of the platform's configuration service: reads values and long-polls for changes. Used on the core thread only.
class ConfigurationClient
{
public:
    ConfigurationClient(boost::asio::io_context &context, const Endpoint &address);

    void read(const std::string &key, ConfigurationSync::ResponseHandler reply);
    //! Replies once the value is newer than `after`, or as unchanged when the watch ends without a change.
    void watch(const std::string &key, Revision after, ConfigurationSync::ResponseHandler reply);

private:
    HttpClient m_client;
};

} // namespace chervilpaddle
