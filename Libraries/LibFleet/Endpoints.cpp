#include "LibFleet/Endpoints.h"

#include <algorithm>
#include <tuple>

namespace primrose {

namespace {

/// The first pause after a bad sign, and the longest. A killed endpoint is
/// taken off the list after three missed reports of about a second each, so
/// there is no use in avoiding one for much longer than that.
constexpr duration kFirstPause = std::chrono::milliseconds(700);
constexpr duration kLongestPause = std::chrono::seconds(6);
constexpr unsigned kMostDoublings = 4;

/// An engine that refuses to read for others is leaving or gone, and does not
/// come back: it is avoided as if it had given so many bad signs already.
constexpr unsigned kUnwillingStrikes = 2;

/// Weight of the newest attempt in the recent share of failures.
constexpr double kFailureWeight = 0.2;
/// Above this share of failed answers an endpoint is avoided for a while;
/// well above what a sound service fails by itself.
constexpr double kFailingShare = 0.5;

/// Three bad signs within such a span, seen by whichever entry, and the
/// endpoint is avoided. One that answers at all gives three of these so close
/// together once in minutes, at 12 streams a second of which 3 in 100 break.
constexpr duration kTroubleSpan = std::chrono::milliseconds(500);
/// Signs so close together are one event: a machine whose connections are reset
/// loses all its streams at once, and the endpoints are sound.
constexpr duration kOneEvent = std::chrono::milliseconds(20);

void
Strike(endpoint_health& aHealth, time_point aNow)
{
  const unsigned doublings = std::min(aHealth.mBackoffFailures, kMostDoublings);
  const duration pause =
    std::min(kFirstPause * (1U << doublings), kLongestPause);
  ++aHealth.mBackoffFailures;
  aHealth.mAvoidUntil = aNow + pause;
}

/// Keeps the times of the last two bad signs; true if this is the third within
/// the span.
bool
IsThird(endpoint_health& aHealth, time_point aNow)
{
  if (aNow - aHealth.mLastFailureAt < kOneEvent) {
    return false;
  }
  const bool third = aNow - aHealth.mPreviousFailureAt < kTroubleSpan;
  aHealth.mPreviousFailureAt = aHealth.mLastFailureAt;
  aHealth.mLastFailureAt = aNow;
  return third;
}

/// Removals that are remembered; a day replaces a tenth of this.
constexpr std::size_t kMostGone = 4096;

/// Forgets the older half of the removals when there are too many: a reading
/// that is so stale that it still shows one of them is not met any more.
void
ForgetOldRemovals(endpoint_registry& aBoard)
{
  if (aBoard.mGone.size() <= kMostGone) {
    return;
  }
  std::vector<std::uint64_t> revisions;
  for (const auto& [id, revision] : aBoard.mGone) {
    revisions.push_back(revision);
  }
  const auto middle =
    revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  std::erase_if(aBoard.mGone, [oldest = *middle](const auto& aEntry) {
    return aEntry.second < oldest;
  });
}

} // namespace

membership_change
ApplyRow(endpoint_registry& aBoard, const row_change<endpoint>& aChange)
{
  aBoard.mNewestRevision = std::max(aBoard.mNewestRevision, aChange.mRevision);
  const auto gone = aBoard.mGone.find(aChange.mKey);
  if (gone != aBoard.mGone.end() && gone->second >= aChange.mRevision) {
    return membership_change::Unchanged;
  }
  const auto held = aBoard.mEndpoints.find(aChange.mKey);
  if (held != aBoard.mEndpoints.end() &&
      held->second.mRevision >= aChange.mRevision) {
    return membership_change::Unchanged;
  }
  if (!aChange.mValue.has_value()) {
    aBoard.mGone[aChange.mKey] = aChange.mRevision;
    ForgetOldRemovals(aBoard);
    return aBoard.mEndpoints.erase(aChange.mKey) != 0
             ? membership_change::Left
             : membership_change::Unchanged;
  }
  aBoard.mGone.erase(aChange.mKey);
  if (held == aBoard.mEndpoints.end()) {
    known_endpoint added;
    added.mListed = *aChange.mValue;
    added.mRevision = aChange.mRevision;
    aBoard.mEndpoints.emplace(aChange.mKey, std::move(added));
    return membership_change::Joined;
  }
  const bool wasLeaving = held->second.mListed.mLeaving;
  held->second.mListed = *aChange.mValue;
  held->second.mRevision = aChange.mRevision;
  return !wasLeaving && aChange.mValue->mLeaving ? membership_change::Leaving
                                                 : membership_change::Changed;
}

std::vector<std::string>
ApplySnapshot(endpoint_registry& aBoard,
              const std::vector<row_change<endpoint>>& aRows,
              std::uint64_t aRevision)
{
  std::unordered_map<std::string, bool> listed;
  for (const row_change<endpoint>& row : aRows) {
    listed.emplace(row.mKey, true);
    (void)ApplyRow(aBoard, row);
  }
  std::vector<std::string> left;
  for (const auto& [id, known] : aBoard.mEndpoints) {
    if (!listed.contains(id) && known.mRevision <= aRevision) {
      left.push_back(id);
    }
  }
  for (const std::string& id : left) {
    // Gone by the moment that the list shows; which revision removed it is
    // not known.
    aBoard.mGone[id] = aRevision;
    aBoard.mEndpoints.erase(id);
  }
  return left;
}

void
RecordHealthEvent(endpoint_health& aHealth,
                  endpoint_health_event aSign,
                  time_point aNow)
{
  const bool bad = aSign != endpoint_health_event::Answered;
  aHealth.mFailures =
    aHealth.mFailures * (1 - kFailureWeight) + (bad ? kFailureWeight : 0);
  switch (aSign) {
    case endpoint_health_event::Answered:
      aHealth.mBackoffFailures = 0;
      return;
    case endpoint_health_event::ConnectionBroken:
      if (IsThird(aHealth, aNow) || aHealth.mFailures > kFailingShare) {
        Strike(aHealth, aNow);
      }
      return;
    case endpoint_health_event::Failed:
      if (aHealth.mFailures > kFailingShare) {
        Strike(aHealth, aNow);
      }
      return;
    case endpoint_health_event::Unreachable:
    case endpoint_health_event::Silent:
    case endpoint_health_event::AddressReassigned:
      Strike(aHealth, aNow);
      return;
    case endpoint_health_event::PrefillHelpRefused:
      aHealth.mBackoffFailures =
        std::max(aHealth.mBackoffFailures, kUnwillingStrikes);
      Strike(aHealth, aNow);
      return;
  }
}

void
RecordPeerFailureReport(endpoint_health& aHealth, time_point aNow)
{
  if (IsThird(aHealth, aNow) && aHealth.mAvoidUntil <= aNow) {
    Strike(aHealth, aNow);
  }
}

bool
Usable(const known_endpoint& aEndpoint, std::string_view aService)
{
  return !aEndpoint.mListed.mLeaving && aEndpoint.mListed.mService == aService;
}

bool
IsAdmissible(const known_endpoint& aEndpoint,
             std::string_view aService,
             time_point aNow)
{
  return Usable(aEndpoint, aService) && Admits(aEndpoint.mLimit, aNow);
}

std::optional<duration>
TimeUntilAdmissible(const endpoint_registry& aBoard,
                    std::string_view aService,
                    const std::vector<std::string>& aTried,
                    time_point aNow)
{
  std::optional<duration> soonest;
  for (const auto& [id, known] : aBoard.mEndpoints) {
    if (Usable(known, aService) &&
        std::find(aTried.begin(), aTried.end(), id) == aTried.end()) {
      soonest = std::min(soonest.value_or(duration::max()),
                         TimeUntilAdmitted(known.mLimit, aNow));
    }
  }
  return soonest;
}

bool
IsAvoided(const known_endpoint& aEndpoint, time_point aNow)
{
  return aEndpoint.mHealth.mAvoidUntil > aNow;
}

known_endpoint*
ChoosePlainEndpoint(endpoint_registry& aBoard,
                    std::string_view aService,
                    std::string_view aDataCentre,
                    const std::vector<std::string>& aTried,
                    time_point aNow,
                    double aDraw)
{
  struct rank
  {
    bool mAvoided = false;
    unsigned mOutstanding = 0;
    bool mInOtherDataCentre = false;
    std::uint64_t mDraw = 0;
    std::tuple<bool, unsigned, bool, std::uint64_t> Key() const
    {
      return { mAvoided, mOutstanding, mInOtherDataCentre, mDraw };
    }
  };
  constexpr double kDrawSteps = 1e6;
  known_endpoint* best = nullptr;
  rank bestRank;
  for (auto& [id, known] : aBoard.mEndpoints) {
    if (!IsAdmissible(known, aService, aNow) ||
        std::find(aTried.begin(), aTried.end(), id) != aTried.end()) {
      continue;
    }
    const rank candidate{
      IsAvoided(known, aNow),
      known.mOutstanding,
      known.mListed.mDataCentre != aDataCentre,
      Hash(id, static_cast<std::uint64_t>(aDraw * kDrawSteps))
    };
    if (best == nullptr || candidate.Key() < bestRank.Key()) {
      best = &known;
      bestRank = candidate;
    }
  }
  return best;
}

} // namespace primrose
