#include "loadplan.h"

#include <chervilpaddle/base/inidocument.h>
#include <chervilpaddle/contract/contract.h>

#include <algorithm>
#include <charconv>

namespace chervilpaddle::tool {

namespace {

class PlanParser
{
public:
    PlanParser(std::string file, std::vector<Problem> &problems)
        : m_file(std::move(file))
        , m_problems(problems)
    {
    }

    LoadPlan parse(const std::string &text)
    {
        const IniDocument document = parseIni(text, m_file, ResultCode::SettingsUnreadable, m_problems);
        for (const IniSection &section : document.sections) {
            if (section.name == "load") {
                parseLoad(section);
            } else if (section.name.rfind("stream ", 0) == 0) {
                parseStream(section, section.name.substr(7));
            } else if (section.name.rfind("phase ", 0) == 0) {
                parsePhase(section, section.name.substr(6));
            } else {
                report(ResultCode::SettingUnknown, section.line, {}, "unknown section [" + section.name + "]");
            }
        }
        for (LoadStream &stream : m_plan.streams) {
            if (stream.targets.empty()) {
                stream.targets = m_targets;
            }
            if (stream.targets.empty() || stream.operation.isEmpty()) {
                report(ResultCode::SettingMissing, 0, stream.name, "the stream has no targets or no operation");
            }
        }
        if (m_plan.phases.empty()) {
            report(ResultCode::SettingMissing, 0, {}, "no [phase NAME] section");
        }
        return m_plan;
    }

private:
    void parseLoad(const IniSection &section)
    {
        for (const IniEntry &entry : section.entries) {
            if (entry.key == "seed") {
                m_plan.seed = static_cast<std::uint64_t>(parseNumber(entry));
            } else if (entry.key == "targets") {
                m_targets = parseTargets(entry);
            } else {
                report(ResultCode::SettingUnknown, entry.line, entry.key, "the key is not known");
            }
        }
    }

    void parseStream(const IniSection &section, const std::string &name)
    {
        LoadStream stream;
        stream.name = trimmed(name);
        for (const IniEntry &entry : section.entries) {
            if (entry.key == "customer") {
                stream.customer = CustomerName(entry.value);
            } else if (entry.key == "operation") {
                stream.operation = OperationName(entry.value);
            } else if (entry.key == "rate") {
                stream.ratePerSecond = parseNumber(entry);
            } else if (entry.key == "repeats") {
                stream.maximumRetries = static_cast<int>(parseNumber(entry));
            } else if (entry.key == "body_bytes") {
                stream.bodyBytes = static_cast<std::size_t>(parseNumber(entry));
            } else if (entry.key == "deadline") {
                stream.deadline = parseDurationEntry(entry);
            } else if (entry.key == "worth") {
                stream.worth = parseNumber(entry);
            } else if (entry.key == "targets") {
                stream.targets = parseTargets(entry);
            } else {
                report(ResultCode::SettingUnknown, entry.line, entry.key, "the key is not known");
            }
        }
        m_plan.streams.push_back(std::move(stream));
    }

    void parsePhase(const IniSection &section, const std::string &name)
    {
        LoadPhase phase;
        phase.name = trimmed(name);
        for (const IniEntry &entry : section.entries) {
            if (entry.key == "length") {
                phase.length = parseDurationEntry(entry);
            } else if (entry.key == "multiplier") {
                phase.multiplier = parseNumber(entry);
            } else {
                phase.streamMultipliers.emplace_back(entry.key, parseNumber(entry));
            }
        }
        m_plan.phases.push_back(std::move(phase));
    }

    double parseNumber(const IniEntry &entry)
    {
        double number = 0;
        const char *end = entry.value.data() + entry.value.size();
        const auto [rest, error] = std::from_chars(entry.value.data(), end, number);
        if (error != std::errc() || rest != end || number < 0) {
            report(ResultCode::SettingInvalid, entry.line, entry.key, "'" + entry.value + "' is not a number");
        }
        return number;
    }

    Duration parseDurationEntry(const IniEntry &entry)
    {
        const auto time = parseDuration(entry.value);
        if (!time) {
            report(ResultCode::SettingInvalid, entry.line, entry.key, "'" + entry.value + "' is not a duration such as 250ms or 2s");
        }
        return time.value_or(std::chrono::seconds(1));
    }

    std::vector<Endpoint> parseTargets(const IniEntry &entry)
    {
        std::vector<Endpoint> targets;
        for (const std::string &text : splitList(entry.value)) {
            if (const auto endpoint = parseEndpoint(text); endpoint) {
                targets.push_back(*endpoint);
            } else {
                report(ResultCode::SettingInvalid, entry.line, entry.key, "'" + text + "' is not an address");
            }
        }
        return targets;
    }

    void report(ResultCode code, int line, const std::string &key, const std::string &reason)
    {
        m_problems.push_back({code, m_file, line, key, reason});
    }

    std::string m_file;
    std::vector<Problem> &m_problems;
    std::vector<Endpoint> m_targets;
    LoadPlan m_plan;
};

} // namespace

double LoadPhase::multiplierFor(const LoadStream &stream) const
{
    const auto streamMultiplier =
        std::find_if(streamMultipliers.begin(), streamMultipliers.end(), [&](const auto &entry) { return entry.first == stream.name; });
    return streamMultiplier == streamMultipliers.end() ? multiplier : streamMultiplier->second;
}

LoadPlan parseLoadPlan(const std::string &text, const std::string &file, std::vector<Problem> &problems)
{
    return PlanParser(file, problems).parse(text);
}

} // namespace chervilpaddle::tool
