#include <chervilpaddle/contract/bundle.h>
#include <chervilpaddle/contract/manifestdocument.h>

#include <algorithm>
#include <criterion/criterion.h>

using namespace chervilpaddle;

namespace {

const std::string validContract =
    "[customer]\nname = a\n[operation x.run]\nworth = 10\ndeadline = 500ms\nidempotent = yes\nrepeats = 2\nrate = 10/s\ncalls = y.run\n"
    "[operation y.run]\nworth = 10\ndeadline = 400ms\nidempotent = yes\nrepeats = 0\n";

std::vector<Problem> problemsOf(const std::map<std::string, std::string> &contracts)
{
    Manifest manifest;
    manifest.revision = Revision(1);
    manifest.services = {ServiceName("x"), ServiceName("y")};
    std::map<CustomerName, std::string> texts;
    for (const auto &[customer, text] : contracts) {
        manifest.contractDigests[CustomerName(customer)] = contractDigest(text);
        texts[CustomerName(customer)] = text;
    }
    std::vector<Problem> problems;
    buildBundle(manifest, texts, problems);
    return problems;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    cr_assert_neq(position, std::string::npos, "the test text does not contain '%s'", from.c_str());
    return text.replace(position, from.size(), to);
}

struct InvalidContract
{
    const char *from;
    const char *to;
    ResultCode code;
};

const InvalidContract invalidContracts[] = {
    {"worth = 10", "worth = 0", ResultCode::ContractValueInvalid},
    {"worth = 10", "worth = 1001", ResultCode::ContractValueInvalid},
    {"worth = 10", "worth = ten", ResultCode::ContractValueInvalid},
    {"worth = 10\n", "", ResultCode::ContractKeyMissing},
    {"worth = 10", "worth = 10\nworth = 11", ResultCode::ContractUnreadable},
    {"deadline = 500ms", "deadline = 500", ResultCode::ContractValueInvalid},
    {"deadline = 500ms", "deadline = 0ms", ResultCode::ContractValueInvalid},
    {"deadline = 500ms", "deadline = -1ms", ResultCode::ContractValueInvalid},
    {"deadline = 500ms", "deadline = 10000s", ResultCode::ContractValueInvalid},
    {"deadline = 500ms", "deadline = 300ms", ResultCode::ContractDeadlineShort},
    {"idempotent = yes", "idempotent = maybe", ResultCode::ContractValueInvalid},
    {"deadline = 400ms\nidempotent = yes", "deadline = 400ms\nidempotent = no", ResultCode::ContractRepeatsUnsafe},
    {"repeats = 2", "repeats = 101", ResultCode::ContractValueInvalid},
    {"repeats = 2", "repeats = -1", ResultCode::ContractValueInvalid},
    {"rate = 10/s", "rate = 10", ResultCode::ContractValueInvalid},
    {"rate = 10/s", "rate = 0/s", ResultCode::ContractValueInvalid},
    {"rate = 10/s", "rate = nan/s", ResultCode::ContractValueInvalid},
    {"rate = 10/s", "rat = 10/s", ResultCode::ContractKeyUnknown},
    {"calls = y.run", "calls = y.run, y.run", ResultCode::ContractDuplicate},
    {"calls = y.run", "calls = y.other", ResultCode::ContractOperationUnknown},
    {"calls = y.run", "calls = x.run", ResultCode::ContractCycle},
    {"[operation y.run]", "[operation x.run]", ResultCode::ContractUnreadable},
    {"[operation y.run]", "[operation run]", ResultCode::ContractValueInvalid},
    {"[operation y.run]", "[operations y.run]", ResultCode::ContractKeyUnknown},
    {"[operation y.run]", "[operation z.run]", ResultCode::ContractServiceUnknown},
    {"name = a", "name = b", ResultCode::ContractCustomerUnknown},
    {"name = a", "name =", ResultCode::ContractValueInvalid},
    {"[customer]\nname = a\n", "", ResultCode::ContractKeyMissing},
    {"worth = 10", "worth 10", ResultCode::ContractUnreadable},
};

} // namespace

Test(contract, a_valid_contract_is_accepted)
{
    const auto problems = problemsOf({{"a", validContract}});
    cr_assert(problems.empty(), "%s", problems.empty() ? "" : toText(problems.front()).c_str());
}

Test(contract, each_broken_contract_is_refused_with_its_code)
{
    for (const InvalidContract &invalid : invalidContracts) {
        const auto problems = problemsOf({{"a", replaced(validContract, invalid.from, invalid.to)}});
        const bool found = std::any_of(problems.begin(), problems.end(), [&](const Problem &p) { return p.code == invalid.code; });
        cr_expect(found, "'%s' in place of '%s' was not refused with %d", invalid.to, invalid.from, static_cast<int>(invalid.code));
    }
}

Test(contract, a_problem_names_its_line)
{
    const auto problems = problemsOf({{"a", replaced(validContract, "rate = 10/s", "rate = fast")}});
    cr_assert_eq(problems.front().line, 8);
    cr_assert_eq(problems.front().key, "rate");
}

Test(contract, contracts_that_disagree_on_idempotence_are_refused_together)
{
    const std::string other =
        "[customer]\nname = b\n[operation y.run]\nworth = 1\ndeadline = 1s\nidempotent = no\nrepeats = 0\nrate = 1/s\n";
    const auto problems = problemsOf({{"a", validContract}, {"b", other}});
    cr_assert_eq(problems.size(), 1);
    cr_assert_eq(problems.front().code, ResultCode::ContractDisagrees);
}

Test(contract, a_contract_over_a_megabyte_is_refused)
{
    const auto problems = problemsOf({{"a", validContract + std::string(maxContractBytes, '\n')}});
    cr_assert_eq(problems.front().code, ResultCode::ContractTooLarge);
}

Test(contract, an_indented_line_continues_a_list)
{
    std::vector<Problem> problems;
    const Contract contract = parseContract(replaced(validContract, "calls = y.run", "calls = y.run,\n    y.other"), "a.ini", problems);
    cr_assert(problems.empty());
    cr_assert_eq(contract.operations.front().calls.size(), 2);
}

Test(contract, a_manifest_survives_formatting_and_parsing)
{
    Manifest manifest;
    manifest.revision = Revision(17);
    manifest.services = {ServiceName("x")};
    manifest.contractDigests[CustomerName("a")] = "0123";
    const auto parsed = parseManifest(formatManifest(manifest));
    cr_assert(parsed.has_value());
    cr_assert_eq(manifestDigest(*parsed), manifestDigest(manifest));
    for (const char *invalid :
         {"", "{}", "[]", "{\"revision\":\"x\",\"contracts\":{},\"services\":[]}", "{\"revision\":1,\"contracts\":[1],\"services\":[]}"}) {
        cr_expect_not(parseManifest(invalid).has_value(), "%s", invalid);
    }
}

Test(contract, limits_follow_from_the_contract)
{
    Manifest manifest;
    manifest.services = {ServiceName("x"), ServiceName("y")};
    manifest.contractDigests[CustomerName("a")] = contractDigest(validContract);
    std::vector<Problem> problems;
    const auto limits = deriveLimits(buildBundle(manifest, {{CustomerName("a"), validContract}}, problems));
    cr_assert_eq(limits.size(), 1);
    cr_assert_eq(limits[0].depth, 2);
    cr_assert_eq(limits[0].treeCalls, 2);
    cr_assert_eq(limits[0].maxCalls, 6);
    cr_assert_eq(limits[0].burst, 5);
    cr_assert_not(limits[0].needsTicket);
}
