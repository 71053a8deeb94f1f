// Validates contracts held in memory and prints the limits derived from them.

#include <chervilpaddle/contract/bundle.h>

#include <cstdio>

using namespace chervilpaddle;

int main()
{
    const std::string text = "[customer]\nname = phones\n"
                             "[operation saldos.read]\nworth = 120\ndeadline = 400ms\nidempotent = yes\nrepeats = 1\nrate = 900/s\n";
    Manifest manifest;
    manifest.revision = Revision(1);
    manifest.services = {ServiceName("saldos")};
    manifest.contractDigests[CustomerName("phones")] = contractDigest(text);

    std::vector<Problem> problems;
    const ContractBundle bundle = buildBundle(manifest, {{CustomerName("phones"), text}}, problems);
    for (const Problem &problem : problems) {
        std::printf("%s\n", toText(problem).c_str());
    }
    for (const DerivedLimits &limits : deriveLimits(bundle)) {
        std::printf("%s: at most %d calls\n", limits.operation.value().c_str(), limits.maxCalls);
    }
    return problems.empty() ? 0 : 1;
}
