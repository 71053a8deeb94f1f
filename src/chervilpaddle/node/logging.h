#pragma once

#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/resultcode.h>
#include <chervilpaddle/transport/closedconnection.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace spdlog {
class logger;
}

namespace chervilpaddle {

//! Structured log of a process. Every line has the instance and a result code, and the request id if there is one.
//! Thread-safe.
class EventLog
{
public:
    struct Event
    {
        std::string message;
        ResultCode code = ResultCode::Success;
        RequestId request;
        std::string detail;
    };

    //! `format` is "json" or "text"; `level` is one of trace, debug, info, warn and error. Writes synchronously to standard
    //! output. Each message is written at most `maxLinesPerSecond` times a second; the next line of the same message has the
    //! number of lines that were suppressed.
    EventLog(const InstanceId &instance, const std::string &format, const std::string &level);
    ~EventLog();

    void debug(const Event &event);
    void info(const Event &event);
    void warn(const Event &event);
    void error(const Event &event);
    void setLevel(const std::string &level);
    void flush();

private:
    std::string format(const Event &event, std::uint64_t suppressedLines) const;
    void write(int level, const Event &event);

    //! Lines of one message in the current second.
    struct LineCount
    {
        std::int64_t second = 0;
        int lines = 0;
        std::uint64_t suppressed = 0;
    };

    std::shared_ptr<spdlog::logger> m_logger;
    std::mutex m_mutex;
    std::unordered_map<std::string, LineCount> m_lineCounts;
    bool m_json;
    InstanceId m_instance;
};

//! Logs the end of a caller's connection: as a warning if a request is left unanswered though its client has not closed the
//! connection, otherwise mostly at level debug. Thread-safe.
void logClosedConnection(EventLog &log, const ClosedConnection &closed);

//! Logs an exception that has left a handler. Thread-safe.
void logFailedHandler(EventLog &log, const std::string &what);

} // namespace chervilpaddle
