#include <chervilpaddle/node/nodesettings.h>

#include <algorithm>
#include <criterion/criterion.h>

using namespace chervilpaddle;

namespace {

const std::string goodSettings =
    "[instance]\nid = pagos-1\nservice = pagos\ndata_centre = centre-a\n[listen]\ncallers = 127.0.0.1:9001\negress = 127.0.0.1:9002\n"
    "peers = 127.0.0.1:9003\noperators = 127.0.0.1:9004\n[backend]\naddress = 127.0.0.1:9005\n[platform]\naddress = 127.0.0.1:9000\n"
    "[log]\nlevel = info\n";

struct BadSetting
{
    const char *from;
    const char *to;
    ResultCode code;
};

const BadSetting badSettings[] = {
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
    {"level = info", "level = info\n[peers]\nseeds = 127.0.0.1:1, nowhere", ResultCode::SettingInvalid},
    {"level = info", "level info", ResultCode::SettingsUnreadable},
    {"level = info", "level = info\nlevel = warn", ResultCode::SettingsUnreadable},
};

} // namespace

Test(settings, good_ones_pass_and_the_command_line_overrides_them)
{
    std::vector<Problem> problems;
    const NodeSettings settings = parseNodeSettings(goodSettings, "n.ini", {{"log.level", "debug"}, {"process.threads", "3"}}, problems);
    cr_assert(problems.empty());
    cr_assert_eq(settings.logLevel, "debug");
    cr_assert_eq(settings.threads, 3);
    cr_assert_eq(settings.peers.port, 9003);
}

Test(settings, each_broken_one_is_refused_with_its_code)
{
    for (const BadSetting &bad : badSettings) {
        std::string text = goodSettings;
        text.replace(text.find(bad.from), std::string(bad.from).size(), bad.to);
        std::vector<Problem> problems;
        parseNodeSettings(text, "n.ini", {}, problems);
        const bool found = std::any_of(problems.begin(), problems.end(), [&](const Problem &p) { return p.code == bad.code; });
        cr_expect(found, "'%s' in place of '%s' was not refused with %d", bad.to, bad.from, static_cast<int>(bad.code));
    }
}

Test(settings, a_problem_is_one_line_with_file_line_key_and_reason)
{
    std::string text = goodSettings;
    text.replace(text.find("127.0.0.1:9003"), 14, "somewhere");
    std::vector<Problem> problems;
    parseNodeSettings(text, "n.ini", {}, problems);
    cr_assert(toText(problems.front()) == "n.ini:8: key 'listen.peers': 'somewhere' is not an address such as 127.0.0.1:9001 (code 4004)");
}

Test(settings, an_unknown_override_is_refused)
{
    std::vector<Problem> problems;
    parseNodeSettings(goodSettings, "n.ini", {{"executor.slots", "5"}}, problems);
    cr_assert_eq(problems.size(), 1);
    cr_assert_eq(problems.front().code, ResultCode::SettingUnknown);
}
