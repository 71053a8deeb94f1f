#include <chervilpaddle/controllers/configurationfetch.h>

#include <criterion/criterion.h>

using namespace chervilpaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const InstanceId first("10.0.0.1");
const InstanceId second("10.0.0.2");
const Revision inForce(7);
const TimePoint start(seconds(100));

void assertAsks(ConfigurationFetch &fetch, const InstanceId &expected, Revision versionInForce, TimePoint now)
{
    const auto peer = fetch.nextPeer(versionInForce, now);
    cr_assert(peer && *peer == expected);
}

} // namespace

Test(configurationfetch, a_node_without_a_configuration_asks_the_peer_with_the_newest_one_at_once)
{
    ConfigurationFetch fetch;
    fetch.recordVersion(first, Revision(7), start);
    fetch.recordVersion(second, Revision(9), start);
    assertAsks(fetch, second, Revision(), start);
    cr_assert_not(fetch.nextPeer(Revision(), start + milliseconds(100)), "one request at a time");
    fetch.answered(second, true, start + milliseconds(120));
    cr_assert_not(fetch.nextPeer(Revision(9), start + seconds(5)));
}

Test(configurationfetch, a_newer_version_that_replication_does_not_bring_is_requested)
{
    ConfigurationFetch fetch;
    fetch.recordVersion(first, Revision(9), start);
    cr_assert_not(fetch.nextPeer(inForce, start + milliseconds(400)));
    fetch.recordVersion(first, Revision(9), start + milliseconds(400));
    assertAsks(fetch, first, inForce, start + milliseconds(600));
}

Test(configurationfetch, a_change_that_replication_brings_is_not_requested)
{
    ConfigurationFetch fetch;
    fetch.recordVersion(first, Revision(9), start);
    cr_assert_not(fetch.nextPeer(inForce, start + milliseconds(100)));
    cr_assert_not(fetch.nextPeer(Revision(9), start + milliseconds(200)));
    cr_assert_not(fetch.nextPeer(Revision(9), start + seconds(5)));
}

Test(configurationfetch, a_peer_with_an_older_or_no_version_is_never_asked)
{
    ConfigurationFetch fetch;
    fetch.recordVersion(first, Revision(6), start);
    fetch.recordVersion(second, Revision(), start);
    cr_assert_not(fetch.nextPeer(inForce, start + seconds(5)));
    fetch.recordVersion(second, Revision(), start);
    cr_assert_not(fetch.nextPeer(Revision(), start + seconds(6)));
}

Test(configurationfetch, a_peer_that_does_not_answer_does_not_keep_the_others_from_being_asked)
{
    ConfigurationFetch fetch;
    fetch.recordVersion(first, Revision(9), start);
    fetch.recordVersion(second, Revision(9), start);
    assertAsks(fetch, first, inForce, start + milliseconds(500));
    assertAsks(fetch, second, inForce, start + milliseconds(800));
    // The late answer of the first peer does not end the request to the second one.
    fetch.answered(first, false, start + milliseconds(810));
    cr_assert_not(fetch.nextPeer(inForce, start + milliseconds(820)));
    cr_assert_not(fetch.nextPeer(inForce, start + seconds(5)), "a peer that is gone is not asked for ever");
    fetch.recordVersion(first, Revision(9), start + seconds(5));
    assertAsks(fetch, first, inForce, start + milliseconds(5500));
}

Test(configurationfetch, a_peer_whose_configuration_is_invalid_is_not_asked_for_it_over_and_over)
{
    ConfigurationFetch fetch;
    fetch.recordVersion(first, Revision(9), start);
    assertAsks(fetch, first, Revision(), start);
    fetch.answered(first, false, start);
    fetch.recordVersion(first, Revision(9), start + seconds(5));
    cr_assert_not(fetch.nextPeer(Revision(), start + seconds(5)));
    fetch.recordVersion(second, Revision(9), start + seconds(5));
    assertAsks(fetch, second, Revision(), start + seconds(5));
    fetch.answered(second, false, start + seconds(5));
    fetch.recordVersion(first, Revision(10), start + seconds(6));
    assertAsks(fetch, first, Revision(), start + seconds(6));
    fetch.answered(first, false, start + seconds(6));
    fetch.recordVersion(first, Revision(10), start + seconds(37));
    assertAsks(fetch, first, Revision(), start + seconds(37));
}
