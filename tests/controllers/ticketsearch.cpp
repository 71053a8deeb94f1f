#include <chervilpaddle/controllers/ticketregistry.h>

#include <array>
#include <criterion/criterion.h>
#include <cstdio>
#include <deque>
#include <set>
#include <sstream>
#include <vector>

// Model checking of at-most-once execution: explores all interleavings of one request with two entry nodes, two executors
// and a caller that retries. Messages are delivered in any order, duplicated, dropped or delayed without bound (which
// also covers paused processes), executors crash and are replaced, and tickets are voided. The executors decide with the
// real TicketRegistry.

using namespace chervilpaddle;

namespace {

constexpr int executorCount = 2;
constexpr int maxDuplicates = 1;
constexpr int maxCrashes = 1;
constexpr int maxSends = 4;

//! How an entry node binds the request to an executor.
enum class Binding {
    Ticket, //!< Permanently, to one incarnation of one executor.
    HashedKey, //!< By hashing the request's key over the node's view of the instance list, which may differ.
};

struct Message
{
    enum class Kind {
        Call,
        Void,
        NotRun,
        Done,
    };
    Kind kind = Kind::Call;
    int executor = 0;
    int incarnation = 0;
    std::uint64_t sequence = 0;

    std::string text() const
    {
        return std::to_string(static_cast<int>(kind)) + "." + std::to_string(executor) + "." + std::to_string(incarnation) + "."
            + std::to_string(sequence);
    }
};

struct ExecutorModel
{
    TicketRegistry registry;
    int incarnation = 0;
    std::set<std::uint64_t> queued;
    std::set<std::uint64_t> running;
};

struct SystemState
{
    std::array<ExecutorModel, executorCount> executors;
    std::vector<Message> network;
    //! The ticket that the caller holds now and the executor that it is bound to.
    Message held;
    std::set<std::uint64_t> receivedNotRun;
    std::map<std::uint64_t, int> starts;
    int sends = 0;
    int duplicates = 0;
    int crashes = 0;
    int voids = 0;
    bool receivedDone = false;
    int runs = 0;

    std::string encode() const
    {
        std::ostringstream text;
        for (const ExecutorModel &executor : executors) {
            text << executor.incarnation << ':';
            for (std::uint64_t sequence = 1; sequence <= maxSends; ++sequence) {
                const auto state = executor.registry.state({Incarnation(1), sequence});
                text << (state ? static_cast<int>(*state) : 9);
            }
            text << '|';
        }
        std::multiset<std::string> messages;
        for (const Message &message : network) {
            messages.insert(message.text());
        }
        for (const std::string &message : messages) {
            text << message << ',';
        }
        text << '|' << held.text() << '|' << sends << duplicates << crashes << voids << receivedDone << runs << '|'
             << receivedNotRun.size();
        return text.str();
    }
};

class ModelChecker
{
public:
    explicit ModelChecker(Binding binding)
        : m_binding(binding)
    {
    }

    //! Explores every reachable state. Returns the violated property, or an empty string.
    std::string run()
    {
        SystemState initial;
        initial.held = {Message::Kind::Call, 0, 0, 1};
        visit(initial);
        while (!m_frontier.empty() && m_violation.empty()) {
            const SystemState state = m_frontier.front();
            m_frontier.pop_front();
            expand(state);
        }
        return m_violation;
    }

    std::size_t stateCount() const
    {
        return m_visited.size();
    }

private:
    void visit(const SystemState &state)
    {
        check(state);
        if (m_visited.insert(state.encode()).second) {
            m_frontier.push_back(state);
        }
    }

    void check(const SystemState &state)
    {
        if (state.runs > 1) {
            m_violation = "the request ran twice";
        }
        for (const std::uint64_t sequence : state.receivedNotRun) {
            if (const auto starts = state.starts.find(sequence); starts != state.starts.end()) {
                m_violation = "the caller received 'not run' for a call that ran";
            }
        }
    }

    void expand(const SystemState &state)
    {
        sendOrRetry(state);
        voidHeld(state);
        for (std::size_t i = 0; i < state.network.size(); ++i) {
            deliver(state, i, false);
            if (state.duplicates < maxDuplicates) {
                deliver(state, i, true);
            }
            drop(state, i);
        }
        for (int executor = 0; executor < executorCount; ++executor) {
            startQueued(state, executor);
            finishRunning(state, executor);
            crash(state, executor);
        }
    }

    //! The caller sends or retries through either entry node. With a hashed key, each node chooses another executor, as
    //! their views of the instance list differ.
    void sendOrRetry(const SystemState &state)
    {
        if (state.sends >= maxSends || state.receivedDone) {
            return;
        }
        for (int entry = 0; entry < 2; ++entry) {
            SystemState next = state;
            ++next.sends;
            Message call = state.held;
            if (m_binding == Binding::HashedKey) {
                call.executor = entry;
                call.incarnation = state.executors[static_cast<std::size_t>(entry)].incarnation;
                call.sequence = 1;
            }
            next.network.push_back(call);
            visit(next);
        }
    }

