#include <chervilpaddle/controllers/connectionlimit.h>

#include <criterion/criterion.h>
#include <set>
#include <vector>

using namespace chervilpaddle;
using Activity = ConnectionLimit::Activity;

Test(connectionlimit, the_connection_that_has_served_nobody_for_longest_gives_way)
{
    struct Case
    {
        const char *description;
        std::vector<Activity> connections; //!< In the order in which their activities begin.
        std::vector<std::size_t> displaced;
    };
    const Case cases[] = {
        {"in their order", {Activity::Waiting, Activity::Waiting, Activity::Waiting}, {0, 1, 2}},
        {"closing ones first", {Activity::Waiting, Activity::Closing, Activity::Waiting, Activity::Closing}, {1, 3, 0, 2}},
        {"never one that is handled", {Activity::Handling, Activity::Waiting, Activity::Handling}, {1}},
    };
    for (const Case &c : cases) {
        ConnectionLimit limit(c.connections.size());
        std::vector<ServedConnection> connections;
        for (const Activity activity : c.connections) {
            connections.push_back(limit.add());
            limit.setActivity(connections.back(), activity);
        }
        cr_expect(limit.isFull(), "%s", c.description);
        for (const std::size_t expected : c.displaced) {
            const auto displaced = limit.displace();
            cr_assert(displaced, "%s", c.description);
            cr_expect_eq(displaced->value(), connections[expected].value(), "%s", c.description);
        }
        cr_expect_not(limit.displace(), "%s", c.description);
    }
}

Test(connectionlimit, a_connection_that_has_served_a_request_stays_longer)
{
    ConnectionLimit limit(2);
    const ServedConnection used = limit.add();
    const ServedConnection unused = limit.add();
    limit.setActivity(used, Activity::Handling);
    limit.setActivity(used, Activity::Waiting);
    cr_expect(limit.displace() == unused);
    cr_expect(limit.displace() == used);
}

//! A connection whose request arrives before it is closed stays, and may be displaced later.
Test(connectionlimit, a_displaced_connection_whose_activity_changes_is_served)
{
    ConnectionLimit limit(1);
    const ServedConnection connection = limit.add();
    cr_assert(limit.displace() == connection);
    limit.setActivity(connection, Activity::Handling);
    cr_expect_not(limit.displace());
    limit.setActivity(connection, Activity::Waiting);
    cr_expect(limit.displace() == connection);
    cr_expect(limit.isFull());
    limit.remove(connection);
    cr_expect_not(limit.isFull());
}

//! A crowd opens connections and leaves them, while callers open some that they use after a few others have been opened.
Test(connectionlimit, callers_are_served_beside_a_crowd_of_any_size)
{
    constexpr std::size_t maxConnections = 50;
    constexpr std::size_t requestDelay = 10;
    constexpr std::size_t callerInterval = 7;
    ConnectionLimit limit(maxConnections);
    std::vector<ServedConnection> opened;
    std::set<ServedConnection> displaced;
    std::size_t served = 0;
    for (std::size_t round = 0; round < 20'000; ++round) {
        if (limit.isFull()) {
            const auto connection = limit.displace();
            cr_assert(connection);
            displaced.insert(*connection);
            limit.remove(*connection);
        }
        opened.push_back(limit.add());
        if (round < requestDelay || (round - requestDelay) % callerInterval != 0) {
            continue;
        }
        const ServedConnection caller = opened[round - requestDelay];
        cr_assert_eq(displaced.count(caller), 0, "the connection of a caller is displaced before round %zu", round);
        limit.setActivity(caller, Activity::Handling);
        limit.setActivity(caller, Activity::Waiting);
        ++served;
    }
    cr_expect_gt(served, 1000);
}
