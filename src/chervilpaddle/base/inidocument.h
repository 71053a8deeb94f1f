#pragma once

#include <chervilpaddle/base/problem.h>

#include <optional>
#include <string>
#include <vector>

namespace chervilpaddle {

struct IniEntry
{
    std::string key;
    std::string value;
    int line = 0;
};

struct IniSection
{
    std::string name;
    int line = 0;
    std::vector<IniEntry> entries;

    //! Returns the first entry with this key, or nullptr.
    const IniEntry *find(const std::string &key) const;
};

//! Parsed INI text; keeps the line number of every entry for error messages.
struct IniDocument
{
    std::string file;
    std::vector<IniSection> sections;

    const IniSection *find(const std::string &name) const;
};

//! Parses INI text. `file` is only used in error messages. Appends a problem with the code `syntaxError` for each
//! malformed line, duplicate section and duplicate key.
IniDocument parseIni(const std::string &text, const std::string &file, ResultCode syntaxError, std::vector<Problem> &problems);

//! Returns the contents of the file, or nothing if it cannot be read.
std::optional<std::string> readFile(const std::string &path);

//! Splits at commas, trims each part and drops empty parts.
std::vector<std::string> splitList(const std::string &value);

//! Returns the text without leading and trailing white space.
std::string trimmed(const std::string &text);

} // namespace chervilpaddle
