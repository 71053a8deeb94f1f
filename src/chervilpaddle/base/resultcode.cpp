#include <chervilpaddle/base/resultcode.h>

#include <algorithm>
#include <stdexcept>

namespace chervilpaddle {

namespace {

constexpr int groupSize = 1000;
constexpr int doneGroup = 1;
constexpr int unknownGroup = 3;

class ResultCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "chervilpaddle";
    }
    std::string message(int number) const override
    {
        const ResultCodeInfo *info = findResultCode(number);
        return info != nullptr ? info->meaning : "unknown result code";
    }
};

} // namespace

const std::vector<ResultCodeInfo> &resultCodeTable()
{
    static const std::vector<ResultCodeInfo> table = {
        {ResultCode::Success, "Success", "The command succeeded.", 200},
        {ResultCode::Done, "Done", "A whole answer was received.", 200},
        {ResultCode::DoneWithError, "DoneWithError", "A whole answer was received; the backend server reports a failure of its own.", 200},
        {ResultCode::Shed, "Shed", "The executor's queue held enough work of more worth.", 503},
        {ResultCode::ShedByPrice,
         "ShedByPrice",
         "Refused at the caller's node: the call could not pay the price carried back along its call tree.",
         503},
        {ResultCode::Leaving, "Leaving", "The instance is draining and takes no new work.", 503},
        {ResultCode::DeadlinePast, "DeadlinePast", "The deadline had passed before the call was started.", 504},
        {ResultCode::DeadlineTooClose, "DeadlineTooClose", "The call could not have finished before its deadline.", 504},
        {ResultCode::NoInstance, "NoInstance", "No live instance of the service can be reached.", 503},
        {ResultCode::TicketRequired,
         "TicketRequired",
         "The operation is not idempotent: send the call again with the ticket in this answer.",
         428},
        {ResultCode::TicketVoided, "TicketVoided", "The ticket was voided before its call was started; ask for a new one.", 409},
        {ResultCode::TicketMismatch, "TicketMismatch", "The ticket belongs to another request.", 409},
        {ResultCode::Malformed, "Malformed", "The request cannot be read.", 400},
        {ResultCode::UnknownCustomer, "UnknownCustomer", "No contract names this customer.", 403},
        {ResultCode::UnknownOperation, "UnknownOperation", "The customer's contract does not name this operation.", 404},
        {ResultCode::BodyTooLarge, "BodyTooLarge", "The request's body is over 8 MiB.", 413},
        {ResultCode::NoConfiguration, "NoConfiguration", "The node has no accepted configuration yet.", 503},
        {ResultCode::BranchRepeated,
         "BranchRepeated",
         "A call that is not idempotent was refused below a branch that may have run before.",
         409},
        {ResultCode::CancelledBeforeStart, "CancelledBeforeStart", "The caller cancelled before the call was started.", 499},
        {ResultCode::BackendUnreachable, "BackendUnreachable", "No connection to the backend server could be opened.", 503},
        {ResultCode::BackendRefused, "BackendRefused", "The backend server said that it did not run the call.", 503},
        {ResultCode::ContextUnknown, "ContextUnknown", "The context header names no call that is running on this node.", 409},
        {ResultCode::OperationNotDeclared,
         "OperationNotDeclared",
         "The contract does not list this operation among those that the running one calls.",
         403},
        {ResultCode::MintersExhausted, "MintersExhausted", "The executor's ticket table is full; it is changing its incarnation.", 503},
        {ResultCode::Overloaded, "Overloaded", "Refused at the entry: a service of the request's call tree has no room.", 503},
        {ResultCode::DeadlineWhileRunning, "DeadlineWhileRunning", "The deadline passed while the call was running.", 504},
        {ResultCode::ExecutorGone,
         "ExecutorGone",
         "The link to the executor was lost after the call had been sent, and no new one could be opened.",
         502},
        {ResultCode::ExecutorReplaced,
         "ExecutorReplaced",
         "The instance was replaced by a new incarnation after the ticket was bound.",
         502},
        {ResultCode::AnswerLost, "AnswerLost", "The backend server closed the connection without an answer.", 502},
        {ResultCode::AnswerTruncated, "AnswerTruncated", "The backend server's answer was cut short or malformed.", 502},
        {ResultCode::TicketTooOld, "TicketTooOld", "The ticket is older than what the executor still remembers.", 409},
        {ResultCode::RepeatWithoutTicket, "RepeatWithoutTicket", "A repeat of a call that is not idempotent came without its ticket.", 409},
        {ResultCode::CancelledWhileRunning, "CancelledWhileRunning", "The caller cancelled while the call was running.", 499},
        {ResultCode::AnswerTooLarge,
         "AnswerTooLarge",
         "The backend server's answer is over 8 MiB, or the node had no memory left for it.",
         502},
        {ResultCode::RepeatUndecided,
         "RepeatUndecided",
         "The node refused a repeat; whether an earlier attempt ran, only its executor can say.",
         503},
        {ResultCode::AnswerUnverified,
         "AnswerUnverified",
         "The answer lacks the proof that the backend server made it for this call.",
         502},
        {ResultCode::NodeFailed, "NodeFailed", "An error within the node ended the work on the call.", 502},
        {ResultCode::NodeStopped, "NodeStopped", "The node that passed the call on was stopped before its answer arrived.", 502},
        {ResultCode::ResponseUndelivered, "ResponseUndelivered", "The connection of the caller ended before its response was sent.", 502},
        {ResultCode::SettingsUnreadable, "SettingsUnreadable", "The settings file cannot be read.", 0},
        {ResultCode::SettingUnknown, "SettingUnknown", "The settings hold a key that is not known.", 0},
        {ResultCode::SettingMissing, "SettingMissing", "A required setting is missing.", 0},
        {ResultCode::SettingInvalid, "SettingInvalid", "A setting's value is invalid.", 0},
        {ResultCode::AddressInUse, "AddressInUse", "A listening address cannot be bound.", 0},
        {ResultCode::ContractUnreadable, "ContractUnreadable", "A contract cannot be read.", 0},
        {ResultCode::ContractKeyUnknown, "ContractKeyUnknown", "A contract holds a key or section that is not known.", 0},
        {ResultCode::ContractKeyMissing, "ContractKeyMissing", "A contract lacks a required key.", 0},
        {ResultCode::ContractValueInvalid, "ContractValueInvalid", "A value in a contract is invalid or out of range.", 0},
        {ResultCode::ContractDuplicate, "ContractDuplicate", "A customer, an operation or a key is given twice.", 0},
        {ResultCode::ContractOperationUnknown, "ContractOperationUnknown", "A contract calls an operation that it does not describe.", 0},
        {ResultCode::ContractRepeatsUnsafe, "ContractRepeatsUnsafe", "An idempotent operation calls one that is not.", 0},
        {ResultCode::ContractDeadlineShort, "ContractDeadlineShort", "An operation's deadline is shorter than that of one it calls.", 0},
        {ResultCode::ContractDisagrees, "ContractDisagrees", "Two contracts disagree on whether an operation is idempotent.", 0},
        {ResultCode::ContractTooLarge, "ContractTooLarge", "A contract is larger than a megabyte.", 0},
        {ResultCode::ContractCycle, "ContractCycle", "Operations call each other in a circle, or more than 21 deep.", 0},
        {ResultCode::ContractCustomerUnknown,
         "ContractCustomerUnknown",
         "A contract is for a customer that the manifest does not name.",
         0},
        {ResultCode::ContractServiceUnknown, "ContractServiceUnknown", "A contract uses a service that the manifest does not name.", 0},
        {ResultCode::FrameMalformed, "FrameMalformed", "A peer's frame cannot be read.", 0},
        {ResultCode::FrameTooLarge, "FrameTooLarge", "A peer's frame is too large.", 0},
        {ResultCode::VersionUnsupported, "VersionUnsupported", "A peer speaks another major version.", 0},
        {ResultCode::LinkSilent, "LinkSilent", "A link carried nothing for too long.", 0},
        {ResultCode::PlatformUnreachable, "PlatformUnreachable", "The platform does not answer.", 0},
        {ResultCode::PlatformMalformed, "PlatformMalformed", "The platform's answer cannot be read.", 0},
        {ResultCode::RevisionOlder, "RevisionOlder", "A revision older than the one in force was ignored.", 0},
        {ResultCode::LinkClosed, "LinkClosed", "A link was closed by the other end.", 0},
    };
    return table;
}

const ResultCodeInfo *findResultCode(int number)
{
    const auto &table = resultCodeTable();
    const auto info = std::find_if(table.begin(), table.end(), [number](const auto &i) { return static_cast<int>(i.code) == number; });
    return info == table.end() ? nullptr : &*info;
}

const ResultCodeInfo &describe(ResultCode code)
{
    const ResultCodeInfo *info = findResultCode(static_cast<int>(code));
    if (info == nullptr) {
        throw std::out_of_range("result code is not in the table");
    }
    return *info;
}

Outcome outcomeOf(ResultCode code)
{
    const int group = static_cast<int>(code) / groupSize;
    if (group == doneGroup) {
        return Outcome::Done;
    }
    return group == unknownGroup ? Outcome::Unknown : Outcome::NotRun;
}

const char *outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

const std::error_category &resultCategory()
{
    static const ResultCategory category;
    return category;
}

std::error_code make_error_code(ResultCode code)
{
    return {static_cast<int>(code), resultCategory()};
}

} // namespace chervilpaddle
