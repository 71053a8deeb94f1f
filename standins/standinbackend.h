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

//! What an operation of a stand-in backend server does: work for a time, then make its calls one after the other.
struct OperationBehaviour
{
    Duration serviceTime{};
    std::vector<OperationName> calls;
};

//! The behaviour of a whole service, from an INI text: one section an operation, keys `service_time` and `calls`.
std::map<OperationName, OperationBehaviour>
parseBehaviour(const std::string &text, const std::string &file, std::vector<Problem> &problems);

//! A small stand-in for a backend server. Keeps a record of every run that it started, and can be told to be slow,
//! to fail, to refuse, to cut answers short, to leave, or to lie about its health. One thread.
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
    void beginNext();
    void begin(const std::shared_ptr<Work> &work);
    void callNext(const std::shared_ptr<Work> &work);
    void answer(const std::shared_ptr<Work> &work, int status, const std::string &body);
    void end(const std::shared_ptr<Work> &work);
    std::string answerBody(const Work &work) const;
    std::string record() const;
    bool happens(double share);

    boost::asio::io_context &m_context;
    Options m_options;
    HttpServer m_server;
    HttpClient m_egress;
    RandomSource m_random;
    int m_running = 0;
    int m_mostRunning = 0;
    std::deque<std::shared_ptr<Work>> m_waiting;
    double m_slowdown = 1;
    double m_failShare = 0;
    double m_refuseShare = 0;
    std::string m_health = "ok";
    //! Runs started, by operation and request.
    std::map<std::string, std::map<std::string, int>> m_started;
    std::map<std::string, int> m_startedTotals;
    std::uint64_t m_answered = 0;
};

} // namespace chervilpaddle::standins
