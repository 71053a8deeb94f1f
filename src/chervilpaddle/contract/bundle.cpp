#include <chervilpaddle/contract/bundle.h>

#include <chervilpaddle/base/inidocument.h>
#include <chervilpaddle/base/random.h>

#include <algorithm>
#include <set>

namespace chervilpaddle {

namespace {

class BundleChecker
{
public:
    BundleChecker(const ContractBundle &bundle, std::vector<Problem> &problems)
        : m_bundle(bundle)
        , m_problems(problems)
    {
    }

    void check()
    {
        for (const auto &[customer, contract] : m_bundle.contracts) {
            checkCustomer(customer, contract);
            for (const OperationTerms &terms : contract.operations) {
                checkService(contract, terms);
                checkCalls(contract, terms);
                checkDepth(contract, terms, terms, 1);
                checkAgreement(contract, terms);
            }
        }
    }

private:
    void checkCustomer(const CustomerName &expected, const Contract &contract)
    {
        if (contract.customer != expected) {
            report(ResultCode::ContractCustomerUnknown,
                   contract,
                   0,
                   "the contract is for customer '" + contract.customer.value() + "', but the manifest lists it for '" + expected.value()
                       + "'");
        }
    }

    void checkService(const Contract &contract, const OperationTerms &terms)
    {
        const auto &services = m_bundle.manifest.services;
        if (std::find(services.begin(), services.end(), serviceOf(terms.operation)) == services.end()) {
            report(ResultCode::ContractServiceUnknown,
                   contract,
                   terms.line,
                   "service '" + serviceOf(terms.operation).value() + "' is not listed in the manifest");
        }
    }

    void checkCalls(const Contract &contract, const OperationTerms &terms)
    {
        for (const OperationName &name : terms.calls) {
            const OperationTerms *callee = contract.find(name);
            if (callee == nullptr) {
                report(ResultCode::ContractOperationUnknown,
                       contract,
                       terms.line,
                       terms.operation.value() + " calls " + name.value() + ", which the contract does not define");
                continue;
            }
            if (terms.idempotent && !callee->idempotent) {
                report(ResultCode::ContractRepeatsUnsafe,
                       contract,
                       terms.line,
                       terms.operation.value() + " is idempotent but calls " + name.value() + ", which is not idempotent");
            }
            if (terms.deadline < callee->deadline) {
                report(ResultCode::ContractDeadlineShort,
                       contract,
                       terms.line,
                       terms.operation.value() + " has a shorter deadline than " + name.value() + ", which it calls");
            }
        }
    }

    //! Follows all call chains down to maxCallDepth. A cycle is found as a chain that exceeds it.
    void checkDepth(const Contract &contract, const OperationTerms &root, const OperationTerms &terms, int depth)
    {
        if (m_tooDeep.count(&root) != 0) {
            return;
        }
        if (depth > maxCallDepth) {
            m_tooDeep.insert(&root);
            report(ResultCode::ContractCycle, contract, root.line, root.operation.value() + " has a call cycle or calls more than 21 deep");
            return;
        }
        if (auto &deepest = m_deepestChecked[&terms]; deepest >= depth) {
            return;
        } else {
            deepest = depth;
        }
        for (const OperationName &name : terms.calls) {
            if (const OperationTerms *callee = contract.find(name); callee != nullptr) {
                checkDepth(contract, root, *callee, depth + 1);
            }
        }
    }

    void checkAgreement(const Contract &contract, const OperationTerms &terms)
    {
        const auto [first, isNew] = m_termsByOperation.emplace(terms.operation, &terms);
        if (!isNew && first->second->idempotent != terms.idempotent) {
            report(ResultCode::ContractDisagrees,
                   contract,
                   terms.line,
                   "another contract disagrees on whether " + terms.operation.value() + " is idempotent");
        }
    }

    void report(ResultCode code, const Contract &contract, int line, const std::string &reason)
    {
        m_problems.push_back({code, contract.file, line, {}, reason});
    }

