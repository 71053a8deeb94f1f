#include <chervilpaddle/node/logging.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace chervilpaddle {

namespace {
//! Bounds the size of the log under load to about 10 KB a second for each message.
constexpr int maxLinesPerSecond = 40;
} // namespace

EventLog::EventLog(const InstanceId &instance, const std::string &format, const std::string &level)
    : m_logger(std::make_shared<spdlog::logger>("chervilpaddle", std::make_shared<spdlog::sinks::stdout_sink_mt>()))
    , m_json(format == "json")
    , m_instance(instance)
{
    m_logger->set_level(spdlog::level::from_str(level));
    m_logger->flush_on(spdlog::level::warn);
    m_logger->set_pattern(m_json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})" : "%Y-%m-%d %H:%M:%S.%e %l %v");
}

EventLog::~EventLog() = default;

void EventLog::debug(const Event &event)
{
    write(spdlog::level::debug, event);
}

void EventLog::info(const Event &event)
{
    write(spdlog::level::info, event);
}

void EventLog::warn(const Event &event)
{
    write(spdlog::level::warn, event);
}

void EventLog::error(const Event &event)
{
    write(spdlog::level::err, event);
}

void EventLog::write(int level, const Event &event)
{
    const auto severity = static_cast<spdlog::level::level_enum>(level);
    if (!m_logger->should_log(severity)) {
        return;
    }
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    std::uint64_t suppressedLines = 0;
    {
        const std::lock_guard lock(m_mutex);
        LineCount &count = m_lineCounts[event.message];
        if (count.second != second) {
            count.second = second;
            count.lines = 0;
        }
        if (++count.lines > maxLinesPerSecond) {
            ++count.suppressed;
            return;
        }
        suppressedLines = std::exchange(count.suppressed, 0);
    }
    m_logger->log(severity, "{}", format(event, suppressedLines));
}

void EventLog::setLevel(const std::string &level)
{
    m_logger->set_level(spdlog::level::from_str(level));
}

void EventLog::flush()
{
    m_logger->flush();
}

std::string EventLog::format(const Event &event, std::uint64_t suppressedLines) const
{
    const int code = static_cast<int>(event.code);
    if (!m_json) {
        std::string line = m_instance.value() + " " + event.message + " code=" + std::to_string(code);
        line += event.request.isEmpty() ? "" : " request=" + event.request.value();
        line += event.detail.empty() ? "" : " detail=" + event.detail;
        line += suppressedLines == 0 ? "" : " left_out=" + std::to_string(suppressedLines);
        return line;
    }
    nlohmann::json line = {{"instance", m_instance.value()}, {"message", event.message}, {"code", code}};
    if (!event.request.isEmpty()) {
        line["request"] = event.request.value();
    }
    if (!event.detail.empty()) {
        line["detail"] = event.detail;
    }
    if (suppressedLines > 0) {
        line["leftOut"] = suppressedLines;
    }
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.substr(1, text.size() - 2);
}

void logClosedConnection(EventLog &log, const ClosedConnection &closed)
{
    const bool isEndedByClient = closed.reason == CloseReason::ClientClosed;
    if (leavesRequestUnanswered(closed) && isEndedByClient) {
        log.debug({"caller left before the response", ResultCode::CancelledWhileRunning, closed.openRequest, toText(closed)});
    } else if (leavesRequestUnanswered(closed)) {
        log.warn({"caller's connection ended before the response", ResultCode::ResponseUndelivered, closed.openRequest, toText(closed)});
    } else if (closed.reason == CloseReason::Malformed || closed.reason == CloseReason::OverLimit) {
        log.info({"caller's connection closed", ResultCode::Success, {}, toText(closed)});
    } else {
        log.debug({"caller's connection closed", ResultCode::Success, {}, toText(closed)});
    }
}

void logFailedHandler(EventLog &log, const std::string &what)
{
    log.error({"handler failed", ResultCode::NodeFailed, {}, what});
}

} // namespace chervilpaddle
