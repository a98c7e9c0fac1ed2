#pragma once

/// How often prompts of each size are admitted, compared with all prompts of
/// their kind. The harm of a prompt to others grows with the square of its size
/// and its gain only with its size, so admission by cost alone refuses the
/// largest prompts of a kind first. While a kind is refused, a size class that
/// is admitted too rarely is therefore preferred; in deep overload, the rest of
/// its kind is held back as well.
/// Each gateway counts the prompts of its own callers, and adds the counts and
/// sizes that its peers have reported: alone, a gateway among dozens is offered
/// a large prompt every few seconds.

#include "LibCore/LibCore.h"

#include <array>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace primrose {

/// Prompts are compared with others to the same service that have the same
/// latency target and allowed pause.
struct size_kind
{
  std::string mService;
  duration mObjective{};
  duration mLongestPause{};

  bool operator==(const size_kind&) const = default;
  bool operator<(const size_kind& aOther) const
  {
    return std::tie(mService, mObjective, mLongestPause) <
           std::tie(aOther.mService, aOther.mObjective, aOther.mLongestPause);
  }
};

/// The size of a prompt among those of its kind that were offered lately.
enum class size_class : std::uint8_t
{
  Rest,
  NextFifth,
  LargestTenth,
};
inline constexpr std::size_t kSizeClasses = 3;

std::string_view
SizeClassName(size_class aClass);

/// Numbers of prompts, which decay exponentially.
struct size_counts
{
  double mOffered = 0;
  double mAdmitted = 0;

  bool operator==(const size_counts&) const = default;
};

struct kind_shares
{
  std::deque<double> mSizes; ///< Tokens of the last prompts offered.
  std::array<size_counts, kSizeClasses> mCounts; ///< As of `mCountedAt`.
  double mRefused = 0; ///< Number of refusals, which decays as the counts do.
  time_point mCountedAt{};

  bool operator==(const kind_shares&) const = default;
};

/// The counts of one kind at one gateway, as it tells its peers.
struct size_report
{
  std::uint64_t mKind = 0; ///< See `SizeKindKey`.
  std::array<size_counts, kSizeClasses> mCounts;
  double mRefused = 0;
  std::vector<double> mSizes; ///< Tokens of the last prompts offered.

  bool operator==(const size_report&) const = default;
};

/// The last reports of a peer.
struct peer_size_reports
{
  std::vector<size_report> mReports;
  time_point mReceivedAt{};

  bool operator==(const peer_size_reports&) const = default;
};

struct size_shares
{
  std::map<size_kind, kind_shares> mKinds;
  std::map<std::string, peer_size_reports> mPeers; ///< By host.

  bool operator==(const size_shares&) const = default;
};

/// How the size of a prompt affects its admission. The default has no effect.
struct size_preference
{
  size_class mClass = size_class::Rest;
  std::size_t mSizes = 0; ///< Prompts of its kind that it was compared with.
  double mClassShare = 1; ///< Share of the prompts of its class admitted.
  double mKindShare = 1;  ///< The same of its kind.
  /// It waits for a better moment, also for memory, before it is refused.
  bool mPreferred = false;
  double mGainFactor = 1; ///< Scales its gain when compared with its cost.

  bool operator==(const size_preference&) const = default;
};

/// A caller asks for a prompt to be served, for the first time or after a
/// refusal. Also forgets kinds that were not offered for a long time.
void
RecordOffer(size_shares& aShares,
            const size_kind& aKind,
            double aTokens,
            time_point aNow);

/// A prompt that was offered is placed.
void
RecordAdmission(size_shares& aShares,
                const size_kind& aKind,
                double aTokens,
                time_point aNow);

/// A prompt that was offered is refused.
void
RecordRefusal(size_shares& aShares, const size_kind& aKind, time_point aNow);

/// Identifies a kind to peers; the same at each gateway.
std::uint64_t
SizeKindKey(const size_kind& aKind);

/// Kinds that a gateway reports: those with the most refusals.
inline constexpr std::size_t kMaxSizeReports = 3;

/// Sizes of one kind that a gateway reports.
inline constexpr std::size_t kMaxReportedSizes = 8;

/// This gateway's own counts of the kinds that it or a peer refused lately.
std::vector<size_report>
OwnSizeReports(const size_shares& aShares, time_point aNow);

/// Replaces what the peer at this host has reported before. Reports that no
/// gateway can have counted are ignored; returns how many.
std::size_t
ApplySizeReports(size_shares& aShares,
                 const std::string& aHost,
                 const std::vector<size_report>& aReports,
                 time_point aNow);

/// The preference of a prompt that was offered. It has no effect if no prompt
/// of its kind was refused lately.
size_preference
SizePreference(const size_shares& aShares,
               const size_kind& aKind,
               double aTokens,
               time_point aNow);

} // namespace primrose
