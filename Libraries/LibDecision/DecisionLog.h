#pragma once

/// Why a request was treated as it was: a bounded record of each decision with
/// its inputs, the alternatives and the settings that caused it.

#include "LibCore/LibCore.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace primrose {

enum class decision_kind : std::uint8_t
{
  Admit,
  Refuse,
  Place,
  Delay,
  Retry,
  Finish,
  Drain,
};

std::string_view
DecisionName(decision_kind aKind);

/// A setting that had a part in a decision.
struct decision_cause
{
  std::string mSetting; ///< Its name in the tree.
  std::string mOrigin;  ///< The node that sets it, or `default`.
  double mValue = 0;

  bool operator==(const decision_cause&) const = default;
};

struct decision_alternative
{
  std::string mName;
  double mScore = 0;
  std::string mNote;

  bool operator==(const decision_alternative&) const = default;
};

struct decision_record
{
  decision_kind mKind = decision_kind::Admit;
  wall_time mTime;
  std::uint64_t mRevision = 0; ///< Of the settings.
  std::string mText;
  std::vector<decision_alternative> mAlternatives;
  std::vector<decision_cause> mCauses;

  bool operator==(const decision_record&) const = default;
};

/// The records of the latest requests; the oldest request is forgotten first.
class decision_log
{
public:
  static constexpr std::size_t kDefaultRequests = 4096;
  static constexpr std::size_t kMaxRecordsPerRequest = 32; ///< For one request.

  explicit decision_log(std::size_t aRequests = kDefaultRequests)
    : mRequests(aRequests)
  {
  }

  void Add(const std::string& aRequest, decision_record aRecord);
  /// The request's records, oldest first, or null.
  const std::vector<decision_record>* Find(const std::string& aRequest) const;
  std::size_t Size() const { return mRecords.size(); }

private:
  std::size_t mRequests;
  std::deque<std::string> mOrder;
  std::map<std::string, std::vector<decision_record>> mRecords;
};

} // namespace primrose
