#include <chervilpaddle/controllers/ticketregistry.h>

#include <array>
#include <criterion/criterion.h>
#include <cstdio>
#include <deque>
#include <set>
#include <sstream>
#include <vector>

// An exhaustive walk over the interleavings of one request that may run at most once: two entry nodes, two
// executors, and a caller that repeats; messages are delivered in any order, duplicated, dropped or late without
// bound (which also stands for a paused process), executors crash and are replaced, tickets are voided. The
// executors' decisions are those of the real TicketRegistry.

using namespace chervilpaddle;

namespace {

constexpr int executorCount = 2;
constexpr int mostDuplicates = 1;
constexpr int mostCrashes = 1;
constexpr int mostSends = 4;

//! How an entry node binds the request to an executor.
enum class Binding {
    Ticket, //!< One incarnation of one executor, for good.
    HashedKey, //!< The naive way: whoever the node's view of the list says, known by the request's key alone.
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

struct World
{
    std::array<ExecutorModel, executorCount> executors;
    std::vector<Message> network;
    //! The ticket that the caller holds now: where it is bound to.
    Message held;
    std::set<std::uint64_t> toldNotRun;
    std::map<std::uint64_t, int> starts;
    int sends = 0;
    int duplicates = 0;
    int crashes = 0;
    int voids = 0;
    bool toldDone = false;
    int runs = 0;

