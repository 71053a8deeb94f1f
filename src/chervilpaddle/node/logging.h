#pragma once

#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/resultcode.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace spdlog {
class logger;
}

namespace chervilpaddle {

//! Structured log of a process: every line has the instance, the request where there is one, and a result code.
//! Thread safe.
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

    //! `format` is "json" or "text"; `level` one of trace, debug, info, warn, error. Writes to standard output; never
    //! blocks: where the reader is too slow the oldest lines are dropped. Each message is written at most
    //! `mostLinesPerSecond` times a second; what was left out is counted in the next line of the same message.
    EventLog(const InstanceId &instance, const std::string &format, const std::string &level);
    ~EventLog();

    void debug(const Event &event);
    void info(const Event &event);
    void warn(const Event &event);
    void error(const Event &event);
    void setLevel(const std::string &level);
    void flush();

private:
    std::string format(const Event &event, std::uint64_t leftOut) const;
    void write(int level, const Event &event);

    //! Lines of one message in the current second.
    struct Volume
    {
        std::int64_t second = 0;
        int lines = 0;
        std::uint64_t leftOut = 0;
    };

    std::shared_ptr<spdlog::logger> m_logger;
    std::mutex m_mutex;
    std::unordered_map<std::string, Volume> m_volumes;
    bool m_json;
    InstanceId m_instance;
};

} // namespace chervilpaddle
