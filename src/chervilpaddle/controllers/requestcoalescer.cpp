#include <chervilpaddle/controllers/requestcoalescer.h>

namespace chervilpaddle {

EntryRequestId RequestCoalescer::submit(const std::string &key, bool mayJoin, const Start &start, Completion completion)
{
    const EntryRequestId entry(++m_lastEntry);
    if (const auto joinable = m_joinable.find(key); mayJoin && joinable != m_joinable.end()) {
        m_calls.at(joinable->second).waiting[entry] = std::move(completion);
        m_callOf[entry] = joinable->second;
        return entry;
    }
    Call &call = m_calls[entry];
    call.key = key;
    call.waiting[entry] = std::move(completion);
    m_callOf[entry] = entry;
    m_joinable[key] = entry;
    const CallId id = start([this, entry](const CallResult &result) { finish(entry, result); });
    if (const auto still = m_calls.find(entry); still != m_calls.end()) {
        still->second.id = id;
    }
    return entry;
}

void RequestCoalescer::finish(EntryRequestId number, const CallResult &result)
{
    auto node = m_calls.extract(number);
    const Call &call = node.mapped();
    if (const auto joinable = m_joinable.find(call.key); joinable != m_joinable.end() && joinable->second == number) {
        m_joinable.erase(joinable);
    }
    for (const auto &[entry, completion] : call.waiting) {
        m_callOf.erase(entry);
        completion(result);
    }
}

CallId RequestCoalescer::abandon(EntryRequestId entry)
{
    const auto number = m_callOf.find(entry);
    if (number == m_callOf.end()) {
        return CallId();
    }
    Call &call = m_calls.at(number->second);
    m_callOf.erase(number);
    call.waiting.erase(entry);
    return call.waiting.empty() ? call.id : CallId();
}

} // namespace chervilpaddle
