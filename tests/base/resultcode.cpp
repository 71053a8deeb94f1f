#include <chervilpaddle/base/random.h>
#include <chervilpaddle/base/rcucell.h>
#include <chervilpaddle/base/resultcode.h>

#include <atomic>
#include <criterion/criterion.h>
#include <set>
#include <thread>
#include <vector>

using namespace chervilpaddle;

Test(base, result_codes_are_unique_and_their_thousands_digit_gives_the_outcome)
{
    std::set<int> numbers;
    std::set<std::string> names;
    for (const ResultCodeInfo &info : resultCodeTable()) {
        cr_expect(numbers.insert(static_cast<int>(info.code)).second);
        cr_expect(names.insert(info.name).second);
    }
    cr_assert_eq(outcomeOf(ResultCode::DoneWithError), Outcome::Done);
    cr_assert_eq(outcomeOf(ResultCode::Shed), Outcome::NotRun);
    cr_assert_eq(outcomeOf(ResultCode::AnswerLost), Outcome::Unknown);
    cr_assert_null(findResultCode(1234));
}

Test(base, result_codes_are_error_codes)
{
    const std::error_code error = ResultCode::AddressInUse;
    cr_assert(error);
    cr_assert(error.category().name() == std::string("chervilpaddle"));
    cr_assert(error.message() == describe(ResultCode::AddressInUse).meaning);
}

Test(base, hashes_are_identical_on_every_machine)
{
    cr_assert(hexDigest("") == "ef46db3751d8e999");
    cr_assert_lt(hashFraction("anything"), 1);
}

Test(base, readers_of_an_rcu_cell_never_see_a_torn_snapshot_during_replacement)
{
    struct Pair
    {
        int first = 0;
        int second = 0;
    };
    RcuCell<Pair> cell(std::make_shared<const Pair>());
    std::atomic<bool> stop{false};
    std::atomic<int> torn{0};
    std::vector<std::thread> readers;
    for (int i = 0; i < 3; ++i) {
        readers.emplace_back([&] {
            const rcu::ThreadRegistration registration;
            while (!stop) {
                const auto pair = cell.read();
                torn += pair->first == pair->second ? 0 : 1;
            }
        });
    }
    for (int i = 1; i <= 300; ++i) {
        cell.publish(std::make_shared<const Pair>(Pair{i, i}));
    }
    stop = true;
    for (std::thread &reader : readers) {
        reader.join();
    }
    cr_assert_eq(torn, 0);
}
