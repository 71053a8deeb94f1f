#include <chervilpaddle/contract/contract.h>

#include <chervilpaddle/base/inidocument.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace chervilpaddle {

namespace {

constexpr double maxRatePerSecond = 1e7;
const std::string operationPrefix = "operation ";

class ContractParser
{
public:
    ContractParser(std::string file, std::vector<Problem> &problems)
        : m_file(std::move(file))
        , m_problems(problems)
    {
    }

    Contract parse(const std::string &text)
    {
        Contract contract;
        contract.file = m_file;
        if (text.size() > maxContractBytes) {
            report(ResultCode::ContractTooLarge, 0, {}, "the contract is larger than 1 MiB");
            return contract;
        }
        const IniDocument document = parseIni(text, m_file, ResultCode::ContractUnreadable, m_problems);
        for (const IniSection &section : document.sections) {
            parseSection(section, contract);
        }
        if (contract.customer.isEmpty()) {
            report(ResultCode::ContractKeyMissing, 0, "name", "section [customer] or its name is missing");
        }
        return contract;
    }

private:
    void parseSection(const IniSection &section, Contract &contract)
    {
        if (section.name == "customer") {
            parseCustomer(section, contract);
        } else if (section.name.rfind(operationPrefix, 0) == 0) {
            parseOperation(section, contract);
        } else {
            report(ResultCode::ContractKeyUnknown, section.line, {}, "section [" + section.name + "] is not known");
        }
    }

    void parseCustomer(const IniSection &section, Contract &contract)
    {
        for (const IniEntry &entry : section.entries) {
            if (entry.key != "name") {
                report(ResultCode::ContractKeyUnknown, entry.line, entry.key, "the key is not known");
            } else if (entry.value.empty()) {
                report(ResultCode::ContractValueInvalid, entry.line, entry.key, "the name is empty");
            } else {
                contract.customer = CustomerName(entry.value);
            }
        }
    }

    void parseOperation(const IniSection &section, Contract &contract)
    {
        OperationTerms terms;
        terms.operation = OperationName(trimmed(section.name.substr(operationPrefix.size())));
        terms.line = section.line;
        if (!isOperationName(terms.operation.value())) {
            report(ResultCode::ContractValueInvalid, section.line, {}, "an operation name has the form 'service.method'");
        }
        if (contract.find(terms.operation) != nullptr) {
            report(ResultCode::ContractDuplicate, section.line, {}, "operation " + terms.operation.value() + " is defined twice");
        }
        for (const IniEntry &entry : section.entries) {
            parseEntry(entry, terms);
        }
        for (const char *key : {"worth", "deadline", "idempotent", "repeats"}) {
            if (section.find(key) == nullptr) {
                report(ResultCode::ContractKeyMissing, section.line, key, "the key is missing in section [" + section.name + "]");
            }
        }
        contract.operations.push_back(std::move(terms));
    }

    void parseEntry(const IniEntry &entry, OperationTerms &terms)
    {
        if (entry.key == "worth") {
            terms.priority = Priority(parseInteger(entry, minPriority, maxPriority));
        } else if (entry.key == "deadline") {
            terms.deadline = parseDeadline(entry);
        } else if (entry.key == "idempotent") {
            terms.idempotent = parseYesNo(entry);
        } else if (entry.key == "repeats") {
            terms.retryAllowance = parseInteger(entry, 0, maxContractRetryAllowance);
        } else if (entry.key == "rate") {
            terms.ratePerSecond = parseRate(entry);
        } else if (entry.key == "calls") {
            terms.calls = parseCalls(entry);
        } else {
            report(ResultCode::ContractKeyUnknown, entry.line, entry.key, "the key is not known");
        }
    }

    int parseInteger(const IniEntry &entry, int minimum, int maximum)
    {
        int number = minimum;
        const char *end = entry.value.data() + entry.value.size();
        const auto [rest, error] = std::from_chars(entry.value.data(), end, number);
        if (error != std::errc() || rest != end || number < minimum || number > maximum) {
            reportInvalidValue(entry, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return minimum;
        }
        return number;
    }

    Duration parseDeadline(const IniEntry &entry)
    {
        const auto deadline = parseDuration(entry.value);
        if (!deadline || *deadline <= Duration::zero() || *deadline > maxDeadline) {
            reportInvalidValue(entry, "a duration such as 250ms or 2s, up to 5 minutes");
            return std::chrono::seconds(1);
        }
        return *deadline;
    }

    bool parseYesNo(const IniEntry &entry)
    {
        if (entry.value != "yes" && entry.value != "no") {
            reportInvalidValue(entry, "yes or no");
        }
        return entry.value == "yes";
    }

    std::optional<double> parseRate(const IniEntry &entry)
    {
        double rate = 0;
        const char *end = entry.value.data() + entry.value.size();
        const auto [rest, error] = std::from_chars(entry.value.data(), end, rate);
        if (error != std::errc() || std::string(rest, end) != "/s" || !(rate > 0) || rate > maxRatePerSecond) {
            reportInvalidValue(entry, "a rate such as 120/s");
            return std::nullopt;
        }
        return rate;
    }

    std::vector<OperationName> parseCalls(const IniEntry &entry)
    {
        std::vector<OperationName> calls;
        for (const std::string &name : splitList(entry.value)) {
            const OperationName operation(name);
            if (std::find(calls.begin(), calls.end(), operation) != calls.end()) {
                report(ResultCode::ContractDuplicate, entry.line, entry.key, "operation " + name + " is listed twice");
            }
            calls.push_back(operation);
        }
        return calls;
    }

    static bool isOperationName(const std::string &name)
    {
        const auto dot = name.find('.');
        const bool hasOneDot = dot != std::string::npos && name.find('.', dot + 1) == std::string::npos;
        const bool hasValidCharacters =
            std::all_of(name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '.' || c == '-'; });
        return hasOneDot && hasValidCharacters && dot > 0 && dot + 1 < name.size();
    }

    void reportInvalidValue(const IniEntry &entry, const std::string &expected)
    {
        report(ResultCode::ContractValueInvalid, entry.line, entry.key, "'" + entry.value + "' is not " + expected);
    }

    void report(ResultCode code, int line, const std::string &key, const std::string &reason)
    {
        m_problems.push_back({code, m_file, line, key, reason});
    }

    std::string m_file;
    std::vector<Problem> &m_problems;
};

} // namespace

const OperationTerms *Contract::find(const OperationName &operation) const
{
    const auto terms = std::find_if(operations.begin(), operations.end(), [&](const auto &t) { return t.operation == operation; });
    return terms == operations.end() ? nullptr : &*terms;
}

Contract parseContract(const std::string &text, const std::string &file, std::vector<Problem> &problems)
{
    return ContractParser(file, problems).parse(text);
}

std::optional<Duration> parseDuration(const std::string &text)
{
    long long number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    const std::string unit(rest, end);
    constexpr long long maximum = 1'000'000'000;
    if (error != std::errc() || number < 0 || number > maximum) {
        return std::nullopt;
    }
    if (unit == "us") {
        return Duration(number);
    }
    if (unit == "ms") {
        return std::chrono::milliseconds(number);
    }
    if (unit == "s") {
        return std::chrono::seconds(number);
    }
    return std::nullopt;
}

} // namespace chervilpaddle