    void voidHeld(const SystemState &state)
    {
        if (state.voids > 0 || m_binding == Binding::HashedKey) {
            return;
        }
        SystemState next = state;
        ++next.voids;
        Message message = state.held;
        message.kind = Message::Kind::Void;
        next.network.push_back(message);
        visit(next);
    }

    void deliver(const SystemState &state, std::size_t index, bool keepCopy)
    {
        SystemState next = state;
        const Message message = state.network[index];
        if (keepCopy) {
            ++next.duplicates;
        } else {
            next.network.erase(next.network.begin() + static_cast<std::ptrdiff_t>(index));
        }
        switch (message.kind) {
        case Message::Kind::Call:
            receiveCall(next, message);
            break;
        case Message::Kind::Void:
            receiveVoid(next, message);
            break;
        case Message::Kind::NotRun:
            receiveNotRun(next, message);
            break;
        case Message::Kind::Done:
            next.receivedDone = true;
            break;
        }
        visit(next);
    }

    static void receiveCall(SystemState &state, const Message &message)
    {
        ExecutorModel &executor = state.executors[static_cast<std::size_t>(message.executor)];
        if (executor.incarnation != message.incarnation) {
            return; // The outcome is "unknown", after which the caller may not use a new ticket.
        }
        const TicketId ticket{Incarnation(1), message.sequence};
        switch (executor.registry.admit(ticket, 1)) {
        case TicketRegistry::Verdict::Fresh:
            executor.queued.insert(message.sequence);
            break;
        case TicketRegistry::Verdict::Answered:
            state.network.push_back({Message::Kind::Done, message.executor, message.incarnation, message.sequence});
            break;
        case TicketRegistry::Verdict::Voided:
            state.network.push_back({Message::Kind::NotRun, message.executor, message.incarnation, message.sequence});
            break;
        default:
            break;
        }
    }

    static void receiveVoid(SystemState &state, const Message &message)
    {
        ExecutorModel &executor = state.executors[static_cast<std::size_t>(message.executor)];
        if (executor.incarnation == message.incarnation && executor.registry.voidTicket({Incarnation(1), message.sequence})) {
            executor.queued.erase(message.sequence);
            state.network.push_back({Message::Kind::NotRun, message.executor, message.incarnation, message.sequence});
        }
    }

    //! After "not run" the caller takes a new ticket that is bound to the other executor.
    static void receiveNotRun(SystemState &state, const Message &message)
    {
        state.receivedNotRun.insert(message.sequence);
        if (state.held.sequence != message.sequence) {
            return;
        }
        const int other = 1 - state.held.executor;
        state.held = {Message::Kind::Call, other, state.executors[static_cast<std::size_t>(other)].incarnation, message.sequence + 1};
    }

    void drop(const SystemState &state, std::size_t index)
    {
        SystemState next = state;
        next.network.erase(next.network.begin() + static_cast<std::ptrdiff_t>(index));
        visit(next);
    }

    void startQueued(const SystemState &state, int executor)
    {
        for (const std::uint64_t sequence : state.executors[static_cast<std::size_t>(executor)].queued) {
            SystemState next = state;
            ExecutorModel &model = next.executors[static_cast<std::size_t>(executor)];
            model.queued.erase(sequence);
            if (model.registry.start({Incarnation(1), sequence})) {
                model.running.insert(sequence);
                ++next.runs;
                ++next.starts[sequence];
            }
            visit(next);
        }
    }

    void finishRunning(const SystemState &state, int executor)
    {
        for (const std::uint64_t sequence : state.executors[static_cast<std::size_t>(executor)].running) {
            SystemState next = state;
            ExecutorModel &model = next.executors[static_cast<std::size_t>(executor)];
            model.running.erase(sequence);
            model.registry.finish({Incarnation(1), sequence}, ResponseMessage());
            next.network.push_back({Message::Kind::Done, executor, model.incarnation, sequence});
            visit(next);
        }
    }

    void crash(const SystemState &state, int executor)
    {
        if (state.crashes >= maxCrashes) {
            return;
        }
        SystemState next = state;
        ++next.crashes;
        ExecutorModel &model = next.executors[static_cast<std::size_t>(executor)];
        const int incarnation = model.incarnation + 1;
        model = ExecutorModel();
        model.incarnation = incarnation;
        visit(next);
    }

    Binding m_binding;
    std::set<std::string> m_visited;
    std::deque<SystemState> m_frontier;
    std::string m_violation;
};

} // namespace

Test(ticket_search, tickets_prevent_duplicate_runs_in_every_interleaving)
{
    ModelChecker checker(Binding::Ticket);
    const std::string violation = checker.run();
    std::printf("ticket model: %zu states\n", checker.stateCount());
    cr_assert(violation.empty(), "%s", violation.c_str());
    cr_assert_gt(checker.stateCount(), 1000);
}

Test(ticket_search, binding_by_hashed_key_violates_at_most_once)
{
    ModelChecker checker(Binding::HashedKey);
    const std::string violation = checker.run();
    std::printf("hashed key: \"%s\" after %zu states\n", violation.c_str(), checker.stateCount());
    cr_assert_not(violation.empty());
}
