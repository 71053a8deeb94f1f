#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>

#include <functional>
#include <string>
#include <vector>

namespace chervilpaddle {

//! One key of the platform's store, as it was last written.
struct StoreItem
{
    std::string key;
    std::string value;
    Revision revision;
};

//! A key was written or removed.
struct StoreEvent
{
    StoreItem item;
    bool isRemoved = false;
};

//! How a call to the store ended.
enum class StoreStatus {
    Success,
    Compacted, //!< The changes asked for are no longer kept: everything must be read again.
    Failed,
};

//! A part of the items below a prefix, in order of their keys.
struct StorePage
{
    StoreStatus status = StoreStatus::Failed;
    std::vector<StoreItem> items;
    bool hasMore = false;
    Revision storeRevision;
};

//! What has changed below a prefix.
struct StoreChanges
{
    StoreStatus status = StoreStatus::Failed;
    std::vector<StoreEvent> events;
    Revision storeRevision;
};

//! How a store that can be read by range and watched is asked. Each callback is called exactly once.
struct StoreReader
{
    //! Items below the prefix with keys after the given one.
    std::function<void(const std::string &prefix, const std::string &afterKey, std::function<void(const StorePage &)>)> range;
    //! Waits for changes below the prefix that are newer than the revision.
    std::function<void(const std::string &prefix, Revision after, Duration wait, std::function<void(const StoreChanges &)>)> watch;
};

} // namespace chervilpaddle
