#include <chervilpaddle/controllers/configurationcontroller.h>

namespace chervilpaddle {

ConfigurationController::ConfigurationController()
    : m_bundle(std::make_shared<const ContractBundle>())
    , m_latest(m_bundle.read())
{
}

std::shared_ptr<const ContractBundle> ConfigurationController::current() const
{
    return m_bundle.read();
}

ApplyResult ConfigurationController::apply(const Manifest &manifest, const std::map<CustomerName, std::string> &contractTexts)
{
    if (!isNewer(manifest.revision)) {
        return manifest.revision == m_rejectedRevision ? ApplyResult::Rejected : ApplyResult::NotNewer;
    }
    const auto all = assembleContracts(manifest, contractTexts);
    if (all.size() != manifest.contractDigests.size()) {
        return ApplyResult::Incomplete;
    }
    std::vector<Problem> problems;
    ContractBundle bundle = buildBundle(manifest, all, problems);
    if (!problems.empty()) {
        m_rejectedRevision = manifest.revision;
        m_rejectionReasons = std::move(problems);
        return ApplyResult::Rejected;
    }
    m_latest = std::make_shared<const ContractBundle>(std::move(bundle));
    m_bundle.publish(m_latest);
    return ApplyResult::Applied;
}

std::vector<CustomerName> ConfigurationController::missingContracts(const Manifest &manifest) const
{
    std::vector<CustomerName> names;
    for (const auto &[customer, digest] : manifest.contractDigests) {
        const auto existing = m_latest->manifest.contractDigests.find(customer);
        if (existing == m_latest->manifest.contractDigests.end() || existing->second != digest) {
            names.push_back(customer);
        }
    }
    return names;
}

bool ConfigurationController::isNewer(Revision revision) const
{
    return m_latest->manifest.revision < revision && m_rejectedRevision != revision;
}

DocumentVersion ConfigurationController::version() const
{
    return {m_latest->manifest.revision, m_latest->digest};
}

Revision ConfigurationController::rejectedRevision() const
{
    return m_rejectedRevision;
}

const std::vector<Problem> &ConfigurationController::rejectionReasons() const
{
    return m_rejectionReasons;
}

std::map<CustomerName, std::string>
ConfigurationController::assembleContracts(const Manifest &manifest, const std::map<CustomerName, std::string> &contractTexts) const
{
    std::map<CustomerName, std::string> all;
    for (const auto &[customer, digest] : manifest.contractDigests) {
        if (const auto received = contractTexts.find(customer);
            received != contractTexts.end() && contractDigest(received->second) == digest) {
            all[customer] = received->second;
            continue;
        }
        const auto existing = m_latest->texts.find(customer);
        if (existing != m_latest->texts.end() && contractDigest(existing->second) == digest) {
            all[customer] = existing->second;
        }
    }
    return all;
}

MembershipController::MembershipController()
    : m_list(std::make_shared<const InstanceList>())
    , m_latest(m_list.read())
{
}

std::shared_ptr<const InstanceList> MembershipController::current() const
{
    return m_list.read();
}

ApplyResult MembershipController::apply(const InstanceList &list, TimePoint now)
{
    if (!(m_latest->revision < list.revision)) {
        return ApplyResult::NotNewer;
    }
    m_latest = std::make_shared<const InstanceList>(list);
    m_appliedAt = now;
    m_list.publish(m_latest);
    return ApplyResult::Applied;
}

DocumentVersion MembershipController::version() const
{
    return {m_latest->revision, m_latest->digest};
}

TimePoint MembershipController::appliedAt() const
{
    return m_appliedAt;
}

} // namespace chervilpaddle
