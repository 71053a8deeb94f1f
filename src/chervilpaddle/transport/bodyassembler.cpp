#include <chervilpaddle/transport/bodyassembler.h>

#include <utility>

namespace chervilpaddle {

BodyAssembler::BodyAssembler(std::shared_ptr<BodyMemory> memory, Post post)
    : m_memory(std::move(memory))
    , m_post(std::move(post))
{
}

void BodyAssembler::add(const BodyPartMessage &part)
{
    Assembly &assembly = assemblyOf(part.ticket);
    if (assembly.isDiscarded) {
        return;
    }
    const std::size_t size = assembly.body.size() + part.bytes.size();
    if (size > maxBodyBytes || (assembly.share && !assembly.share->update(BodyMemory::Use::Receiving, size))) {
        discard(assembly);
        return;
    }
    if (assembly.body.empty()) {
        // Pages that are not used yet take no memory, whereas a body that grows is copied, and is there twice meanwhile.
        assembly.body.reserve(part.bodyBytes);
    }
    assembly.body += part.bytes;
}

void BodyAssembler::complete(ResponseMessage &answer)
{
    const auto found = m_assemblies.find(answer.ticket);
    if (found != m_assemblies.end() && !found->second->isDiscarded && found->second->body.size() == answer.payload.bodyBytesInParts) {
        answer.payload.body = std::make_shared<const std::string>(std::move(found->second->body));
    } else {
        answer.code = ResultCode::AnswerTooLarge;
        answer.payload = {};
    }
    answer.payload.bodyBytesInParts = 0;
    if (found != m_assemblies.end()) {
        m_assemblies.erase(found);
    }
}

BodyAssembler::Assembly &BodyAssembler::assemblyOf(const TicketId &ticket)
{
    std::shared_ptr<Assembly> &assembly = m_assemblies[ticket];
    if (!assembly) {
        assembly = std::make_shared<Assembly>();
        if (m_memory) {
            assembly->share = m_memory->hold([post = m_post, given = std::weak_ptr<Assembly>(assembly)] {
                post([given] {
                    if (const auto assembly = given.lock(); assembly) {
                        discard(*assembly);
                    }
                });
            });
        }
    }
    return *assembly;
}

void BodyAssembler::discard(Assembly &assembly)
{
    assembly.isDiscarded = true;
    assembly.body = {};
    assembly.share.reset();
}

} // namespace chervilpaddle