    const ContractBundle &m_bundle;
    std::vector<Problem> &m_problems;
    std::map<OperationName, const OperationTerms *> m_termsByOperation;
    std::map<const OperationTerms *, int> m_deepestChecked;
    std::set<const OperationTerms *> m_tooDeep;
};

struct TreeShape
{
    int depth = 0;
    int calls = 0;
};

constexpr int maxCountedCalls = 1'000'000;

using ShapeMemo = std::map<const OperationTerms *, TreeShape>;

TreeShape shapeOf(const Contract &contract, const OperationTerms &terms, ShapeMemo &memo)
{
    if (const auto known = memo.find(&terms); known != memo.end()) {
        return known->second;
    }
    TreeShape shape{1, 1};
    for (const OperationName &name : terms.calls) {
        if (const OperationTerms *callee = contract.find(name); callee != nullptr) {
            const TreeShape child = shapeOf(contract, *callee, memo);
            shape.depth = std::max(shape.depth, child.depth + 1);
            shape.calls = std::min(maxCountedCalls, shape.calls + child.calls);
        }
    }
    memo[&terms] = shape;
    return shape;
}

DerivedLimits limitsOf(const Contract &contract, const OperationTerms &terms)
{
    ShapeMemo memo;
    const TreeShape shape = shapeOf(contract, terms, memo);
    DerivedLimits limits;
    limits.customer = contract.customer;
    limits.operation = terms.operation;
    limits.priority = terms.priority;
    limits.deadline = terms.deadline;
    limits.needsTicket = !terms.idempotent;
    limits.retryAllowance = terms.retryAllowance;
    limits.depth = shape.depth;
    limits.treeCalls = shape.calls;
    limits.maxCalls = shape.calls * (1 + terms.retryAllowance);
    limits.ratePerSecond = terms.ratePerSecond.value_or(0);
    limits.burst = std::max(1.0, limits.ratePerSecond * toSeconds(terms.deadline));
    return limits;
}

Manifest parseManifestFile(const std::string &text, const std::string &file, std::vector<Problem> &problems)
{
    Manifest manifest;
    const IniDocument document = parseIni(text, file, ResultCode::ContractUnreadable, problems);
    for (const IniSection &section : document.sections) {
        for (const IniEntry &entry : section.entries) {
            if (section.name == "bundle" && entry.key == "customers") {
                for (const std::string &name : splitList(entry.value)) {
                    manifest.contractDigests[CustomerName(name)] = {};
                }
            } else if (section.name == "bundle" && entry.key == "services") {
                for (const std::string &name : splitList(entry.value)) {
                    manifest.services.emplace_back(name);
                }
            } else {
                problems.push_back({ResultCode::ContractKeyUnknown, file, entry.line, entry.key, "the key is not known"});
            }
        }
    }
    return manifest;
}

} // namespace

const OperationTerms *ContractBundle::find(const CustomerName &customer, const OperationName &operation) const
{
    const auto contract = contracts.find(customer);
    return contract == contracts.end() ? nullptr : contract->second.find(operation);
}

bool ContractBundle::hasCustomer(const CustomerName &customer) const
{
    return contracts.count(customer) != 0;
}

Duration ContractBundle::longestDeadline() const
{
    Duration longest{};
    for (const auto &[customer, contract] : contracts) {
        for (const OperationTerms &terms : contract.operations) {
            longest = std::max(longest, terms.deadline);
        }
    }
    return longest;
}

std::vector<ServiceName> ContractBundle::servicesCalledBy(const ServiceName &service) const
{
    std::set<ServiceName> called;
    for (const auto &[customer, contract] : contracts) {
        for (const OperationTerms &terms : contract.operations) {
            if (serviceOf(terms.operation) != service) {
                continue;
            }
            for (const OperationName &callee : terms.calls) {
                called.insert(serviceOf(callee));
            }
        }
    }
    return {called.begin(), called.end()};
}

ContractBundle buildBundle(const Manifest &manifest, const std::map<CustomerName, std::string> &texts, std::vector<Problem> &problems)
{
    ContractBundle bundle;
    bundle.manifest = manifest;
    bundle.texts = texts;
    bundle.digest = manifestDigest(manifest);
    const std::size_t problemsBefore = problems.size();
    for (const auto &[customer, digest] : manifest.contractDigests) {
        const std::string file = customer.value() + ".ini";
        const auto text = texts.find(customer);
        if (text == texts.end()) {
            problems.push_back({ResultCode::ContractUnreadable, file, 0, {}, "the contract listed in the manifest is missing"});
        } else if (!digest.empty() && contractDigest(text->second) != digest) {
            problems.push_back({ResultCode::ContractUnreadable, file, 0, {}, "the contract does not match its digest in the manifest"});
        } else {
            bundle.contracts[customer] = parseContract(text->second, file, problems);
        }
    }
    if (problems.size() == problemsBefore) {
        BundleChecker(bundle, problems).check();
    }
    return bundle;
}

ContractBundle loadBundle(const std::string &directory, std::vector<Problem> &problems)
{
    const std::string manifestFile = directory + "/bundle.ini";
    const auto manifestText = readFile(manifestFile);
    if (!manifestText) {
        problems.push_back({ResultCode::ContractUnreadable, manifestFile, 0, {}, "the file cannot be read"});
        return {};
    }
    Manifest manifest = parseManifestFile(*manifestText, manifestFile, problems);
    std::map<CustomerName, std::string> texts;
    for (auto &[customer, digest] : manifest.contractDigests) {
        if (auto text = readFile(directory + "/" + customer.value() + ".ini"); text) {
            digest = contractDigest(*text);
            texts[customer] = std::move(*text);
        }
    }
    return buildBundle(manifest, texts, problems);
}

std::string contractDigest(const std::string &text)
{
    return hexDigest(text);
}

std::string manifestDigest(const Manifest &manifest)
{
    std::string content = std::to_string(manifest.revision.value());
    for (const auto &[customer, digest] : manifest.contractDigests) {
        content += '\n' + customer.value() + '=' + digest;
    }
    for (const ServiceName &service : manifest.services) {
        content += '\n' + service.value();
    }
    return hexDigest(content);
}

std::vector<DerivedLimits> deriveLimits(const ContractBundle &bundle)
{
    std::vector<DerivedLimits> rows;
    for (const auto &[customer, contract] : bundle.contracts) {
        for (const OperationTerms &terms : contract.operations) {
            if (terms.ratePerSecond) {
                rows.push_back(limitsOf(contract, terms));
            }
        }
    }
    return rows;
}

} // namespace chervilpaddle
