#pragma once

/// The closed list of error kinds and the one table from kind to answer.
/// Everything that a caller or an operator is told about a failure comes from
/// this table; no other place chooses an HTTP status.

#include <boost/leaf.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace primrose {

namespace leaf = boost::leaf;

/// Whether the work of a request has happened. `No` is a promise: it is only
/// said when nothing can run any more.
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

/// One row of the table: how a kind is answered.
struct error_answer
{
  error_kind mKind;
  std::string_view mName; ///< The `kind` member of the JSON error.
  unsigned mStatus;       ///< HTTP status.
  bool mRetryable;        ///< True if the same call may succeed later.
  std::string_view mMeaning;
};

/// The table's row for a kind.
const error_answer&
AnswerFor(error_kind aKind);

/// The kind with this name, if there is one.
std::optional<error_kind>
ParseErrorKind(std::string_view aName);

std::string_view
RanStateName(ran_state aRan);
std::optional<ran_state>
ParseRanState(std::string_view aName);

/// A failure with what the person who meets it needs to know.
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

/// Runs `aBody` and gives either its value or the failure it ended with.
/// The bridge between LEAF results and places that keep failures as values.
template<typename T>
struct outcome
{
  std::optional<T> mValue;
  failure mFailure;
  explicit operator bool() const { return mValue.has_value(); }
};

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
