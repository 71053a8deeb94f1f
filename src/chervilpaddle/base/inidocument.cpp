#include <chervilpaddle/base/inidocument.h>

#include <algorithm>
#include <fstream>
#include <ini.h>
#include <sstream>

namespace chervilpaddle {

namespace {

//! Longest line that inih reads without truncating it.
constexpr std::size_t maxLineLength = INI_MAX_LINE - 2;

struct ParseState
{
    std::istringstream input;
    int line = 0;
    bool indented = false;
    IniDocument document;
    std::vector<Problem> *problems = nullptr;
    ResultCode syntaxError = ResultCode::SettingsUnreadable;
};

void report(ParseState &state, int line, const std::string &key, const std::string &reason)
{
    state.problems->push_back({state.syntaxError, state.document.file, line, key, reason});
}

//! Reader callback of inih that supplies one line at a time. An indented line continues the value of the previous entry.
char *readLine(char *buffer, int size, void *stream)
{
    auto &state = *static_cast<ParseState *>(stream);
    std::string line;
    if (!std::getline(state.input, line)) {
        return nullptr;
    }
    ++state.line;
    state.indented = !line.empty() && (line.front() == ' ' || line.front() == '\t');
    line = (state.indented ? " " : "") + trimmed(line);
    if (line.size() > std::min(maxLineLength, static_cast<std::size_t>(size) - 2)) {
        report(state, state.line, {}, "line is too long");
        line.clear();
    }
    if (line.find('\0') != std::string::npos) {
        report(state, state.line, {}, "line contains a NUL byte");
        line.clear();
    }
    line += '\n';
    std::copy(line.begin(), line.end(), buffer);
    buffer[line.size()] = '\0';
    return buffer;
}

IniSection &findOrAddSection(ParseState &state, const std::string &name)
{
    auto &sections = state.document.sections;
    if (!sections.empty() && sections.back().name == name) {
        return sections.back();
    }
    if (state.document.find(name) != nullptr) {
        report(state, state.line, {}, "duplicate section [" + name + "]");
    }
    sections.push_back({name, state.line, {}});
    return sections.back();
}

int handleEntry(void *user, const char *section, const char *key, const char *value)
{
    auto &state = *static_cast<ParseState *>(user);
    IniSection &target = findOrAddSection(state, section);
    if (state.indented && !target.entries.empty() && target.entries.back().key == key) {
        target.entries.back().value += std::string(" ") + value;
        return 1;
    }
    if (target.find(key) != nullptr) {
        report(state, state.line, key, "duplicate key");
    }
    target.entries.push_back({key, value, state.line});
    return 1;
}

} // namespace

const IniEntry *IniSection::find(const std::string &key) const
{
    const auto entry = std::find_if(entries.begin(), entries.end(), [&](const auto &e) { return e.key == key; });
    return entry == entries.end() ? nullptr : &*entry;
}

const IniSection *IniDocument::find(const std::string &name) const
{
    const auto section = std::find_if(sections.begin(), sections.end(), [&](const auto &s) { return s.name == name; });
    return section == sections.end() ? nullptr : &*section;
}

IniDocument parseIni(const std::string &text, const std::string &file, ResultCode syntaxError, std::vector<Problem> &problems)
{
    ParseState state;
    state.input.str(text);
    state.document.file = file;
    state.problems = &problems;
    state.syntaxError = syntaxError;
    const int badLine = ini_parse_stream(readLine, &state, handleEntry, &state);
    if (badLine > 0) {
        report(state, badLine, {}, "expected a section header or 'key = value'");
    }
    return state.document;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream input(path, std::ios::binary);
    if (!input) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << input.rdbuf();
    if (!input || input.bad()) {
        return std::nullopt;
    }
    return content.str();
}

std::vector<std::string> splitList(const std::string &value)
{
    std::vector<std::string> parts;
    std::istringstream input(value);
    std::string part;
    while (std::getline(input, part, ',')) {
        if (part = trimmed(part); !part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::string trimmed(const std::string &text)
{
    constexpr const char *whiteSpace = " \t\r\n";
    const auto first = text.find_first_not_of(whiteSpace);
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whiteSpace) - first + 1);
}

} // namespace chervilpaddle
