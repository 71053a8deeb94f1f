#pragma once

#include <chervilpaddle/base/ids.h>

#include <tuple>

namespace chervilpaddle {

//! Number of times that the store was restored from a copy. Zero if the store or the peer that reports it does not count them.
using StoreEra = StrongNumber<struct StoreEraTag>;

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

} // namespace chervilpaddle
