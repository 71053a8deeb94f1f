#pragma once

#include <chervilpaddle/peer/messages.h>

#include <map>

namespace chervilpaddle {

//! Prices (admission thresholds: the lowest rank that is admitted) that instances have reported in their answers, by
//! instance and operation. A price expires after priceLifetime, so that an outdated one cannot delay recovery. Not
//! thread-safe.
class PriceTable
{
public:
    void record(const InstanceId &instance, const OperationName &operation, Rank price, TimePoint now);
    //! Returns the price, or zero if none is known or it has expired.
    Rank price(const InstanceId &instance, const OperationName &operation, TimePoint now) const;
    void forget(const InstanceId &instance);
    //! All prices above zero that have not expired, by instance and operation.
    std::map<InstanceId, std::map<OperationName, Rank>> current(TimePoint now) const;

private:
    struct Entry
    {
        Rank price = 0;
        TimePoint updated;
    };
    std::map<InstanceId, std::map<OperationName, Entry>> m_prices;
};

//! How long a price is valid after the answer that reported it.
constexpr Duration priceLifetime = std::chrono::milliseconds(400);

} // namespace chervilpaddle
