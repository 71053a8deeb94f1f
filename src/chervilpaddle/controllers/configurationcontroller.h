#pragma once

#include <chervilpaddle/base/rcucell.h>
#include <chervilpaddle/contract/bundle.h>
#include <chervilpaddle/controllers/instancelist.h>
#include <chervilpaddle/peer/messages.h>

#include <memory>
#include <vector>

namespace chervilpaddle {

//! What became of an offered document.
enum class ApplyResult {
    Applied,
    NotNewer,
    Rejected, //!< It does not check; the one in force stays.
    Incomplete, //!< Some of its parts are missing.
};

//! Holds the contracts in force. The highest revision that checks wins, whatever its source and order of arrival;
//! nothing ever goes back. Reading is safe from registered threads (see RcuCell); offering belongs to one thread.
class ConfigurationController
{
public:
    ConfigurationController();

    //! The bundle in force; its revision is zero before the first one.
    std::shared_ptr<const ContractBundle> current() const;

    //! Offers a manifest with the contracts that are not held yet.
    ApplyResult apply(const Manifest &manifest, const std::map<CustomerName, std::string> &texts);
    //! The customers whose contracts must be fetched before the manifest can be offered.
    std::vector<CustomerName> missingContracts(const Manifest &manifest) const;
    //! Whether a manifest of this revision would be looked at.
    bool isNewer(Revision revision) const;

    DocumentVersion version() const;
    Revision rejectedRevision() const;
    const std::vector<Problem> &rejectionReasons() const;

private:
    std::map<CustomerName, std::string> assemble(const Manifest &manifest, const std::map<CustomerName, std::string> &texts) const;

    RcuCell<ContractBundle> m_bundle;
    std::shared_ptr<const ContractBundle> m_latest;
    Revision m_rejectedRevision;
    std::vector<Problem> m_rejectionReasons;
};

//! Holds the platform's list in force. The highest revision wins. Threads as for ConfigurationController.
class MembershipController
{
public:
    MembershipController();

    std::shared_ptr<const InstanceList> current() const;
    ApplyResult apply(const InstanceList &list, TimePoint now);
    DocumentVersion version() const;
    //! When the list in force was adopted.
    TimePoint appliedAt() const;

private:
    RcuCell<InstanceList> m_list;
    std::shared_ptr<const InstanceList> m_latest;
    TimePoint m_appliedAt;
};

} // namespace chervilpaddle
