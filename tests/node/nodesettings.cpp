#include <chervilpaddle/node/nodesettings.h>

#include <algorithm>
#include <criterion/criterion.h>

using namespace chervilpaddle;

namespace {

const std::string validSettings =
    "[instance]\nid = pagos-1\nservice = pagos\ndata_centre = centre-a\n[listen]\ncallers = 127.0.0.1:9001\negress = 127.0.0.1:9002\n"
    "peers = 127.0.0.1:9003\noperators = 127.0.0.1:9004\n[backend]\naddress = 127.0.0.1:9005\n[platform]\naddress = 127.0.0.1:9000\n"
    "[log]\nlevel = info\n";

struct InvalidSetting
{
    const char *original;
    const char *replacement;
    ResultCode code;
};

const InvalidSetting invalidSettings[] = {
    {"id = pagos-1", "id =", ResultCode::SettingInvalid},
    {"id = pagos-1", "id = a/b", ResultCode::SettingInvalid},
    {"id = pagos-1\n", "", ResultCode::SettingMissing},
    {"data_centre = centre-a", "data_centre = centre a!", ResultCode::SettingInvalid},
    {"callers = 127.0.0.1:9001", "callers = localhost:9001", ResultCode::SettingInvalid},
    {"callers = 127.0.0.1:9001", "callers = 127.0.0.1", ResultCode::SettingInvalid},
    {"callers = 127.0.0.1:9001", "callers = 127.0.0.1:0", ResultCode::SettingInvalid},
    {"callers = 127.0.0.1:9001", "callers = 127.0.0.1:70000", ResultCode::SettingInvalid},
    {"callers = 127.0.0.1:9001", "callers = 127.0.0.1:9002", ResultCode::SettingInvalid},
    {"level = info", "level = loud", ResultCode::SettingInvalid},
    {"level = info", "leve = info", ResultCode::SettingUnknown},
    {"[log]", "[logs]", ResultCode::SettingUnknown},
    {"level = info", "level = info\n[process]\nthreads = 0", ResultCode::SettingInvalid},
    {"level = info", "level = info\n[process]\nmemory_mb = 63", ResultCode::SettingInvalid},
    {"level = info", "level = info\n[process]\nmemory_mb = 260 MB", ResultCode::SettingInvalid},
    {"level = info", "level = info\n[process]\ndescriptors = 100", ResultCode::SettingInvalid},
    {"level = info", "level = info\n[peers]\nseeds = 127.0.0.1:1, nowhere", ResultCode::SettingInvalid},
    {"level = info", "level info", ResultCode::SettingsUnreadable},
    {"level = info", "level = info\nlevel = warn", ResultCode::SettingsUnreadable},
};

} // namespace

Test(settings, valid_settings_are_accepted_and_command_line_overrides_apply)
{
    std::vector<Problem> problems;
    const NodeSettings settings =
        parseNodeSettings(validSettings,
                          "n.ini",
                          {{"log.level", "debug"}, {"process.threads", "3"}, {"process.memory_mb", "260"}, {"process.descriptors", "4100"}},
                          problems);
    cr_assert(problems.empty());
    cr_assert_eq(settings.logLevel, "debug");
    cr_assert_eq(settings.threads, 3);
    cr_assert_eq(settings.machine.memoryBytes, 260'000'000);
    cr_assert_eq(settings.machine.descriptors, 4100);
    cr_assert_eq(settings.peers.port, 9003);
}

Test(settings, invalid_settings_are_refused_with_their_code)
{
    for (const InvalidSetting &invalid : invalidSettings) {
        std::string text = validSettings;
        text.replace(text.find(invalid.original), std::string(invalid.original).size(), invalid.replacement);
        std::vector<Problem> problems;
        parseNodeSettings(text, "n.ini", {}, problems);
        const bool found = std::any_of(problems.begin(), problems.end(), [&](const Problem &p) { return p.code == invalid.code; });
        cr_expect(found,
                  "'%s' in place of '%s' was not refused with code %d",
                  invalid.replacement,
                  invalid.original,
                  static_cast<int>(invalid.code));
    }
}

Test(settings, error_message_is_one_line_with_file_line_key_and_reason)
{
    std::string text = validSettings;
    text.replace(text.find("127.0.0.1:9003"), 14, "somewhere");
    std::vector<Problem> problems;
    parseNodeSettings(text, "n.ini", {}, problems);
    cr_assert(toText(problems.front()) == "n.ini:8: key 'listen.peers': 'somewhere' is not an address such as 127.0.0.1:9001 (code 4004)");
}

Test(settings, unknown_override_is_refused)
{
    std::vector<Problem> problems;
    parseNodeSettings(validSettings, "n.ini", {{"executor.slots", "5"}}, problems);
    cr_assert_eq(problems.size(), 1);
    cr_assert_eq(problems.front().code, ResultCode::SettingUnknown);
}
