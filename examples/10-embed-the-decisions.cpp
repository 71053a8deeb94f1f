// Embeds the admission logic of an executor in another server, without sockets and threads and with a custom clock.

#include <chervilpaddle/controllers/executor.h>

#include <cstdio>

using namespace chervilpaddle;

int main()
{
    TimePoint now{std::chrono::seconds(1)};
    std::vector<RunId> running;

    Executor::Options options;
    options.instance = InstanceId("example-1");
    options.incarnation = Incarnation(1);
    options.slots = 1;
    Executor::Hooks hooks;
    hooks.clock = [&] { return now; };
    hooks.start = [&](const Run &run) {
        std::printf("start %s\n", run.call.context.request.value().c_str());
        running.push_back(run.id);
    };
    hooks.cancelRun = [](RunId) {};
    Executor executor(options, hooks);

    // Three calls compete for one slot. The first one starts at once; of the others, the one of higher rank starts next.
    const std::pair<const char *, Rank> calls[] = {{"browse", 100.5}, {"status", 300.5}, {"payout", 900.5}};
    std::uint64_t sequence = 0;
    for (const auto &[name, rank] : calls) {
        CallMessage call;
        call.ticket = {{Incarnation(7), ++sequence}, options.instance, options.incarnation};
        call.context.request = RequestId(name);
        call.context.operation = OperationName("example.run");
        call.context.rank = rank;
        call.remaining = std::chrono::seconds(1);
        executor.submit(call, Duration::zero(), [name = std::string(name)](const ResponseMessage &response) {
            std::printf("%s ended: %s\n", name.c_str(), outcomeName(outcomeOf(response.code)));
        });
    }
    while (!running.empty()) {
        const RunId run = running.back();
        running.pop_back();
        now += std::chrono::milliseconds(10);
        executor.completeRun(run, BackendResult());
    }
    return 0;
}
