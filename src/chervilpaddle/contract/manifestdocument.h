#pragma once

#include <chervilpaddle/contract/bundle.h>

#include <optional>
#include <string>

namespace chervilpaddle {

//! Parses the platform's manifest (JSON); nothing where it is malformed.
std::optional<Manifest> parseManifest(const std::string &text);

//! The manifest as the platform publishes it.
std::string formatManifest(const Manifest &manifest);

} // namespace chervilpaddle
