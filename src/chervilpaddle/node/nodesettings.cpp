#include <chervilpaddle/node/nodesettings.h>

#include <chervilpaddle/base/inidocument.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <set>

namespace chervilpaddle {

namespace {

constexpr int maxThreads = 64;
constexpr double maxNumber = 1e6;
constexpr std::size_t megabyte = 1'000'000;
constexpr std::size_t minMemoryMegabytes = 64;
constexpr std::size_t minDescriptors = 128;
const char *const interfaceContracts = "contracts";
const char *const interfaceHttp = "http";

class SettingsParser
{
public:
    SettingsParser(std::string file, std::vector<Problem> &problems)
        : m_file(std::move(file))
        , m_problems(problems)
    {
        defineKeys();
    }

    NodeSettings parse(const std::string &text, const std::vector<SettingOverride> &overrides)
    {
        const IniDocument document = parseIni(text, m_file, ResultCode::SettingsUnreadable, m_problems);
        for (const IniSection &section : document.sections) {
            for (const IniEntry &entry : section.entries) {
                apply(section.name + "." + entry.key, entry.value, m_file, entry.line);
            }
        }
        for (const SettingOverride &setting : overrides) {
            apply(setting.key, setting.value, "command line", 0);
        }
        m_settings.servesPlainHttp = m_interface == interfaceHttp;
        checkRequiredKeys();
        checkDuplicateAddresses();
        return m_settings;
    }

private:
    struct Key
    {
        bool required = true;
        //! Stores the value; returns a description of the expected format if it is invalid.
        std::function<std::optional<std::string>(const std::string &)> parse;
    };

    void defineKeys()
    {
        m_keys["instance.id"] = nameKey([this](const std::string &v) { m_settings.instance = InstanceId(v); });
        m_keys["instance.service"] = nameKey([this](const std::string &v) { m_settings.service = ServiceName(v); });
        m_keys["instance.data_centre"] = nameKey([this](const std::string &v) { m_settings.dataCentre = DataCentreName(v); });
        m_keys["listen.callers"] = addressKey(m_settings.callers);
        m_keys["listen.egress"] = addressKey(m_settings.egress);
        m_keys["listen.peers"] = addressKey(m_settings.peers);
        m_keys["listen.operators"] = addressKey(m_settings.operators);
        m_keys["backend.address"] = addressKey(m_settings.backend);
        m_keys["platform.address"] = addressKey(m_settings.platform);
        m_keys["peers.seeds"] = {false, [this](const std::string &v) { return parseSeeds(v); }};
        m_keys["log.level"] = choiceKey(m_settings.logLevel, {"trace", "debug", "info", "warn", "error"});
        m_keys["log.format"] = choiceKey(m_settings.logFormat, {"json", "text"});
        m_keys["process.interface"] = choiceKey(m_interface, {interfaceContracts, interfaceHttp});
        m_keys["listen.readiness"] = addressKey(m_settings.readiness);
        m_keys["repeats.ratio"] = numberKey(m_settings.retryBudget.ratio);
        m_keys["repeats.slack"] = numberKey(m_settings.retryBudget.slack);
        m_keys["repeats.window_seconds"] = secondsKey(m_settings.retryBudget.window);
        m_keys["process.stop_grace_seconds"] = secondsKey(m_settings.shutdownGracePeriod);
        m_keys["process.memory_mb"] = sizeKey(m_settings.machine.memoryBytes, megabyte, minMemoryMegabytes);
        m_keys["process.descriptors"] = sizeKey(m_settings.machine.descriptors, 1, minDescriptors);
        m_keys["process.threads"] = {false, [this](const std::string &v) { return parseThreads(v); }};
    }

    static Key nameKey(std::function<void(const std::string &)> assign)
    {
        return {true, [assign = std::move(assign)](const std::string &value) -> std::optional<std::string> {
                    const bool isPlain = std::all_of(value.begin(), value.end(), [](unsigned char c) {
                        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
                    });
                    if (value.empty() || !isPlain) {
                        return "a name made of letters, digits, '-', '_' and '.'";
                    }
                    assign(value);
                    return std::nullopt;
                }};
    }

    static Key addressKey(Endpoint &target)
    {
        return {true, [&target](const std::string &value) -> std::optional<std::string> {
                    const auto endpoint = parseEndpoint(value);
                    if (!endpoint) {
                        return "an address such as 127.0.0.1:9001";
                    }
                    target = *endpoint;
                    return std::nullopt;
                }};
    }

    static Key choiceKey(std::string &target, std::set<std::string> choices)
    {
        return {false, [&target, choices = std::move(choices)](const std::string &value) -> std::optional<std::string> {
                    if (choices.count(value) == 0) {
                        std::string expected = "one of";
                        for (const std::string &choice : choices) {
                            expected += " " + choice;
                        }
                        return expected;
                    }
                    target = value;
                    return std::nullopt;
                }};
    }

