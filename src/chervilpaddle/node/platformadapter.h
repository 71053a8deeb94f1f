#pragma once

#include <chervilpaddle/controllers/configurationsync.h>
#include <chervilpaddle/transport/httpclient.h>

namespace chervilpaddle {

//! Reads and watches the platform's configuration service over HTTP. Belongs to the core thread.
class PlatformAdapter
{
public:
    PlatformAdapter(boost::asio::io_context &context, const Endpoint &address);

    void read(const std::string &key, ConfigurationSync::PlatformReply reply);
    void watch(const std::string &key, Revision after, ConfigurationSync::PlatformReply reply);

private:
    HttpClient m_client;
};

} // namespace chervilpaddle
