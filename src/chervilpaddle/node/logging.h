#pragma once

#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/resultcode.h>

#include <memory>
#include <string>

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

    //! `format` is "json" or "text"; `level` one of trace, debug, info, warn, error. Writes to standard error.
    EventLog(const InstanceId &instance, const std::string &format, const std::string &level);
    ~EventLog();

    void debug(const Event &event);
    void info(const Event &event);
    void warn(const Event &event);
    void error(const Event &event);
    void flush();

private:
    std::string format(const Event &event) const;

    std::shared_ptr<spdlog::logger> m_logger;
    bool m_json;
    InstanceId m_instance;
};

} // namespace chervilpaddle
