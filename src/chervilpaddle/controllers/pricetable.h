#pragma once

#include <chervilpaddle/peer/messages.h>

#include <map>

namespace chervilpaddle {

//! The prices that answers have carried back, by instance and operation. They fade to nothing within
//! priceLifetime, so that old news cannot hold back a recovery. Not thread safe.
class PriceTable
{
public:
    void record(const InstanceId &instance, const OperationName &operation, Rank price, TimePoint now);
    Rank price(const InstanceId &instance, const OperationName &operation, TimePoint now) const;
    void forget(const InstanceId &instance);
    //! All prices that still count, by instance and operation.
    std::map<InstanceId, std::map<OperationName, Rank>> current(TimePoint now) const;

private:
    struct Known
    {
        Rank price = 0;
        TimePoint updated;
    };
    std::map<InstanceId, std::map<OperationName, Known>> m_prices;
};

//! How long a price counts after the answer that carried it.
constexpr Duration priceLifetime = std::chrono::milliseconds(400);

} // namespace chervilpaddle
