#pragma once

#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/base/storeera.h>

#include <string>
#include <tuple>

namespace chervilpaddle {

//! A state in the history of the store. A store that is restored from a copy gives out its revisions again, in a new era, so that
//! revisions of different eras say nothing about which of them is newer.
struct StorePosition
{
    StoreEra era;
    Revision revision;

    friend bool operator==(const StorePosition &a, const StorePosition &b)
    {
        return a.era == b.era && a.revision == b.revision;
    }
    friend bool operator!=(const StorePosition &a, const StorePosition &b)
    {
        return !(a == b);
    }
    friend bool operator<(const StorePosition &a, const StorePosition &b)
    {
        return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
    }
};

//! For log lines.
inline std::string toText(const StorePosition &position)
{
    return "revision " + std::to_string(position.revision.value()) + " of era " + std::to_string(position.era.value());
}

} // namespace chervilpaddle
