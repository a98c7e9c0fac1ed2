#pragma once

/// What a deployment has to translate so that the gateway can run in it: the
/// fields of requests and answers, the calls and rows of the platform's tables.
/// An adapter holds no state and decides nothing.

#include "LibFleet/LibFleet.h"
#include "LibNet/LibNet.h"

namespace primrose {

/// What a caller's request says of itself.
struct request_info
{
  std::string mId;
  std::string mHost;
  std::optional<std::string> mKey;
  std::optional<duration> mTimeLeft; ///< That the caller will wait.
  double mPromptTokens = 0;
  double mMaxAnswerTokens = 0;
  std::optional<std::uint64_t> mLastEvent; ///< The stream goes on after it.

  bool operator==(const request_info&) const = default;
};

/// An engine that reads a part of a prompt for another.
struct prefill_helper
{
  ip_address mAddress;
  std::string mReservation; ///< Memory set aside there; empty if none.

  bool operator==(const prefill_helper&) const = default;
};

/// What the gateway adds to a request for one endpoint.
struct forwarding_info
{
  std::string mEndpointId; ///< Only this endpoint may run it.
  ip_address mAddress;
  duration mTimeLeft{};
  std::string mOrganisation; ///< Empty if the route asks for no key.
  std::vector<prefill_helper> mHelpers;
  std::optional<std::uint64_t> mLastEvent;

  bool operator==(const forwarding_info&) const = default;
};

/// What an endpoint's answer says of itself.
struct answer_info
{
  std::string mRequestId;
  bool mProven = false;         ///< It bears the endpoint's proof.
  bool mNotRun = false;         ///< The endpoint promises not to have run it.
  bool mWrongEndpoint = false;  ///< Another endpoint has this address now.
  bool mContentEncoded = false; ///< The body is not as the endpoint made it.
  std::optional<duration> mIdleTimeout; ///< Of the connection.
  /// Requests that the endpoint works on and that wait there, as it says.
  std::optional<unsigned> mReportedRequests;
  /// Requests per second that the endpoint accepts from all entries together.
  std::optional<double> mLimitPerSecond;
  std::string
    mFaultyHelperAddress; ///< A helper that was the cause of a refusal.

  bool operator==(const answer_info&) const = default;
};

/// Sets memory of an engine aside for one request, renews that, or ends it.
struct reservation_command
{
  std::string mEndpointId; ///< Only this endpoint may take it.
  std::string mReservation;
  bool mRelease = false;
  double mTokens = 0; ///< To set aside.
  duration mLease{};  ///< The engine frees it by itself after this.

  bool operator==(const reservation_command&) const = default;
};

enum class reservation_outcome : std::uint8_t
{
  Done,
  Refused,  ///< The engine did nothing.
  NoAnswer, ///< It may have been done, or may be done later.
};

/// A reading of a table of the platform.
struct table_read_result
{
  enum class outcome : std::uint8_t
  {
    Good,
    HistoryLost, ///< Changes since the asked revision are not known any more.
    Refused,     ///< The platform did nothing.
    NoAnswer,    ///< Nothing, or no proper answer.
  };
  outcome mOutcome = outcome::NoAnswer;
  std::vector<row_change<std::string>> mRows;
  std::uint64_t mRevision = 0;
  bool mTruncated = false;

  bool operator==(const table_read_result&) const = default;
};

/// What came of a change of rows.
enum class write_outcome : std::uint8_t
{
  Done,
  Exists,   ///< A row that was to be new was there; nothing was changed.
  Refused,  ///< The platform did nothing.
  NoAnswer, ///< It may have been done, or may be done later.
};

struct gateway_adapter
{
  std::string mManifestTable;
  std::string mManifestKey;
  std::string mEndpointTable;
  std::string mGatewayTable; ///< Where entries leave their addresses.
  std::string mQuarantineTable;

  result<request_info> (*mReadRequest)(const http_head&) = nullptr;
  /// The whole head for an endpoint.
  std::string (*mWriteRequest)(const http_head&,
                               const forwarding_info&,
                               std::size_t aBodyBytes) = nullptr;
  answer_info (*mReadAnswer)(const http_head&) = nullptr;
  /// A final answer of the gateway's own.
  std::string (*mWriteFailure)(const failure&,
                               std::string_view aRequestId,
                               bool aKeepAlive) = nullptr;

  http_call (*mWriteReservationCommand)(const reservation_command&) = nullptr;
  reservation_outcome (*mReadReservationAnswer)(const http_answer&) = nullptr;

  http_call (*mReadTable)(std::string_view aTable,
                          std::string_view aFromKey) = nullptr;
  http_call (*mReadChanges)(std::string_view aTable,
                            std::uint64_t aAfter,
                            duration aWait) = nullptr;
  http_call (*mWriteRow)(std::string_view aTable,
                         std::string_view aKey,
                         std::string_view aValue) = nullptr;
  /// Writes a row only if there is none of the key.
  http_call (*mInsertRow)(std::string_view aTable,
                          std::string_view aKey,
                          std::string_view aValue) = nullptr;
  http_call (*mRemoveRows)(std::string_view aTable,
                           const std::vector<std::string>& aKeys) = nullptr;
  write_outcome (*mReadWrite)(const http_answer&) = nullptr;
  table_read_result (*mDecodeTable)(const http_answer&) = nullptr;
  result<manifest> (*mDecodeManifest)(const std::string& aValue) = nullptr;
  result<endpoint> (*mDecodeEndpoint)(const std::string& aKey,
                                      const std::string& aValue) = nullptr;
};

} // namespace primrose
