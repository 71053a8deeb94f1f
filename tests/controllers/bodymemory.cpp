#include <chervilpaddle/controllers/bodymemory.h>

#include <chervilpaddle/base/random.h>
#include <chervilpaddle/base/units.h>

#include <algorithm>
#include <criterion/criterion.h>

using namespace chervilpaddle;
using Use = BodyMemory::Use;

namespace {

constexpr std::size_t maxBytes = 40 * mebibyte;

//! A response that takes a share until it ends or is given up.
struct Response
{
    Use use = Use::Receiving;
    std::size_t bytes = 0;
    std::size_t length = 0;
    bool isGivenUp = false;
    std::unique_ptr<BodyMemory::Share> share = nullptr;
};

std::unique_ptr<Response> hold(BodyMemory &memory, Use use, std::size_t bytes = 0, std::size_t length = 0)
{
    auto response = std::make_unique<Response>(Response{use, bytes, length});
    response->share = memory.hold([held = response.get()] { held->isGivenUp = true; });
    if (!response->share->update(use, bytes)) {
        response->isGivenUp = true;
    }
    return response;
}

} // namespace

Test(bodymemory, a_share_is_released_with_its_response)
{
    const auto memory = std::make_shared<BodyMemory>(maxBytes);
    for (int i = 0; i < 100; ++i) {
        const auto response = hold(*memory, Use::Receiving, 8 * mebibyte);
        cr_assert_not(response->isGivenUp);
        cr_assert_eq(memory->heldBytes(), 8 * mebibyte);
        cr_assert(response->share->update(Use::Sending, mebibyte));
        cr_assert_eq(memory->heldBytes(), mebibyte);
    }
    cr_assert_eq(memory->heldBytes(), 0);
    cr_assert_eq(memory->givenUp(), 0);
}

Test(bodymemory, the_order_in_which_responses_are_given_up)
{
    struct Case
    {
        const char *description;
        std::vector<std::pair<Use, std::size_t>> held; //!< In MiB.
        std::size_t arriving; //!< The size of a response with a length that is received last, in MiB.
        std::vector<std::size_t> givenUp;
        bool fits = true;
    };
    const Case cases[] = {
        {"room for all", {{Use::Sending, 20}, {Use::ReceivingOpenEnded, 12}}, 8, {}},
        {"the largest without a length", {{Use::ReceivingOpenEnded, 12}, {Use::Receiving, 12}, {Use::ReceivingOpenEnded, 14}}, 8, {2}},
        {"several without a length", {{Use::ReceivingOpenEnded, 8}, {Use::ReceivingOpenEnded, 8}, {Use::Receiving, 24}}, 8, {0}},
        {"the one held for longest, if those without a length take little",
         {{Use::Sending, 8}, {Use::ReceivingOpenEnded, 8}, {Use::Sending, 24}},
         8,
         {0}},
        {"one received slowly", {{Use::Receiving, 8}, {Use::Sending, 32}}, 8, {0}},
        {"none that is committed", {{Use::Committed, 32}, {Use::ReceivingOpenEnded, 4}, {Use::Sending, 4}}, 8, {1, 2}},
        {"all but those that are committed", {{Use::Committed, 33}, {Use::Sending, 4}}, 8, {1}, false},
    };
    for (const Case &c : cases) {
        const auto memory = std::make_shared<BodyMemory>(maxBytes);
        std::vector<std::unique_ptr<Response>> responses;
        for (const auto &[use, size] : c.held) {
            responses.push_back(hold(*memory, use, size * mebibyte));
        }
        const auto arriving = hold(*memory, Use::Receiving, c.arriving * mebibyte);
        cr_expect_eq(arriving->isGivenUp, !c.fits, "%s", c.description);
        for (std::size_t i = 0; i < responses.size(); ++i) {
            const bool isExpected = std::find(c.givenUp.begin(), c.givenUp.end(), i) != c.givenUp.end();
            cr_expect_eq(responses[i]->isGivenUp, isExpected, "%s: response %zu", c.description, i);
            cr_expect_eq(responses[i]->share->isGivenUp(), isExpected, "%s: response %zu", c.description, i);
            cr_expect(!isExpected || !responses[i]->share->update(Use::Sending, 1), "%s: response %zu comes back", c.description, i);
        }
        cr_expect_leq(memory->heldBytes(), maxBytes, "%s", c.description);
        cr_expect_eq(memory->givenUp(), c.givenUp.size() + (c.fits ? 0 : 1), "%s", c.description);
    }
}

Test(bodymemory, a_response_that_cannot_be_withdrawn_is_refused_before_it_is_committed)
{
    const auto memory = std::make_shared<BodyMemory>(maxBytes);
    const auto first = hold(*memory, Use::Committed, 30 * mebibyte);
    const auto second = hold(*memory, Use::Committed, 11 * mebibyte);
    cr_assert_not(first->isGivenUp);
    cr_assert(second->isGivenUp);
    cr_assert_eq(memory->heldBytes(), 30 * mebibyte);
}

//! A faulty server sends responses without end beside many sound ones, with and without a length, at the rates of a node under load.
Test(bodymemory, responses_without_end_do_not_displace_sound_ones)
{
    const auto memory = std::make_shared<BodyMemory>(maxBytes);
    RandomSource random(30);
    std::vector<std::unique_ptr<Response>> responses;
    int ended = 0;
    int lost = 0;
    int cut = 0;
    for (int tick = 0; tick < 6'000; ++tick) {
        if (uniformFraction(random) < 0.3) {
            responses.push_back(hold(*memory, Use::ReceivingOpenEnded, 0, 0));
        }
        if (uniformFraction(random) < 0.2) {
            const bool isLarge = uniformFraction(random) < 0.1;
            const std::size_t length = isLarge ? 4 * mebibyte : 64 * kibibyte;
            responses.push_back(hold(*memory, isLarge ? Use::Receiving : Use::ReceivingOpenEnded, 0, length));
        }
        for (auto &response : responses) {
            const bool isEndless = response->length == 0;
            response->bytes += isEndless ? 16 * kibibyte : 64 * kibibyte;
            response->isGivenUp = response->isGivenUp || !response->share->update(response->use, response->bytes);
        }
        cr_assert_leq(memory->heldBytes(), maxBytes);
        const auto hasEnded = [&](const std::unique_ptr<Response> &response) {
            const bool isEndless = response->length == 0;
            const bool isWhole = !isEndless && response->bytes >= response->length;
            ended += isWhole && !response->isGivenUp ? 1 : 0;
            lost += !isEndless && response->isGivenUp ? 1 : 0;
            cut += isEndless && response->isGivenUp ? 1 : 0;
            return response->isGivenUp || isWhole;
        };
        responses.erase(std::remove_if(responses.begin(), responses.end(), hasEnded), responses.end());
    }
    cr_expect_gt(ended, 1000);
    cr_expect_gt(cut, 1000);
    cr_expect_eq(lost, 0, "%d of %d sound responses are lost", lost, ended + lost);
}
