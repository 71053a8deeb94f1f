#pragma once

#include <string>
#include <system_error>
#include <vector>

namespace chervilpaddle {

//! Outcome of a call. Every call has exactly one.
enum class Outcome {
    Done, //!< A complete response was received.
    NotRun, //!< The call certainly did not run; a retry is safe.
    Unknown, //!< The call may have run.
};

//! Reason for the outcome of a call or the failure of a command. The thousands digit is the group; see
//! docs/RESULT-CODES.md.
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
    NodeFailed = 3012,
    NodeStopped = 3013,
    ResponseUndelivered = 3014,

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

//! Name, description and HTTP status of a result code.
struct ResultCodeInfo
{
    ResultCode code;
    const char *name;
    const char *meaning;
    int httpStatus;
};

//! Returns all result codes in numeric order.
const std::vector<ResultCodeInfo> &resultCodeTable();

//! Returns the table entry of a code. Precondition: the code is in the table.
const ResultCodeInfo &describe(ResultCode code);

//! Returns the table entry with this number, or nullptr if there is none.
const ResultCodeInfo *findResultCode(int number);

//! Returns the outcome that a code belongs to. Codes above 3999 are not results of calls and map to NotRun.
Outcome outcomeOf(ResultCode code);

//! Returns "done", "not-run" or "unknown".
const char *outcomeName(Outcome outcome);

//! Returns the std::error_category of ResultCode. Thread-safe.
const std::error_category &resultCategory();

std::error_code make_error_code(ResultCode code);

} // namespace chervilpaddle

namespace std {
template<>
struct is_error_code_enum<chervilpaddle::ResultCode> : true_type
{
};
} // namespace std
