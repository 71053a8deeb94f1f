#pragma once

#include <string>
#include <system_error>
#include <vector>

namespace chervilpaddle {

//! How a call ended. Every call ends in exactly one of these.
enum class Outcome {
    Done, //!< A whole answer was received.
    NotRun, //!< The call truly did not run; it is safe to send it again.
    Unknown, //!< The call may have run.
};

//! Why a call ended as it did, or why a command failed. The thousands give the group; see docs/RESULT-CODES.md.
enum class ResultCode {
    Success = 0,

    Done = 1000,
    DoneWithError = 1001,

    Shed = 2001,
    ShedByPrice = 2002,
    Leaving = 2003,
    DeadlinePast = 2004,
    DeadlineTooClose = 2005,
    NoInstance = 2006,
    TicketRequired = 2007,
    TicketVoided = 2008,
    TicketMismatch = 2009,
    Malformed = 2010,
    UnknownCustomer = 2011,
    UnknownOperation = 2012,
    BodyTooLarge = 2013,
    NoConfiguration = 2014,
    BranchRepeated = 2015,
    CancelledBeforeStart = 2016,
    BackendUnreachable = 2017,
    BackendRefused = 2018,
    ContextUnknown = 2019,
    OperationNotDeclared = 2020,
    MintersExhausted = 2021,
    Overloaded = 2022,

    DeadlineWhileRunning = 3001,
    ExecutorGone = 3002,
    ExecutorReplaced = 3003,
    AnswerLost = 3004,
    AnswerTruncated = 3005,
    TicketTooOld = 3006,
    RepeatWithoutTicket = 3007,
    CancelledWhileRunning = 3008,
    AnswerTooLarge = 3009,
    RepeatUndecided = 3010,
    AnswerUnverified = 3011,

    SettingsUnreadable = 4001,
    SettingUnknown = 4002,
    SettingMissing = 4003,
    SettingInvalid = 4004,
    AddressInUse = 4005,

    ContractUnreadable = 5001,
    ContractKeyUnknown = 5002,
    ContractKeyMissing = 5003,
    ContractValueInvalid = 5004,
    ContractDuplicate = 5005,
    ContractOperationUnknown = 5006,
    ContractRepeatsUnsafe = 5007,
    ContractDeadlineShort = 5008,
    ContractDisagrees = 5009,
    ContractTooLarge = 5010,
    ContractCycle = 5011,
    ContractCustomerUnknown = 5012,
    ContractServiceUnknown = 5013,

    FrameMalformed = 6001,
    FrameTooLarge = 6002,
    VersionUnsupported = 6003,
    LinkSilent = 6004,
    PlatformUnreachable = 6005,
    PlatformMalformed = 6006,
    RevisionOlder = 6007,
    LinkClosed = 6008,
};

//! One row of the table of result codes.
struct ResultCodeInfo
{
    ResultCode code;
    const char *name;
    const char *meaning;
    int httpStatus;
};

//! The whole table, in the order of the numbers.
const std::vector<ResultCodeInfo> &resultCodeTable();

//! The row of a code. Precondition: the code is in the table.
const ResultCodeInfo &describe(ResultCode code);

//! The row with this number, or null where there is none.
const ResultCodeInfo *findResultCode(int number);

//! The outcome that a call's code refines. Codes above 3999 are no outcomes of calls and count as NotRun.
Outcome outcomeOf(ResultCode code);

//! "done", "not-run" or "unknown".
const char *outcomeName(Outcome outcome);

//! The category behind std::error_code for ResultCode. Thread safe.
const std::error_category &resultCategory();

std::error_code make_error_code(ResultCode code);

} // namespace chervilpaddle

namespace std {
template<>
struct is_error_code_enum<chervilpaddle::ResultCode> : true_type
{
};
} // namespace std
