#pragma once

#include <chervilpaddle/base/rcucell.h>
#include <chervilpaddle/contract/bundle.h>
#include <chervilpaddle/controllers/instancelist.h>
#include <chervilpaddle/peer/messages.h>

#include <memory>
#include <vector>

namespace chervilpaddle {

//! Result of applying a document.
enum class ApplyResult {
    Applied,
    NotNewer,
    Rejected, //!< The document is invalid; the current one stays in force.
    Incomplete, //!< Contracts that the manifest lists are missing.
};

//! Holds the contracts in force. The highest valid revision wins, whatever its source and order of arrival; the revision never
//! decreases. current() may be called from registered threads (see RcuCell), all other functions from one thread only.
class ConfigurationController
{
public:
    ConfigurationController();

    //! The bundle in force. Its revision is zero until one has been applied.
    std::shared_ptr<const ContractBundle> current() const;

    //! Applies a manifest. `contractTexts` must hold the contracts listed by missingContracts().
    ApplyResult apply(const Manifest &manifest, const std::map<CustomerName, std::string> &contractTexts);
    //! The customers whose contracts must be fetched before the manifest can be applied.
    std::vector<CustomerName> missingContracts(const Manifest &manifest) const;
    //! Whether the revision is newer than the current one and is not the one rejected last.
    bool isNewer(Revision revision) const;

    DocumentVersion version() const;
    Revision rejectedRevision() const;
    const std::vector<Problem> &rejectionReasons() const;

private:
    std::map<CustomerName, std::string> assembleContracts(const Manifest &manifest,
                                                          const std::map<CustomerName, std::string> &contractTexts) const;

    RcuCell<ContractBundle> m_bundle;
    std::shared_ptr<const ContractBundle> m_latest;
    Revision m_rejectedRevision;
    std::vector<Problem> m_rejectionReasons;
};

//! Holds the instance list in force. The highest revision wins. Thread safety as for ConfigurationController.
class MembershipController
{
public:
    MembershipController();

    std::shared_ptr<const InstanceList> current() const;
    ApplyResult apply(const InstanceList &list, TimePoint now);
    DocumentVersion version() const;
    //! When the list in force was applied.
    TimePoint appliedAt() const;

private:
    RcuCell<InstanceList> m_list;
    std::shared_ptr<const InstanceList> m_latest;
    TimePoint m_appliedAt;
};

} // namespace chervilpaddle
