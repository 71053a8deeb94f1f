#include <chervilpaddle/peer/peertraffic.h>

#include <criterion/criterion.h>
#include <set>
#include <string>

using namespace chervilpaddle;

Test(peertraffic, counts_frames_and_bytes_by_kind)
{
    PeerTraffic traffic;
    traffic.record(StatusMessage(), 100);
    traffic.record(CallMessage(), 500);
    traffic.record(StatusMessage(), 120);
    cr_assert_eq(traffic.totalBytes(), 720);
    cr_assert(toText(traffic) == "call 1/500, status 2/220");
}

Test(peertraffic, every_kind_has_a_name_of_its_own)
{
    const PeerTraffic traffic;
    std::set<std::string> names;
    for (const PeerTraffic::Entry &entry : traffic.entries()) {
        names.insert(entry.kind);
    }
    cr_assert_eq(names.size(), traffic.entries().size());
    cr_assert(toText(traffic).empty());
}

Test(peertraffic, each_kind_is_counted_under_its_name)
{
    PeerTraffic traffic;
    std::size_t bytes = 0;
    for (const PeerMessage &message : std::initializer_list<PeerMessage>{HelloMessage(),
                                                                         CallMessage(),
                                                                         ResponseMessage(),
                                                                         CancelMessage(),
                                                                         VoidTicketMessage(),
                                                                         StatusMessage(),
                                                                         ConfigurationRequest(),
                                                                         ConfigurationMessage(),
                                                                         InstancesRequest(),
                                                                         InstancesMessage(),
                                                                         RoutesRequest(),
                                                                         RoutesMessage()}) {
        traffic.record(message, ++bytes);
    }
    cr_assert(toText(traffic)
              == "hello 1/1, call 1/2, response 1/3, cancel 1/4, void 1/5, status 1/6, configuration request 1/7, configuration 1/8, "
                 "instances request 1/9, instances 1/10, routes request 1/11, routes 1/12");
}
