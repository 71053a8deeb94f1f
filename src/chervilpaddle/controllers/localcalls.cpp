#include <chervilpaddle/controllers/localcalls.h>

namespace chervilpaddle {

LocalCalls::LocalCalls(Hooks hooks)
    : m_hooks(std::move(hooks))
{
}

void LocalCalls::send(const PeerMessage &message)
{
    m_hooks.post([this, message, sentAt = m_hooks.clock()] { deliver(message, m_hooks.clock() - sentAt); });
}

void LocalCalls::deliver(const PeerMessage &message, Duration queueingDelay)
{
    if (const auto *call = std::get_if<CallMessage>(&message); call != nullptr) {
        m_hooks.submit(*call, queueingDelay, [this](const ResponseMessage &response) {
            m_hooks.post([this, response] { m_hooks.respond(response); });
        });
    } else if (const auto *cancel = std::get_if<CancelMessage>(&message); cancel != nullptr) {
        m_hooks.cancel(cancel->ticket);
    }
}

} // namespace chervilpaddle
