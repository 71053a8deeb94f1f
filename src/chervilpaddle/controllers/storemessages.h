#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/base/ids.h>
#include <chervilpaddle/controllers/storeposition.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chervilpaddle {

//! A key of the platform's store with its last written value.
struct StoreItem
{
    std::string key;
    std::string value;
    Revision revision;
    //! The era of the revision. Not part of an item in the store's responses, where it applies to the whole response.
    StoreEra era = {};

    StorePosition position() const
    {
        return {era, revision};
    }
};

//! The change of a key: written or removed.
struct StoreEvent
{
    StoreItem item;
    bool isRemoved = false;
};

//! Outcome of a request to the store.
enum class StoreStatus {
    Success,
    Compacted, //!< The requested changes are no longer available: all items must be read again.
    Failed, //!< The store refused the request or could not be reached.
    TimedOut, //!< A connection was open, but no complete response arrived on it in time.
};

//! One page of the items under a prefix, ordered by key.
struct StorePage
{
    StoreStatus status = StoreStatus::Failed;
    std::vector<StoreItem> items;
    bool hasMore = false;
    Revision storeRevision;
    //! Not set if the store does not report it.
    std::optional<StoreEra> era = std::nullopt;
};

//! Changes to the items under a prefix.
struct StoreChanges
{
    StoreStatus status = StoreStatus::Failed;
    std::vector<StoreEvent> events;
    Revision storeRevision;
    //! Not set if the store does not report it.
    std::optional<StoreEra> era = std::nullopt;
};

//! Reads take milliseconds, but the store may be 50 times slower under faults.
constexpr Duration storeReadTimeout = std::chrono::seconds(2);
//! The response to a watch may arrive this much later than the requested wait, because the store may be slow.
constexpr Duration storeWatchMargin = std::chrono::milliseconds(600);
//! Connections to the store that were idle for longer are not reused, as they may have become silent. Readers pause for less.
constexpr Duration maxStoreIdleTime = std::chrono::seconds(2);

//! Interface to a store that supports range reads and watches. Each callback is called exactly once. A request ends with
//! StoreStatus::TimedOut after the times above.
struct StoreReader
{
    //! Reads items under the prefix whose keys are greater than `afterKey`.
    std::function<void(const std::string &prefix, const std::string &afterKey, std::function<void(const StorePage &)>)> range;
    //! Waits for up to `wait` for changes under the prefix that are newer than the revision `after`.
    std::function<void(const std::string &prefix, Revision after, Duration wait, std::function<void(const StoreChanges &)>)> watch;
    //! Closes the connections that carry no request, so that the next request opens a new one.
    std::function<void()> closeIdleConnections;
};

} // namespace chervilpaddle
