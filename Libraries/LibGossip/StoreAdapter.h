#pragma once

/// Translation between a gateway and the platform's store: calls, and the rows
/// of its tables. Stateless; makes no decisions.

#include "LibFleet/LibFleet.h"
#include "LibNet/LibNet.h"

namespace primrose {

/// The result of reading a table of the platform.
struct table_read_result
{
  enum class outcome : std::uint8_t
  {
    Good,
    HistoryLost, ///< The store no longer has the requested changes.
    Refused,     ///< The platform refused the call.
    NoAnswer,    ///< No answer or an invalid one.
  };
  outcome mOutcome = outcome::NoAnswer;
  std::vector<row_change<std::string>> mRows;
  std::uint64_t mRevision = 0;
  bool mTruncated = false;
  /// The store's clock as of which the rows are complete, if it was stated.
  std::optional<store_time> mStoreTime;

  bool operator==(const table_read_result&) const = default;
};

/// The result of writing or removing rows.
enum class write_outcome : std::uint8_t
{
  Done,
  Exists,   ///< The row to insert exists; nothing was changed.
  Refused,  ///< The platform changed nothing.
  NoAnswer, ///< The write may be carried out, now or later.
};

struct store_adapter
{
  std::string mOperatorTable; ///< Manifest and evacuation orders.
  std::string mManifestKey;
  /// Key of an evacuation order, in front of the name of the data centre.
  std::string mEvacuationKeyPrefix;
  std::string mEndpointTable;
  std::string mGatewayTable; ///< Addresses of all gateways.
  std::string mQuarantineTable;

  http_call (*mReadTable)(std::string_view aTable,
                          std::string_view aFromKey) = nullptr;
  http_call (*mReadChanges)(std::string_view aTable,
                            std::uint64_t aAfter,
                            duration aWait) = nullptr;
  http_call (*mWriteRow)(std::string_view aTable,
                         std::string_view aKey,
                         std::string_view aValue) = nullptr;
  /// Inserts a row; fails if a row with this key exists.
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