    std::string encode() const
    {
        std::ostringstream text;
        for (const ExecutorModel &executor : executors) {
            text << executor.incarnation << ':';
            for (std::uint64_t sequence = 1; sequence <= mostSends; ++sequence) {
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
        text << '|' << held.text() << '|' << sends << duplicates << crashes << voids << toldDone << runs << '|' << toldNotRun.size();
        return text.str();
    }
};

class Search
{
public:
    explicit Search(Binding binding)
        : m_binding(binding)
    {
    }

    //! Visits every reachable state; says what is broken, or nothing.
    std::string run()
    {
        World first;
        first.held = {Message::Kind::Call, 0, 0, 1};
        visit(first);
        while (!m_open.empty() && m_violation.empty()) {
            const World world = m_open.front();
            m_open.pop_front();
            expand(world);
        }
        return m_violation;
    }

    std::size_t stateCount() const
    {
        return m_seen.size();
    }

private:
    void visit(const World &world)
    {
        check(world);
        if (m_seen.insert(world.encode()).second) {
            m_open.push_back(world);
        }
    }

    void check(const World &world)
    {
        if (world.runs > 1) {
            m_violation = "the request ran twice";
        }
        for (const std::uint64_t sequence : world.toldNotRun) {
            if (const auto starts = world.starts.find(sequence); starts != world.starts.end()) {
                m_violation = "the caller was told 'not run' of a call that ran";
            }
        }
    }

    void expand(const World &world)
    {
        sendOrRepeat(world);
        voidHeld(world);
        for (std::size_t i = 0; i < world.network.size(); ++i) {
            deliver(world, i, false);
            if (world.duplicates < mostDuplicates) {
                deliver(world, i, true);
            }
            drop(world, i);
        }
        for (int executor = 0; executor < executorCount; ++executor) {
            startQueued(world, executor);
            finishRunning(world, executor);
            crash(world, executor);
        }
    }

    //! The caller sends, or repeats through either entry node; with a hashed key the other node sees another list.
    void sendOrRepeat(const World &world)
    {
        if (world.sends >= mostSends || world.toldDone) {
            return;
        }
        for (int entry = 0; entry < 2; ++entry) {
            World next = world;
            ++next.sends;
            Message call = world.held;
            if (m_binding == Binding::HashedKey) {
                call.executor = entry;
                call.incarnation = world.executors[static_cast<std::size_t>(entry)].incarnation;
                call.sequence = 1;
            }
            next.network.push_back(call);
            visit(next);
        }
    }

    void voidHeld(const World &world)
    {
        if (world.voids > 0 || m_binding == Binding::HashedKey) {
            return;
        }
        World next = world;
        ++next.voids;
        Message message = world.held;
        message.kind = Message::Kind::Void;
        next.network.push_back(message);
        visit(next);
    }

    void deliver(const World &world, std::size_t index, bool keepCopy)
    {
        World next = world;
        const Message message = world.network[index];
        if (keepCopy) {
            ++next.duplicates;
        } else {
            next.network.erase(next.network.begin() + static_cast<std::ptrdiff_t>(index));
        }
        switch (message.kind) {
        case Message::Kind::Call:
            arrive(next, message);
            break;
        case Message::Kind::Void:
            arriveVoid(next, message);
            break;
        case Message::Kind::NotRun:
            hearNotRun(next, message);
            break;
        case Message::Kind::Done:
            next.toldDone = true;
            break;
        }
        visit(next);
    }

    static void arrive(World &world, const Message &message)
    {
        ExecutorModel &executor = world.executors[static_cast<std::size_t>(message.executor)];
        if (executor.incarnation != message.incarnation) {
            return; // "unknown": the caller learns nothing that it may act on.
        }
        const TicketId ticket{Incarnation(1), message.sequence};
        switch (executor.registry.admit(ticket, 1)) {
        case TicketRegistry::Verdict::Fresh:
            executor.queued.insert(message.sequence);
            break;
        case TicketRegistry::Verdict::Answered:
            world.network.push_back({Message::Kind::Done, message.executor, message.incarnation, message.sequence});
            break;
        case TicketRegistry::Verdict::Voided:
            world.network.push_back({Message::Kind::NotRun, message.executor, message.incarnation, message.sequence});
            break;
        default:
            break;
        }
    }

    static void arriveVoid(World &world, const Message &message)
    {
        ExecutorModel &executor = world.executors[static_cast<std::size_t>(message.executor)];
        if (executor.incarnation == message.incarnation && executor.registry.voidTicket({Incarnation(1), message.sequence})) {
            executor.queued.erase(message.sequence);
            world.network.push_back({Message::Kind::NotRun, message.executor, message.incarnation, message.sequence});
        }
    }

    //! Told "not run", the caller takes a fresh ticket, bound to the other executor.
    static void hearNotRun(World &world, const Message &message)
    {
        world.toldNotRun.insert(message.sequence);
        if (world.held.sequence != message.sequence) {
            return;
        }
        const int other = 1 - world.held.executor;
        world.held = {Message::Kind::Call, other, world.executors[static_cast<std::size_t>(other)].incarnation, message.sequence + 1};
    }

    void drop(const World &world, std::size_t index)
    {
        World next = world;
        next.network.erase(next.network.begin() + static_cast<std::ptrdiff_t>(index));
        visit(next);
    }

    void startQueued(const World &world, int executor)
    {
        for (const std::uint64_t sequence : world.executors[static_cast<std::size_t>(executor)].queued) {
            World next = world;
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

    void finishRunning(const World &world, int executor)
    {
        for (const std::uint64_t sequence : world.executors[static_cast<std::size_t>(executor)].running) {
            World next = world;
            ExecutorModel &model = next.executors[static_cast<std::size_t>(executor)];
            model.running.erase(sequence);
            model.registry.finish({Incarnation(1), sequence}, AnswerMessage());
            next.network.push_back({Message::Kind::Done, executor, model.incarnation, sequence});
            visit(next);
        }
    }

    void crash(const World &world, int executor)
    {
        if (world.crashes >= mostCrashes) {
            return;
        }
        World next = world;
        ++next.crashes;
        ExecutorModel &model = next.executors[static_cast<std::size_t>(executor)];
        const int incarnation = model.incarnation + 1;
        model = ExecutorModel();
        model.incarnation = incarnation;
        visit(next);
    }

    Binding m_binding;
    std::set<std::string> m_seen;
    std::deque<World> m_open;
    std::string m_violation;
};

} // namespace

Test(ticket_search, tickets_hold_in_every_interleaving)
{
    Search search(Binding::Ticket);
    const std::string violation = search.run();
    std::printf("ticket search: %zu states\n", search.stateCount());
    cr_assert(violation.empty(), "%s", violation.c_str());
    cr_assert_gt(search.stateCount(), 1000);
}

Test(ticket_search, a_key_hashed_over_the_published_list_breaks)
{
    Search search(Binding::HashedKey);
    const std::string violation = search.run();
    std::printf("hashed key: '%s' after %zu states\n", violation.c_str(), search.stateCount());
    cr_assert_not(violation.empty());
}
