#include <chervilpaddle/transport/eventloop.h>
#include <chervilpaddle/transport/timers.h>

#include <boost/asio/post.hpp>
#include <criterion/criterion.h>
#include <new>
#include <stdexcept>
#include <vector>

using namespace chervilpaddle;

namespace {

namespace asio = boost::asio;

class OddError
{
};

} // namespace

Test(eventloop, an_exception_that_leaves_a_handler_is_reported_and_the_loop_goes_on)
{
    asio::io_context context;
    std::vector<std::string> reports;
    int handled = 0;
    asio::post(context, [&handled] { ++handled; });
    asio::post(context, [] { throw std::runtime_error("odd message"); });
    asio::post(context, [&handled] { ++handled; });
    asio::post(context, [] { throw std::bad_alloc(); });
    asio::post(context, [] { throw OddError(); });
    asio::post(context, [&handled] { ++handled; });
    runEventLoop(context, [&reports](const std::string &what) { reports.push_back(what); });
    cr_expect_eq(handled, 3);
    cr_assert_eq(reports.size(), 3);
    cr_expect_neq(reports[0].find("runtime_error"), std::string::npos, "%s", reports[0].c_str());
    cr_expect_neq(reports[0].find("odd message"), std::string::npos, "%s", reports[0].c_str());
    cr_expect_neq(reports[1].find("bad_alloc"), std::string::npos, "%s", reports[1].c_str());
    cr_expect_not(reports[2].empty());
}

Test(eventloop, ends_when_the_context_is_stopped)
{
    asio::io_context context;
    int handled = 0;
    asio::post(context, [&context] {
        context.stop();
        throw std::runtime_error("odd message");
    });
    asio::post(context, [&handled] { ++handled; });
    runEventLoop(context, [](const std::string & /*what*/) {});
    cr_expect_eq(handled, 0);
}

Test(eventloop, a_periodic_action_that_fails_is_run_again)
{
    asio::io_context context;
    int runs = 0;
    schedulePeriodically(context, std::chrono::milliseconds(1), [&context, &runs] {
        if (++runs == 3) {
            context.stop();
        }
        throw std::runtime_error("odd message");
    });
    int reports = 0;
    runEventLoop(context, [&reports](const std::string & /*what*/) { ++reports; });
    cr_expect_eq(runs, 3);
    cr_expect_eq(reports, 3);
}
