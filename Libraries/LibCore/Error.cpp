#include "LibCore/Error.h"

#include <algorithm>
#include <array>

namespace primrose {

namespace {

using enum error_kind;

constexpr std::array kErrorTable = {
  error_answer{ MalformedJson,
                "malformed_json",
                400,
                false,
                "The body is not JSON." },
  error_answer{ MissingField,
                "missing_field",
                400,
                false,
                "A required member is absent." },
  error_answer{ WrongType,
                "wrong_type",
                400,
                false,
                "A member has another type than expected." },
  error_answer{ BadValue,
                "bad_value",
                400,
                false,
                "A member or header is out of its range." },
  error_answer{ Unauthenticated,
                "unauthenticated",
                401,
                false,
                "No key, or one that no organisation has." },
  error_answer{ Forbidden,
                "forbidden",
                403,
                false,
                "The key does not allow this." },
  error_answer{ UnknownModel,
                "unknown_model",
                404,
                false,
                "No such model in the settings." },
  error_answer{ UnknownService,
                "unknown_service",
                404,
                false,
                "No such plain service in the settings." },
  error_answer{ NotFound,
                "not_found",
                404,
                false,
                "There is nothing at this path." },
  error_answer{ BodyTooLarge,
                "body_too_large",
                413,
                false,
                "The body is over the limit." },
  error_answer{ PromptTooLong,
                "prompt_too_long",
                413,
                false,
                "The prompt is over the model's limit." },
  error_answer{
    BadTimeLimit,
    "bad_time_limit",
    400,
    false,
    "Request-Timeout is not a number of seconds within the limits." },
  error_answer{ MissingIdempotencyKey,
                "missing_idempotency_key",
                400,
                false,
                "A guarded call needs an Idempotency-Key." },
  error_answer{ KeyReused,
                "idempotency_key_reused",
                422,
                false,
                "The key came before with another request." },
  error_answer{ InProgress,
                "in_progress",
                409,
                true,
                "The first call with this key has not ended." },
  error_answer{
    OutcomeUnknown,
    "outcome_unknown",
    409,
    false,
    "The first call with this key may have run; its outcome is not known." },
  error_answer{ RateLimited,
                "rate_limited",
                429,
                true,
                "The organisation is over its limit." },
  error_answer{ Overloaded, "overloaded", 503, true, "No endpoint has room." },
  error_answer{ CannotMeetDeadline,
                "cannot_meet_deadline",
                503,
                true,
                "The estimate is past the time limit." },
  error_answer{ DeadlineExceeded,
                "deadline_exceeded",
                504,
                true,
                "The time limit was reached." },
  error_answer{ NoEndpoint,
                "no_endpoint",
                503,
                true,
                "No live endpoint serves this." },
  error_answer{ EndpointLeaving,
                "endpoint_leaving",
                503,
                true,
                "The endpoint is draining." },
  error_answer{ EndpointFailed,
                "endpoint_failed",
                502,
                true,
                "The endpoint failed or could not be reached." },
  error_answer{ StreamBroken,
                "stream_broken",
                502,
                true,
                "The answer was cut off; what came is not whole." },
  error_answer{ Quarantined,
                "quarantined",
                503,
                true,
                "Endpoints have ended while they ran this request." },
  error_answer{ StoreUnavailable,
                "store_unavailable",
                503,
                true,
                "The platform's store did not answer." },
  error_answer{ Conflict,
                "conflict",
                409,
                true,
                "Somebody else changed this first." },
  error_answer{ ShuttingDown,
                "shutting_down",
                503,
                true,
                "This process is leaving." },
  error_answer{ Cancelled, "cancelled", 499, true, "The caller gave up." },
  error_answer{ SettingsInvalid,
                "settings_invalid",
                400,
                false,
                "The settings are not valid." },
  error_answer{ Internal, "internal", 500, true, "A defect of the system." },
};

constexpr std::array<std::string_view, 3> kRanStateNames = { "no",
                                                             "yes",
                                                             "unknown" };

} // namespace

const error_answer&
AnswerFor(error_kind aKind)
{
  // NOTE: The table stands in the order of the enumeration; a unit test
  // compares every row's kind with its place.
  return kErrorTable.at(static_cast<std::size_t>(aKind));
}

std::optional<error_kind>
ParseErrorKind(std::string_view aName)
{
  const auto row =
    std::find_if(kErrorTable.begin(),
                 kErrorTable.end(),
                 [&](const error_answer& aRow) { return aRow.mName == aName; });
  if (row == kErrorTable.end()) {
    return std::nullopt;
  }
  return row->mKind;
}

std::string_view
RanStateName(ran_state aRan)
{
  return kRanStateNames.at(static_cast<std::size_t>(aRan));
}

std::optional<ran_state>
ParseRanState(std::string_view aName)
{
  const auto name =
    std::find(kRanStateNames.begin(), kRanStateNames.end(), aName);
  if (name == kRanStateNames.end()) {
    return std::nullopt;
  }
  return static_cast<ran_state>(name - kRanStateNames.begin());
}

leaf::error_id
Fail(error_kind aKind, std::string aMessage, ran_state aRan)
{
  return leaf::new_error(
    failure{ aKind, std::move(aMessage), aRan, std::nullopt });
}

leaf::error_id
Fail(failure aFailure)
{
  return leaf::new_error(std::move(aFailure));
}

} // namespace primrose
