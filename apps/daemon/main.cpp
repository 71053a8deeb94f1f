#include <chervilpaddle/base/allocator.h>
#include <chervilpaddle/base/inidocument.h>
#include <chervilpaddle/mesh/meshnode.h>
#include <chervilpaddle/node/node.h>
#include <chervilpaddle/node/nodesettings.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <platform/platformprotocol.h>

namespace {

using namespace chervilpaddle;

//! Exit statuses as in sysexits.h: EX_CONFIG and EX_UNAVAILABLE.
constexpr int exitInvalidSettings = 78;
constexpr int exitCannotListen = 69;

struct Arguments
{
    std::string settingsFile;
    std::vector<std::string> overrides;
    bool checkOnly = false;
    std::string testPolicy = "full";
};

std::vector<SettingOverride> parseOverrides(const std::vector<std::string> &texts, std::vector<Problem> &problems)
{
    std::vector<SettingOverride> overrides;
    for (const std::string &text : texts) {
        const auto equals = text.find('=');
        if (equals == std::string::npos) {
            problems.push_back({ResultCode::SettingInvalid, "command line", 0, text, "an override must have the form section.key=value"});
            continue;
        }
        overrides.push_back({trimmed(text.substr(0, equals)), trimmed(text.substr(equals + 1))});
    }
    return overrides;
}

NodeSettings loadSettings(const Arguments &arguments, std::vector<Problem> &problems)
{
    const auto text = readFile(arguments.settingsFile);
    if (!text) {
        problems.push_back({ResultCode::SettingsUnreadable, arguments.settingsFile, 0, {}, "cannot read the settings file"});
        return {};
    }
    const auto overrides = parseOverrides(arguments.overrides, problems);
    NodeSettings settings = parseNodeSettings(*text, arguments.settingsFile, overrides, problems);
    if (arguments.testPolicy == "direct") {
        settings.policy = passThroughPolicy();
    } else if (arguments.testPolicy == "usual") {
        settings.policy = conventionalPolicy();
    }
    return settings;
}

std::error_code serve(const Arguments &arguments, const NodeSettings &settings)
{
    if (!settings.servesPlainHttp) {
        return Node(settings).run();
    }
    const auto reload = [&arguments](std::vector<Problem> &problems) -> std::optional<NodeSettings> {
        NodeSettings reloaded = loadSettings(arguments, problems);
        return problems.empty() ? std::optional<NodeSettings>(std::move(reloaded)) : std::nullopt;
    };
    return MeshNode(settings, platform::platformProtocol(), reload).run();
}

int runNode(const Arguments &arguments, const NodeSettings &settings)
{
    returnLargeBlocksToSystem();
    // A write to a connection that the peer has closed must not end the process; the write reports the error.
    std::signal(SIGPIPE, SIG_IGN);
    if (const std::error_code error = serve(arguments, settings); error) {
        std::fprintf(stderr, "chervilpaddled: %s (code %d)\n", error.message().c_str(), error.value());
        return exitCannotListen;
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    CLI::App app{"The chervilpaddle node: runs in the slot beside a backend server.\n\n"
                 "Example: chervilpaddled --settings node.ini --set log.level=debug"};
    app.add_option("--settings", arguments.settingsFile, "The settings file (INI)")->required();
    app.add_option("--set", arguments.overrides, "Overrides one setting: section.key=value")->take_all();
    app.add_flag("--check-settings", arguments.checkOnly, "Only checks the settings");
    app.add_option("--test-policy", arguments.testPolicy)->group("")->check(CLI::IsMember({"full", "direct", "usual"}));
    CLI11_PARSE(app, argc, argv);

    std::vector<Problem> problems;
    const NodeSettings settings = loadSettings(arguments, problems);
    for (const Problem &problem : problems) {
        std::fprintf(stderr, "%s\n", toText(problem).c_str());
    }
    if (!problems.empty()) {
        return exitInvalidSettings;
    }
    return arguments.checkOnly ? 0 : runNode(arguments, settings);
}
