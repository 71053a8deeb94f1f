#include <chervilpaddle/controllers/pricetable.h>

namespace chervilpaddle {

void PriceTable::record(const InstanceId &instance, const OperationName &operation, Rank price, TimePoint now)
{
    m_prices[instance][operation] = {price, now};
}

Rank PriceTable::price(const InstanceId &instance, const OperationName &operation, TimePoint now) const
{
    const auto prices = m_prices.find(instance);
    if (prices == m_prices.end()) {
        return 0;
    }
    const auto entry = prices->second.find(operation);
    if (entry == prices->second.end() || now - entry->second.updated >= priceLifetime) {
        return 0;
    }
    return entry->second.price;
}

std::map<InstanceId, std::map<OperationName, Rank>> PriceTable::current(TimePoint now) const
{
    std::map<InstanceId, std::map<OperationName, Rank>> current;
    for (const auto &[instance, operations] : m_prices) {
        for (const auto &[operation, entry] : operations) {
            if (const Rank validPrice = price(instance, operation, now); validPrice > 0) {
                current[instance][operation] = validPrice;
            }
        }
    }
    return current;
}

void PriceTable::forget(const InstanceId &instance)
{
    m_prices.erase(instance);
}

} // namespace chervilpaddle
