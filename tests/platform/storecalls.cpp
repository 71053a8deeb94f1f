#include "../transport/scriptedserver.h"

#include <platform/storecalls.h>

#include <criterion/criterion.h>
#include <optional>

using namespace chervilpaddle;
using namespace chervilpaddle::tests;
using namespace std::chrono_literals;

namespace {

Script response(int status, const std::string &body)
{
    return {"HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

//! Reads a store that responds to as many requests as there are scripts, and is silent afterwards.
struct ScriptedStore
{
    explicit ScriptedStore(std::vector<Script> scripts)
        : server(context, std::move(scripts))
        , client(context, HttpClient::Options{server.address(), 64 * 1024})
        , reader(platform::storeReader(client))
    {
    }

    StoreStatus watch()
    {
        std::optional<StoreStatus> status;
        reader.watch("servers/", Revision(1), 10ms, [&](const StoreChanges &changes) {
            status = changes.status;
            context.stop();
        });
        context.restart();
        context.run_for(10s);
        cr_assert(status.has_value());
        return *status;
    }

    boost::asio::io_context context;
    ScriptedServer server;
    HttpClient client;
    StoreReader reader;
};

} // namespace

//! Guards against logs and metrics in which a connection that has become silent looks like a store that refuses requests.
Test(storecalls, a_silent_connection_is_told_from_a_store_that_refuses)
{
    ScriptedStore store({response(503, "{}"), {"", true}});
    cr_expect_eq(store.watch(), StoreStatus::Failed);
    cr_expect_eq(store.watch(), StoreStatus::Failed, "the connection is closed without a response");
    cr_expect_eq(store.watch(), StoreStatus::TimedOut);
}
