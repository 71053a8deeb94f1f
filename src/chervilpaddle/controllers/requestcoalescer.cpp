#include <chervilpaddle/controllers/requestcoalescer.h>

namespace chervilpaddle {

EntryRequestId RequestCoalescer::submit(const std::string &key, bool mayJoin, const Start &start, Completion completion)
{
    const EntryRequestId request(++m_lastRequest);
    if (const auto joinable = m_joinable.find(key); mayJoin && joinable != m_joinable.end()) {
        m_calls.at(joinable->second).waiting[request] = std::move(completion);
        m_callOf[request] = joinable->second;
        return request;
    }
    Call &call = m_calls[request];
    call.key = key;
    call.waiting[request] = std::move(completion);
    m_callOf[request] = request;
    m_joinable[key] = request;
    const CallId id = start([this, request](const CallResult &result) { finish(request, result); });
    if (const auto unfinished = m_calls.find(request); unfinished != m_calls.end()) {
        unfinished->second.id = id;
    }
    return request;
}

void RequestCoalescer::finish(EntryRequestId initiator, const CallResult &result)
{
    auto node = m_calls.extract(initiator);
    const Call &call = node.mapped();
    if (const auto joinable = m_joinable.find(call.key); joinable != m_joinable.end() && joinable->second == initiator) {
        m_joinable.erase(joinable);
    }
    for (const auto &[request, completion] : call.waiting) {
        m_callOf.erase(request);
        completion(result);
    }
}

CallId RequestCoalescer::abandon(EntryRequestId request)
{
    const auto initiator = m_callOf.find(request);
    if (initiator == m_callOf.end()) {
        return CallId();
    }
    Call &call = m_calls.at(initiator->second);
    m_callOf.erase(initiator);
    call.waiting.erase(request);
    return call.waiting.empty() ? call.id : CallId();
}

} // namespace chervilpaddle
