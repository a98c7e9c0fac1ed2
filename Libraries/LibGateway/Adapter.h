#pragma once

/// Translation between the gateway and the deployment that it runs in: the
/// header fields of requests and answers, besides the calls and rows of the
/// platform's tables. An adapter is stateless and makes no decisions.

#include "LibGossip/LibGossip.h"

namespace primrose {

/// What the gateway reads from the head of a caller's request.
struct request_info
{
  std::string mId;
  std::string mHost;
  std::optional<std::string> mKey;
  std::optional<duration> mTimeLeft; ///< How long the caller will wait.
  double mPromptTokens = 0;
  double mMaxAnswerTokens = 0;
  /// Ids of the parts of the prompt that other requests may have too.
  std::vector<std::string> mSharedPromptParts;
  /// The last event that the caller has received; the stream resumes after it.
  std::optional<std::uint64_t> mLastEvent;

  bool operator==(const request_info&) const = default;
};

/// An engine that prefills a part of a prompt for another engine.
struct prefill_helper
{
  ip_address mAddress;
  std::string mReservation; ///< Of memory on that engine; empty: none.

  bool operator==(const prefill_helper&) const = default;
};

/// What the gateway adds to a request that it forwards to an endpoint.
struct forwarding_info
{
  std::string mEndpointId; ///< Other endpoints refuse the request.
  ip_address mAddress;
  duration mTimeLeft{};
  std::string mOrganisation; ///< Empty if the route requires no key.
  std::vector<prefill_helper> mHelpers;
  std::optional<std::uint64_t> mLastEvent;
  /// Where ranks take effect: 0 is the most urgent; see `request_class`.
  std::optional<unsigned> mRank;

  bool operator==(const forwarding_info&) const = default;
};

/// What the gateway reads from the head of an endpoint's answer.
struct answer_info
{
  std::string mRequestId;
  bool mProven = false; ///< Carries the endpoint's seal.
  bool mNotRun = false; ///< The endpoint states that it did not execute it.
  bool mWrongEndpoint = false;  ///< Another endpoint has the address now.
  bool mContentEncoded = false; ///< An intermediary encoded the body.
  std::optional<duration> mIdleTimeout; ///< Of the connection.
  /// Requests that the endpoint reports to be in progress or queued.
  std::optional<unsigned> mReportedRequests;
  /// Requests per second that the endpoint accepts from all gateways together.
  std::optional<double> mLimitPerSecond;
  /// Time for which the endpoint says that it stays cold.
  std::optional<duration> mColdTime;
  std::string mFaultyHelperAddress; ///< The helper that caused a refusal.
  announced_notice mNotice;

  bool operator==(const answer_info&) const = default;
};

/// Creates, renews or releases a reservation of an engine's memory for one
/// request.
struct reservation_command
{
  std::string mEndpointId; ///< Other endpoints refuse the command.
  std::string mReservation;
  bool mRelease = false;
  double mTokens = 0; ///< To reserve.
  duration mLease{};  ///< The engine frees the memory after this time.

  bool operator==(const reservation_command&) const = default;
};

enum class reservation_outcome : std::uint8_t
{
  Done,
  Refused,  ///< The engine changed nothing.
  NoAnswer, ///< The command may be carried out, now or later.
};

/// The answer to a reservation command.
struct reservation_answer
{
  reservation_outcome mOutcome = reservation_outcome::NoAnswer;
  announced_notice mNotice;

  bool operator==(const reservation_answer&) const = default;
};

struct gateway_adapter : store_adapter
{
  result<request_info> (*mReadRequest)(const http_head&) = nullptr;
  /// Returns the complete head of a request to an endpoint.
  std::string (*mWriteRequest)(const http_head&,
                               const forwarding_info&,
                               std::size_t aBodyBytes) = nullptr;
  answer_info (*mReadAnswer)(const http_head&) = nullptr;
  /// Returns a complete error answer of the gateway itself.
  std::string (*mWriteFailure)(const failure&,
                               std::string_view aRequestId,
                               bool aKeepAlive) = nullptr;

  http_call (*mWriteReservationCommand)(const reservation_command&) = nullptr;
  reservation_answer (*mReadReservationAnswer)(const http_answer&) = nullptr;
};

} // namespace primrose
