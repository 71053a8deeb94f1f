#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/problem.h>
#include <chervilpaddle/base/random.h>
#include <chervilpaddle/transport/httpclient.h>
#include <chervilpaddle/transport/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilpaddle::standins {

//! How a stand-in backend server runs an operation: it works for the service time, then makes its calls one after the other.
struct OperationBehaviour
{
    Duration serviceTime{};
    std::vector<OperationName> calls;
};

//! Parses the behaviour of a service from INI text with one section for each operation and the keys `service_time` and
//! `calls`.
std::map<OperationName, OperationBehaviour>
parseBehaviour(const std::string &text, const std::string &file, std::vector<Problem> &problems);

//! A stand-in for a backend server. Records every run that it starts. Can be made to respond slowly, to fail or refuse
//! runs, and to report any health state. Single-threaded.
class StandinBackend
{
public:
    struct Options
    {
        Endpoint address;
        Endpoint egress;
        int slots = 1;
        std::map<OperationName, OperationBehaviour> behaviour;
        std::size_t answerBytes = 0;
        std::uint64_t seed = 0;
    };

    StandinBackend(boost::asio::io_context &context, Options options);
    std::error_code listen();

private:
    struct Work;

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void handleControl(const std::shared_ptr<HttpExchange> &exchange);
    void startNext();
    void startRun(const std::shared_ptr<Work> &work);
    void callNext(const std::shared_ptr<Work> &work);
    void answer(const std::shared_ptr<Work> &work, int status, const std::string &body);
    void endRun(const std::shared_ptr<Work> &work);
    std::string answerBody(const Work &work) const;
    std::string record() const;
    //! True with the given probability.
    bool drawEvent(double probability);

    boost::asio::io_context &m_context;
    Options m_options;
    HttpServer m_server;
    HttpClient m_egress;
    RandomSource m_random;
    int m_running = 0;
    int m_maximumRunning = 0;
    std::deque<std::shared_ptr<Work>> m_waiting;
    double m_slowdown = 1;
    double m_failureRate = 0;
    double m_refusalRate = 0;
    std::string m_health = "ok";
    //! Number of started runs by operation and request.
    std::map<std::string, std::map<std::string, int>> m_startsByRequest;
    std::map<std::string, int> m_startsByOperation;
    std::uint64_t m_answered = 0;
};

} // namespace chervilpaddle::standins
