#pragma once

/// The closed list of error kinds and the table that maps each kind to its
/// HTTP status and text. Every failure reported to a caller or an operator goes
/// through this table; no other code chooses an HTTP status for a failure.

#include <boost/leaf.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace primrose {

namespace leaf = boost::leaf;

/// Whether the work of a request was executed. `No` is a guarantee: it is only
/// used when the work has not run and can no longer start.
enum class ran_state : std::uint8_t
{
  No,
  Yes,
  Unknown,
};

enum class error_kind : std::uint8_t
{
  MalformedJson,
  MissingField,
  WrongType,
  BadValue,
  Unauthenticated,
  Forbidden,
  UnknownModel,
  UnknownService,
  NotFound,
  BodyTooLarge,
  PromptTooLong,
  BadTimeLimit,
  MissingIdempotencyKey,
  KeyReused,
  InProgress,
  OutcomeUnknown,
  RateLimited,
  Overloaded,
  CannotMeetDeadline,
  DeadlineExceeded,
  NoEndpoint,
  EndpointLeaving,
  EndpointFailed,
  StreamBroken,
  Quarantined,
  StoreUnavailable,
  Conflict,
  ShuttingDown,
  Cancelled,
  SettingsInvalid,
  Internal,
};

/// One row of the error table: how a failure of this kind is reported.
struct error_answer
{
  error_kind mKind;
  std::string_view mName; ///< The `kind` member of the JSON error.
  unsigned mStatus;       ///< HTTP status.
  bool mRetryable;        ///< True if the same call may succeed later.
  std::string_view mMeaning;
};

/// The row of the error table for a kind.
const error_answer&
AnswerFor(error_kind aKind);

/// The kind with this name, or nothing if there is none.
std::optional<error_kind>
ParseErrorKind(std::string_view aName);

std::string_view
RanStateName(ran_state aRan);
std::optional<ran_state>
ParseRanState(std::string_view aName);

/// A failure with the details that are reported to the caller or operator.
struct failure
{
  error_kind mKind = error_kind::Internal;
  std::string mMessage;
  ran_state mRan = ran_state::No;
  std::optional<double> mRetryAfterSeconds;

  bool operator==(const failure&) const = default;
};

template<typename T>
using result = leaf::result<T>;

/// Starts a LEAF error that carries a `failure`.
leaf::error_id
Fail(error_kind aKind, std::string aMessage, ran_state aRan = ran_state::No);
leaf::error_id
Fail(failure aFailure);

/// Either a value or a failure, for code that stores failures as values rather
/// than propagating them as LEAF errors.
template<typename T>
struct outcome
{
  std::optional<T> mValue;
  failure mFailure;
  explicit operator bool() const { return mValue.has_value(); }
};

/// Runs `aBody` and converts its LEAF result to an `outcome`. An error that
/// carries no `failure` becomes an `Internal` one.
template<typename T, typename Body>
outcome<T>
Capture(Body&& aBody)
{
  return leaf::try_handle_all(
    [&]() -> result<outcome<T>> {
      result<T> value = aBody();
      if (!value) {
        return value.error();
      }
      return outcome<T>{ std::move(value.value()), {} };
    },
    [](const failure& aFailure) {
      return outcome<T>{ std::nullopt, aFailure };
    },
    []() {
      return outcome<T>{ std::nullopt,
                         { error_kind::Internal,
                           "an error without a description",
                           ran_state::Unknown,
                           std::nullopt } };
    });
}

} // namespace primrose
