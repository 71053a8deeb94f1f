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

    //! The first entry with this key, or null.
    const IniEntry *find(const std::string &key) const;
};

//! An INI text with the line of every entry kept, for error messages.
struct IniDocument
{
    std::string file;
    std::vector<IniSection> sections;

    const IniSection *find(const std::string &name) const;
};

//! Parses a text; `file` only names it in problems. Appends a problem for each line that cannot be read,
//! for repeated sections and for repeated keys.
IniDocument parseIni(const std::string &text, const std::string &file, ResultCode unreadable, std::vector<Problem> &problems);

//! The whole file, or nothing where it cannot be read.
std::optional<std::string> readFile(const std::string &path);

//! Splits at commas and trims each part; empty parts are left out.
std::vector<std::string> splitList(const std::string &value);

//! Without leading and trailing white space.
std::string trimmed(const std::string &text);

} // namespace chervilpaddle
