#pragma once

#include <chervilpaddle/contract/bundle.h>

#include <optional>
#include <string>

namespace chervilpaddle {

//! Parses a manifest in the platform's JSON format; nothing if it is malformed.
std::optional<Manifest> parseManifest(const std::string &text);

//! Formats a manifest in the platform's JSON format.
std::string formatManifest(const Manifest &manifest);

} // namespace chervilpaddle
