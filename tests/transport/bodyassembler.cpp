#include <chervilpaddle/transport/bodyassembler.h>

#include <criterion/criterion.h>
#include <vector>

using namespace chervilpaddle;

namespace {

TicketId ticket(std::uint64_t sequence)
{
    return {Incarnation(1), sequence};
}

ResponseMessage answerInParts(std::uint64_t sequence, std::size_t bytes)
{
    ResponseMessage answer;
    answer.ticket = ticket(sequence);
    answer.payload.status = 200;
    answer.payload.bodyBytesInParts = bytes;
    return answer;
}

//! An assembler whose posted actions run when asked for.
struct Fixture
{
    explicit Fixture(std::size_t memoryBytes)
        : memory(std::make_shared<BodyMemory>(memoryBytes))
        , assembler(memory, [this](std::function<void()> action) { posted.push_back(std::move(action)); })
    {
    }

    void runPosted()
    {
        for (const auto &action : std::exchange(posted, {})) {
            action();
        }
    }

    std::vector<std::function<void()>> posted;
    std::shared_ptr<BodyMemory> memory;
    BodyAssembler assembler;
};

} // namespace

Test(bodyassembler, parts_of_several_answers_are_joined_in_their_order)
{
    Fixture fixture(100);
    fixture.assembler.add({ticket(1), 4, "ab"});
    fixture.assembler.add({ticket(2), 2, "xy"});
    fixture.assembler.add({ticket(1), 4, "cd"});
    ResponseMessage first = answerInParts(1, 4);
    ResponseMessage second = answerInParts(2, 2);
    fixture.assembler.complete(first);
    fixture.assembler.complete(second);
    cr_expect_eq(first.code, ResultCode::Done);
    cr_expect(*first.payload.body == "abcd");
    cr_expect(*second.payload.body == "xy");
    cr_expect_eq(fixture.memory->heldBytes(), 0);
}

//! An answer of which a part is missing must not look complete.
Test(bodyassembler, an_answer_that_is_not_whole_is_an_error_without_a_body)
{
    Fixture fixture(100);
    fixture.assembler.add({ticket(1), 4, "ab"});
    for (const std::uint64_t sequence : {1, 2}) {
        ResponseMessage answer = answerInParts(sequence, 4);
        fixture.assembler.complete(answer);
        cr_expect_eq(answer.code, ResultCode::AnswerTooLarge);
        cr_expect(!answer.payload.body);
        cr_expect_eq(answer.payload.status, 0);
    }
}

Test(bodyassembler, the_body_that_has_been_held_for_longest_is_given_up_when_the_memory_is_used_up)
{
    Fixture fixture(100);
    fixture.assembler.add({ticket(1), 200, std::string(60, 'a')});
    fixture.assembler.add({ticket(2), 60, std::string(60, 'b')});
    fixture.runPosted();
    fixture.assembler.add({ticket(1), 200, std::string(60, 'a')});
    cr_expect_eq(fixture.memory->heldBytes(), 60, "%zu bytes are held", fixture.memory->heldBytes());
    ResponseMessage first = answerInParts(1, 200);
    ResponseMessage second = answerInParts(2, 60);
    fixture.assembler.complete(first);
    fixture.assembler.complete(second);
    cr_expect_eq(first.code, ResultCode::AnswerTooLarge);
    cr_expect_eq(second.code, ResultCode::Done);
    cr_expect_eq(second.payload.body->size(), 60);
}

Test(bodyassembler, a_body_over_the_largest_size_is_discarded)
{
    Fixture fixture(4 * maxBodyBytes);
    fixture.assembler.add({ticket(1), maxBodyBytes, std::string(maxBodyBytes, 'a')});
    fixture.assembler.add({ticket(1), maxBodyBytes, "b"});
    cr_expect_eq(fixture.memory->heldBytes(), 0);
    ResponseMessage answer = answerInParts(1, maxBodyBytes);
    fixture.assembler.complete(answer);
    cr_expect_eq(answer.code, ResultCode::AnswerTooLarge);
}
