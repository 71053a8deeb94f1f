#include "loadplan.h"
#include "loadreport.h"
#include "ticketprogress.h"
#include "toolcommands.h"

#include <chervilpaddle/base/inidocument.h>
#include <chervilpaddle/base/random.h>
#include <chervilpaddle/base/units.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <fstream>
#include <random>

namespace chervilpaddle::tool {

namespace {

constexpr std::size_t maximumAnswerBytes = 16 * mebibyte;
//! Time that a caller waits for the response beyond its deadline.
constexpr Duration callerGracePeriod = std::chrono::milliseconds(500);

//! Sends an open-loop load with Poisson arrivals.
class LoadGenerator
{
public:
    LoadGenerator(boost::asio::io_context &context, const LoadPlan &plan)
        : m_context(context)
        , m_plan(plan)
        , m_clock(steadyClock())
        , m_random(plan.seed)
        , m_start(m_clock())
        , m_report(plan, m_start)
    {
    }

    void start()
    {
        for (std::size_t stream = 0; stream < m_plan.streams.size(); ++stream) {
            scheduleNext(stream, m_start);
        }
    }

    const LoadReport &report() const
    {
        return m_report;
    }

private:
    struct Request
    {
        std::size_t stream = 0;
        std::size_t phase = 0;
        TimePoint sent;
        CallerRequest call;
        int attempts = 0;
        TicketProgress ticketProgress;
        int repeatsSpent = 0;
    };

    std::optional<std::size_t> phaseAt(TimePoint time) const
    {
        TimePoint end = m_start;
        for (std::size_t phase = 0; phase < m_plan.phases.size(); ++phase) {
            end += m_plan.phases[phase].length;
            if (time < end) {
                return phase;
            }
        }
        return std::nullopt;
    }

    void scheduleNext(std::size_t stream, TimePoint after)
    {
        const auto phase = phaseAt(after);
        if (!phase) {
            return;
        }
        const double rate = m_plan.streams[stream].ratePerSecond * m_plan.phases[*phase].multiplierFor(m_plan.streams[stream]);
        // A stream with rate zero in this phase checks again after a short interval.
        constexpr Duration idleCheckInterval = std::chrono::milliseconds(10);
        const Duration gap = rate > 0 ? fromSeconds(std::exponential_distribution<double>(rate)(m_random)) : idleCheckInterval;
        const TimePoint next = after + gap;
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, next);
        timer->async_wait([this, timer, stream, next, sends = rate > 0](const boost::system::error_code & /*error*/) {
            scheduleNext(stream, next);
            if (const auto sendPhase = phaseAt(next); sends && sendPhase) {
                startRequest(stream, *sendPhase);
            }
        });
    }

    void startRequest(std::size_t stream, std::size_t phase)
    {
        const LoadStream &loadStream = m_plan.streams[stream];
        auto request = std::make_shared<Request>();
        request->stream = stream;
        request->phase = phase;
        request->sent = m_clock();
        request->call.customer = loadStream.customer;
        request->call.operation = loadStream.operation;
        request->call.request = RequestId("load-" + std::to_string(m_plan.seed) + "-" + std::to_string(++m_lastRequest));
        request->call.body = std::string(loadStream.bodyBytes, 'x') + std::to_string(m_lastRequest);
        attempt(request);
    }

    void attempt(const std::shared_ptr<Request> &request)
    {
        const LoadStream &loadStream = m_plan.streams[request->stream];
        request->call.attempt = request->attempts;
        ++request->attempts;
        const Endpoint &target = loadStream.targets[uniformIndex(m_random, loadStream.targets.size())];
        sendRequest(clientFor(target), request->call, loadStream.deadline + callerGracePeriod, [this, request](const CallerResult &result) {
            attemptEnded(request, result);
        });
    }

    void attemptEnded(const std::shared_ptr<Request> &request, const CallerResult &result)
    {
        const LoadStream &loadStream = m_plan.streams[request->stream];
        const bool isDone = result.code == ResultCode::Done;
        request->repeatsSpent += result.repeatsSpent;
        const bool isBeforeDeadline = m_clock() < request->sent + loadStream.deadline;
        // A call that ran under a ticket is not retried, as its executor would only return the recorded answer.
        const bool hasRunUnderTicket = result.outcome == Outcome::Done && !request->call.ticket.empty();
        request->ticketProgress.attemptEnded(request->call, result);
        if (!isDone && !hasRunUnderTicket && isBeforeDeadline && request->attempts <= loadStream.maximumRetries) {
            // After "not run" the node returns a new ticket; after "unknown" the same ticket is presented again.
            request->call.ticketAttempt = request->ticketProgress.ticketAttempt();
            request->call.ticket = request->ticketProgress.ticket();
            attempt(request);
            return;
        }
        LoadOutcome outcome{
            request->call.request, request->stream, request->phase, request->sent, m_clock(), result, request->attempts, false};
        outcome.result.repeatsSpent = request->repeatsSpent;
        if (result.outcome == Outcome::NotRun && request->ticketProgress.mayHaveRun()) {
            outcome.result.outcome = Outcome::Unknown;
        }
        if (isDone) {
            const std::string expected =
                request->call.request.value() + " " + loadStream.operation.value() + " " + hexDigest(request->call.body);
            outcome.isMismatched = result.body.rfind(expected, 0) != 0;
        }
        m_report.add(outcome);
    }

    HttpClient &clientFor(const Endpoint &target)
    {
        auto &client = m_clients[toText(target)];
        if (!client) {
            client = std::make_unique<HttpClient>(m_context, HttpClient::Options{target, maximumAnswerBytes});
        }
        return *client;
    }

    boost::asio::io_context &m_context;
    const LoadPlan &m_plan;
    Clock m_clock;
    RandomSource m_random;
    TimePoint m_start;
    LoadReport m_report;
    std::uint64_t m_lastRequest = 0;
    std::map<std::string, std::unique_ptr<HttpClient>> m_clients;
};

void writeFile(const std::string &path, const std::string &text)
{
    if (!path.empty()) {
        std::ofstream(path) << text;
    }
}

} // namespace

int runLoad(const LoadArguments &arguments)
{
    const auto text = readFile(arguments.file);
    if (!text) {
        std::fprintf(stderr, "chervilpaddle: cannot read %s\n", arguments.file.c_str());
        return exitUsage;
    }
    std::vector<Problem> problems;
    const LoadPlan plan = parseLoadPlan(*text, arguments.file, problems);
    for (const Problem &problem : problems) {
        std::fprintf(stderr, "%s\n", toText(problem).c_str());
    }
    if (!problems.empty()) {
        return exitUsage;
    }
    boost::asio::io_context context;
    LoadGenerator generator(context, plan);
    generator.start();
    context.run();
    if (arguments.json) {
        std::printf("%s\n", generator.report().json().c_str());
    } else {
        generator.report().printTable();
    }
    writeFile(arguments.csv, generator.report().csv());
    writeFile(arguments.svg, generator.report().svg());
    writeFile(arguments.requests, generator.report().requests());
    return generator.report().isConclusive() ? 0 : exitFailure;
}

} // namespace chervilpaddle::tool