    static std::optional<double> parseNumber(const std::string &value)
    {
        double number = 0;
        const char *end = value.data() + value.size();
        const auto [rest, error] = std::from_chars(value.data(), end, number);
        const bool isValid = error == std::errc() && rest == end && number >= 0 && number <= maxNumber;
        return isValid ? std::optional<double>(number) : std::nullopt;
    }

    static Key numberKey(double &target)
    {
        return {false, [&target](const std::string &value) -> std::optional<std::string> {
                    const auto number = parseNumber(value);
                    target = number.value_or(target);
                    return number ? std::nullopt : std::optional<std::string>("a non-negative number such as 0.2");
                }};
    }

    static Key secondsKey(Duration &target)
    {
        return {false, [&target](const std::string &value) -> std::optional<std::string> {
                    const auto seconds = parseNumber(value);
                    target = seconds ? fromSeconds(*seconds) : target;
                    return seconds ? std::nullopt : std::optional<std::string>("a non-negative number of seconds such as 2.5");
                }};
    }

    static Key sizeKey(std::size_t &target, std::size_t unit, std::size_t min)
    {
        return {false, [&target, unit, min](const std::string &value) -> std::optional<std::string> {
                    const auto number = parseNumber(value);
                    if (!number || *number < static_cast<double>(min)) {
                        return "a number from " + std::to_string(min) + " on";
                    }
                    target = static_cast<std::size_t>(*number) * unit;
                    return std::nullopt;
                }};
    }

    std::optional<std::string> parseSeeds(const std::string &value)
    {
        m_settings.seeds.clear();
        for (const std::string &text : splitList(value)) {
            const auto endpoint = parseEndpoint(text);
            if (!endpoint) {
                return "a list of addresses such as 10.0.0.7:9003, 10.0.0.8:9003";
            }
            m_settings.seeds.push_back(*endpoint);
        }
        return std::nullopt;
    }

    std::optional<std::string> parseThreads(const std::string &value)
    {
        const char *end = value.data() + value.size();
        const auto [rest, error] = std::from_chars(value.data(), end, m_settings.threads);
        if (error != std::errc() || rest != end || m_settings.threads < 1 || m_settings.threads > maxThreads) {
            return "a whole number from 1 to 64";
        }
        return std::nullopt;
    }

    void apply(const std::string &name, const std::string &value, const std::string &file, int line)
    {
        const auto key = m_keys.find(name);
        if (key == m_keys.end()) {
            m_problems.push_back({ResultCode::SettingUnknown, file, line, name, "the key is not known"});
            return;
        }
        m_presentKeys.insert(name);
        if (const auto expected = key->second.parse(value); expected) {
            m_problems.push_back({ResultCode::SettingInvalid, file, line, name, "'" + value + "' is not " + *expected});
        }
    }

    void checkRequiredKeys()
    {
        for (const auto &[name, key] : m_keys) {
            if (key.required && !isForOtherInterface(name) && m_presentKeys.count(name) == 0) {
                m_problems.push_back({ResultCode::SettingMissing, m_file, 0, name, "required key is missing"});
            }
        }
    }

    //! Whether the key is only used by the other interface.
    bool isForOtherInterface(const std::string &name) const
    {
        return name == (m_settings.servesPlainHttp ? "listen.egress" : "listen.readiness");
    }

    void checkDuplicateAddresses()
    {
        const std::map<std::string, Endpoint> listening = {{"listen.callers", m_settings.callers},
                                                           {"listen.egress", m_settings.egress},
                                                           {"listen.peers", m_settings.peers},
                                                           {"listen.readiness", m_settings.readiness},
                                                           {"listen.operators", m_settings.operators}};
        std::map<std::string, std::string> userOfAddress;
        for (const auto &[name, endpoint] : listening) {
            if (endpoint.port == 0) {
                continue;
            }
            const auto [user, isInserted] = userOfAddress.emplace(toText(endpoint), name);
            if (!isInserted) {
                m_problems.push_back({ResultCode::SettingInvalid, m_file, 0, name, "the address is already used by " + user->second});
            }
        }
    }

    std::string m_file;
    std::vector<Problem> &m_problems;
    NodeSettings m_settings;
    std::string m_interface = interfaceContracts;
    std::map<std::string, Key> m_keys;
    std::set<std::string> m_presentKeys;
};

} // namespace

NodeSettings parseNodeSettings(const std::string &text,
                               const std::string &file,
                               const std::vector<SettingOverride> &overrides,
                               std::vector<Problem> &problems)
{
    return SettingsParser(file, problems).parse(text, overrides);
}

} // namespace chervilpaddle
