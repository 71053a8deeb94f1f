#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace chervilpaddle {

//! A string that can only be compared with strings of the same tag.
template<typename Tag>
class StrongString
{
public:
    StrongString() = default;
    explicit StrongString(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }
    bool isEmpty() const
    {
        return m_value.empty();
    }

    friend bool operator==(const StrongString &a, const StrongString &b)
    {
        return a.m_value == b.m_value;
    }
    friend bool operator!=(const StrongString &a, const StrongString &b)
    {
        return !(a == b);
    }
    friend bool operator<(const StrongString &a, const StrongString &b)
    {
        return a.m_value < b.m_value;
    }

private:
    std::string m_value;
};

//! A number that can only be compared with numbers of the same tag.
template<typename Tag, typename Number = std::uint64_t>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Number value)
        : m_value(value)
    {
    }

    constexpr Number value() const
    {
        return m_value;
    }

    friend constexpr bool operator==(StrongNumber a, StrongNumber b)
    {
        return a.m_value == b.m_value;
    }
    friend constexpr bool operator!=(StrongNumber a, StrongNumber b)
    {
        return a.m_value != b.m_value;
    }
    friend constexpr bool operator<(StrongNumber a, StrongNumber b)
    {
        return a.m_value < b.m_value;
    }

private:
    Number m_value{};
};

using InstanceId = StrongString<struct InstanceIdTag>;
//! Identifies one run of a backend server process; empty if the platform does not distinguish restarts.
using BackendId = StrongString<struct BackendIdTag>;
using ServiceName = StrongString<struct ServiceNameTag>;
using CustomerName = StrongString<struct CustomerNameTag>;
using DataCentreName = StrongString<struct DataCentreNameTag>;
//! Identifies a request from an external caller; every call in its call tree carries it.
using RequestId = StrongString<struct RequestIdTag>;
//! In the form "service.method".
using OperationName = StrongString<struct OperationNameTag>;
//! Random number chosen at process start; zero means unknown.
using Incarnation = StrongNumber<struct IncarnationTag>;
//! Revision number of a published document; higher is newer.
using Revision = StrongNumber<struct RevisionTag>;
//! Priority that a contract assigns to a request; higher is more important. Range: see contract.h.
using Priority = StrongNumber<struct PriorityTag, int>;

//! Returns the service part of an operation name; empty if the name contains no dot.
inline ServiceName serviceOf(const OperationName &operation)
{
    const auto dot = operation.value().find('.');
    return ServiceName(dot == std::string::npos ? std::string() : operation.value().substr(0, dot));
}

} // namespace chervilpaddle

namespace std {
template<typename Tag>
struct hash<chervilpaddle::StrongString<Tag>>
{
    size_t operator()(const chervilpaddle::StrongString<Tag> &s) const noexcept
    {
        return hash<string>()(s.value());
    }
};
template<typename Tag, typename Number>
struct hash<chervilpaddle::StrongNumber<Tag, Number>>
{
    size_t operator()(chervilpaddle::StrongNumber<Tag, Number> n) const noexcept
    {
        return hash<Number>()(n.value());
    }
};
} // namespace std
