#include <chervilpaddle/node/logging.h>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace chervilpaddle {

EventLog::EventLog(const InstanceId &instance, const std::string &format, const std::string &level)
    : m_logger(std::make_shared<spdlog::logger>("chervilpaddle", std::make_shared<spdlog::sinks::stderr_sink_mt>()))
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
    if (m_logger->should_log(spdlog::level::debug)) {
        m_logger->debug("{}", format(event));
    }
}

void EventLog::info(const Event &event)
{
    m_logger->info("{}", format(event));
}

void EventLog::warn(const Event &event)
{
    m_logger->warn("{}", format(event));
}

void EventLog::error(const Event &event)
{
    m_logger->error("{}", format(event));
}

void EventLog::flush()
{
    m_logger->flush();
}

std::string EventLog::format(const Event &event) const
{
    const int code = static_cast<int>(event.code);
    if (!m_json) {
        std::string line = m_instance.value() + " " + event.message + " code=" + std::to_string(code);
        line += event.request.isEmpty() ? "" : " request=" + event.request.value();
        line += event.detail.empty() ? "" : " detail=" + event.detail;
        return line;
    }
    nlohmann::json line = {{"instance", m_instance.value()}, {"message", event.message}, {"code", code}};
    if (!event.request.isEmpty()) {
        line["request"] = event.request.value();
    }
    if (!event.detail.empty()) {
        line["detail"] = event.detail;
    }
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.substr(1, text.size() - 2);
}

} // namespace chervilpaddle
