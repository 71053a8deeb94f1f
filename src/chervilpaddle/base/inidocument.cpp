#include <chervilpaddle/base/inidocument.h>

#include <algorithm>
#include <fstream>
#include <ini.h>
#include <sstream>

namespace chervilpaddle {

namespace {

//! The longest line that inih takes without cutting it.
constexpr std::size_t longestLine = INI_MAX_LINE - 2;

struct ParseState
{
    std::istringstream input;
    int line = 0;
    bool indented = false;
    IniDocument document;
    std::vector<Problem> *problems = nullptr;
    ResultCode unreadable = ResultCode::SettingsUnreadable;
};

void report(ParseState &state, int line, const std::string &key, const std::string &reason)
{
    state.problems->push_back({state.unreadable, state.document.file, line, key, reason});
}

//! Hands inih one line at a time. An indented line continues the value of the entry above it.
char *nextLine(char *buffer, int size, void *stream)
{
    auto &state = *static_cast<ParseState *>(stream);
    std::string line;
    if (!std::getline(state.input, line)) {
        return nullptr;
    }
    ++state.line;
    state.indented = !line.empty() && (line.front() == ' ' || line.front() == '\t');
    line = (state.indented ? " " : "") + trimmed(line);
    if (line.size() > std::min(longestLine, static_cast<std::size_t>(size) - 2)) {
        report(state, state.line, {}, "the line is too long");
        line.clear();
    }
    if (line.find('\0') != std::string::npos) {
        report(state, state.line, {}, "the line holds a zero byte");
        line.clear();
    }
    line += '\n';
    std::copy(line.begin(), line.end(), buffer);
    buffer[line.size()] = '\0';
    return buffer;
}

IniSection &sectionFor(ParseState &state, const std::string &name)
{
    auto &sections = state.document.sections;
    if (!sections.empty() && sections.back().name == name) {
        return sections.back();
    }
    if (state.document.find(name) != nullptr) {
        report(state, state.line, {}, "section [" + name + "] is given twice");
    }
    sections.push_back({name, state.line, {}});
    return sections.back();
}

int takeEntry(void *user, const char *section, const char *key, const char *value)
{
    auto &state = *static_cast<ParseState *>(user);
    IniSection &target = sectionFor(state, section);
    if (state.indented && !target.entries.empty() && target.entries.back().key == key) {
        target.entries.back().value += std::string(" ") + value;
        return 1;
    }
    if (target.find(key) != nullptr) {
        report(state, state.line, key, "the key is given twice");
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

IniDocument parseIni(const std::string &text, const std::string &file, ResultCode unreadable, std::vector<Problem> &problems)
{
    ParseState state;
    state.input.str(text);
    state.document.file = file;
    state.problems = &problems;
    state.unreadable = unreadable;
    const int badLine = ini_parse_stream(nextLine, &state, takeEntry, &state);
    if (badLine > 0) {
        report(state, badLine, {}, "the line is neither a section nor 'key = value'");
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
