#include "../transport/scriptedserver.h"

#include <chervilpaddle/controllers/prefixmirror.h>
#include <chervilpaddle/transport/timers.h>
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

Script emptyChanges()
{
    return response(200, R"({"events":[],"store_revision":9})");
}

Script emptyPage()
{
    return response(200, R"({"items":[],"store_revision":9})");
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

    //! Runs until a response has been applied to the mirror or a request of it has timed out.
    void runMirror()
    {
        context.restart();
        context.run_for(10s);
    }

    PrefixMirror::Hooks mirrorHooks()
    {
        PrefixMirror::Hooks hooks;
        hooks.clock = steadyClock();
        hooks.schedule = [this](Duration delay, std::function<void()> action) { scheduleOn(context, delay, std::move(action)); };
        hooks.reader = reader;
        hooks.changed = [this] { context.stop(); };
        hooks.availabilityChanged = [](bool /*isAvailable*/) {};
        hooks.requestTimedOut = [this] {
            ++timeouts;
            context.stop();
        };
        return hooks;
    }

    boost::asio::io_context context;
    ScriptedServer server;
    HttpClient client;
    StoreReader reader;
    PrefixMirror mirror{"servers/", mirrorHooks(), 1};
    int timeouts = 0;
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

//! Guards against a retry that goes out on another connection which has become silent at the same time.
Test(storecalls, after_a_time_out_no_connection_that_was_idle_is_used_again)
{
    ScriptedStore store({emptyChanges(), emptyChanges()});
    int ended = 0;
    for (int i = 0; i < 2; ++i) {
        store.reader.watch("servers/", Revision(1), 10ms, [&](const StoreChanges & /*changes*/) { ++ended; });
    }
    while (ended < 2) {
        store.context.run_one_for(10s);
    }
    cr_assert_eq(store.server.connections(), 2);
    store.mirror.setReading(false);
    store.mirror.apply(R"({"synced":1,"lastChange":1,"items":[]})");
    store.mirror.setReading(true);
    store.runMirror();
    cr_expect_eq(store.timeouts, 1, "it takes one of the idle connections");
    cr_expect_eq(store.server.connections(), 2);
    store.runMirror();
    cr_expect_eq(store.timeouts, 2);
    cr_expect_eq(store.server.connections(), 3);
}

//! Guards against a read of all items that waits on a connection which has become silent in the pause before it.
Test(storecalls, a_read_of_all_items_begins_on_a_new_connection)
{
    ScriptedStore store({emptyChanges(), emptyPage()});
    cr_expect_eq(store.watch(), StoreStatus::Success);
    store.mirror.start();
    store.runMirror();
    cr_expect(store.mirror.hasContent());
    cr_expect_eq(store.server.connections(), 2);
}
