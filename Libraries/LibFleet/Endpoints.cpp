#include "LibFleet/Endpoints.h"

#include <algorithm>
#include <tuple>

namespace primrose {

namespace {

/// The first and the longest time for which an endpoint is avoided after a
/// failure. A killed endpoint is removed from the list after three missed
/// heartbeats of about a second each, so there is no use in avoiding one for
/// much longer than that.
constexpr duration kMinBackoff = std::chrono::milliseconds(700);
constexpr duration kMaxBackoff = std::chrono::seconds(6);
constexpr unsigned kMaxDoublings = 4;

/// An engine that refuses to prefill for others is leaving or gone and does not
/// return, so its back-off starts as if it had this many earlier failures.
constexpr unsigned kPrefillHelpRefusedFailures = 2;

/// Weight of the newest attempt in the moving average of the failure rate.
constexpr double kFailureWeight = 0.2;
/// An endpoint is avoided while its failure rate is above this, which is well
/// above that of a healthy service.
constexpr double kMaxFailureRate = 0.5;

/// An endpoint is avoided after three failures within this window, whichever
/// gateways observed them. A working endpoint has three failures so close
/// together only once in minutes, at 12 streams a second of which 3 in 100
/// break.
constexpr duration kFailureWindow = std::chrono::milliseconds(500);
/// Failures within this time count as one: a machine whose connections are
/// reset loses all its streams at once, although the endpoints are healthy.
constexpr duration kSameFailureWindow = std::chrono::milliseconds(20);

/// Avoids the endpoint, with exponential back-off.
void
AvoidEndpoint(endpoint_health& aHealth, time_point aNow)
{
  const unsigned doublings = std::min(aHealth.mBackoffFailures, kMaxDoublings);
  const duration backoff =
    std::min(kMinBackoff * (1U << doublings), kMaxBackoff);
  ++aHealth.mBackoffFailures;
  aHealth.mAvoidUntil = aNow + backoff;
}

/// Records the time of a failure. True if it is the third within
/// `kFailureWindow`.
bool
RecordFailureTime(endpoint_health& aHealth, time_point aNow)
{
  if (aNow - aHealth.mLastFailureAt < kSameFailureWindow) {
    return false;
  }
  const bool third = aNow - aHealth.mPreviousFailureAt < kFailureWindow;
  aHealth.mPreviousFailureAt = aHealth.mLastFailureAt;
  aHealth.mLastFailureAt = aNow;
  return third;
}

/// Number of removals that are kept. About a tenth as many endpoints are
/// replaced in a day.
constexpr std::size_t kMaxRemovals = 4096;

/// Deletes the older half of the removals when there are too many. No table
/// read is so stale that it still contains one of those endpoints.
void
TrimRemovals(endpoint_registry& aRegistry)
{
  if (aRegistry.mGone.size() <= kMaxRemovals) {
    return;
  }
  std::vector<std::uint64_t> revisions;
  for (const auto& [id, revision] : aRegistry.mGone) {
    revisions.push_back(revision);
  }
  const auto middle =
    revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  aRegistry.mRemovalsSince =
    std::max(aRegistry.mRemovalsSince.value_or(0), *middle);
  std::erase_if(aRegistry.mGone, [oldest = *middle](const auto& aEntry) {
    return aEntry.second < oldest;
  });
  std::erase_if(aRegistry.mNoticesOfGone, [&aRegistry](const auto& aEntry) {
    return !aRegistry.mGone.contains(aEntry.first);
  });
}

/// Removes an endpoint from the list, but keeps its notice. True if it was
/// listed.
bool
RemoveEndpoint(endpoint_registry& aRegistry,
               const std::string& aId,
               std::uint64_t aRevision)
{
  aRegistry.mGone[aId] = aRevision;
  const auto held = aRegistry.mEndpoints.find(aId);
  const bool listed = held != aRegistry.mEndpoints.end();
  if (listed) {
    if (held->second.mNotice != endpoint_notice{}) {
      aRegistry.mNoticesOfGone[aId] = { held->second.mNotice,
                                        held->second.mListed.mBorn };
    }
    aRegistry.mEndpoints.erase(held);
  }
  TrimRemovals(aRegistry);
  return listed;
}

/// True if the endpoint started again between the two. Which of them is the
/// later one follows from the revisions of their rows only: the clock of the
/// endpoint's machine may have been set back.
bool
IsOtherStart(const std::optional<std::int64_t>& aOne,
             const std::optional<std::int64_t>& aOther)
{
  return aOne.has_value() && aOther.has_value() && *aOne != *aOther;
}

/// Adds an endpoint to the list, with its notice if it was listed before and
/// has not started again since.
void
AddEndpoint(endpoint_registry& aRegistry, const row_change<endpoint>& aRow)
{
  known_endpoint added;
  added.mListed = *aRow.mValue;
  added.mRevision = aRow.mRevision;
  aRegistry.mGone.erase(aRow.mKey);
  const auto notice = aRegistry.mNoticesOfGone.find(aRow.mKey);
  if (notice != aRegistry.mNoticesOfGone.end()) {
    if (!IsOtherStart(notice->second.mBorn, added.mListed.mBorn)) {
      added.mNotice = notice->second.mNotice;
    }
    aRegistry.mNoticesOfGone.erase(notice);
  }
  aRegistry.mEndpoints.emplace(aRow.mKey, std::move(added));
}

/// Time until the endpoint's notice, limit and warm-up admit a request by this
/// gateway.
duration
TimeUntilAdmitted(const known_endpoint& aEndpoint, time_point aNow)
{
  return std::max({ TimeUntilAdmitted(aEndpoint.mLimit, aNow),
                    TimeUntilAdmitted(aEndpoint.mWarmUp, aNow),
                    TimeUntilAccepting(aEndpoint.mNotice, aNow) });
}

} // namespace

membership_change
ApplyRow(endpoint_registry& aRegistry, const row_change<endpoint>& aChange)
{
  aRegistry.mNewestRevision =
    std::max(aRegistry.mNewestRevision, aChange.mRevision);
  const auto gone = aRegistry.mGone.find(aChange.mKey);
  if (gone != aRegistry.mGone.end() && gone->second >= aChange.mRevision) {
    return membership_change::Unchanged;
  }
  const auto held = aRegistry.mEndpoints.find(aChange.mKey);
  if (held != aRegistry.mEndpoints.end() &&
      held->second.mRevision >= aChange.mRevision) {
    return membership_change::Unchanged;
  }
  if (!aChange.mValue.has_value()) {
    return RemoveEndpoint(aRegistry, aChange.mKey, aChange.mRevision)
             ? membership_change::Left
             : membership_change::Unchanged;
  }
  if (held == aRegistry.mEndpoints.end()) {
    AddEndpoint(aRegistry, aChange);
    return membership_change::Joined;
  }
  if (IsOtherStart(held->second.mListed.mBorn, aChange.mValue->mBorn)) {
    known_endpoint restarted;
    restarted.mListed = *aChange.mValue;
    restarted.mRevision = aChange.mRevision;
    restarted.mPreferred = held->second.mPreferred;
    restarted.mEvacuated = held->second.mEvacuated;
    held->second = std::move(restarted);
    return membership_change::Restarted;
  }
  const bool wasLeaving = held->second.mListed.mLeaving;
  held->second.mListed = *aChange.mValue;
  held->second.mRevision = aChange.mRevision;
  return !wasLeaving && aChange.mValue->mLeaving ? membership_change::Leaving
                                                 : membership_change::Changed;
}

std::vector<std::string>
ApplySnapshot(endpoint_registry& aRegistry,
              const std::vector<row_change<endpoint>>& aRows,
              std::uint64_t aRevision)
{
  std::unordered_map<std::string, bool> listed;
  for (const row_change<endpoint>& row : aRows) {
    listed.emplace(row.mKey, true);
    (void)ApplyRow(aRegistry, row);
  }
  std::vector<std::string> left;
  for (const auto& [id, known] : aRegistry.mEndpoints) {
    if (!listed.contains(id) && known.mRevision <= aRevision) {
      left.push_back(id);
    }
  }
  aRegistry.mRemovalsSince = aRegistry.mRemovalsSince.value_or(aRevision);
  for (const std::string& id : left) {
    // The revision that removed it is not known, but is at most that of the
    // snapshot.
    (void)RemoveEndpoint(aRegistry, id, aRevision);
  }
  return left;
}

endpoint_notice*
FindNotice(endpoint_registry& aRegistry, const endpoint& aEndpoint)
{
  const auto held = aRegistry.mEndpoints.find(aEndpoint.mId);
  if (held != aRegistry.mEndpoints.end()) {
    return IsOtherStart(held->second.mListed.mBorn, aEndpoint.mBorn)
             ? nullptr
             : &held->second.mNotice;
  }
  if (!aRegistry.mGone.contains(aEndpoint.mId)) {
    return nullptr;
  }
  kept_notice& kept =
    aRegistry.mNoticesOfGone
      .try_emplace(aEndpoint.mId, kept_notice{ {}, aEndpoint.mBorn })
      .first->second;
  return IsOtherStart(kept.mBorn, aEndpoint.mBorn) ? nullptr : &kept.mNotice;
}

std::uint64_t
AppliedRevision(const endpoint_registry& aRegistry, const std::string& aId)
{
  const auto held = aRegistry.mEndpoints.find(aId);
  if (held != aRegistry.mEndpoints.end()) {
    return held->second.mRevision;
  }
  const auto gone = aRegistry.mGone.find(aId);
  return gone == aRegistry.mGone.end() ? 0 : gone->second;
}

void
RecordHealthEvent(endpoint_health& aHealth,
                  endpoint_health_event aEvent,
                  time_point aNow)
{
  const bool failed = aEvent != endpoint_health_event::Answered;
  aHealth.mFailureRate =
    aHealth.mFailureRate * (1 - kFailureWeight) + (failed ? kFailureWeight : 0);
  switch (aEvent) {
    case endpoint_health_event::Answered:
      aHealth.mBackoffFailures = 0;
      return;
    case endpoint_health_event::ConnectionBroken:
      if (RecordFailureTime(aHealth, aNow) ||
          aHealth.mFailureRate > kMaxFailureRate) {
        AvoidEndpoint(aHealth, aNow);
      }
      return;
    case endpoint_health_event::Failed:
      if (aHealth.mFailureRate > kMaxFailureRate) {
        AvoidEndpoint(aHealth, aNow);
      }
      return;
    case endpoint_health_event::Unreachable:
    case endpoint_health_event::Silent:
    case endpoint_health_event::AddressReassigned:
      AvoidEndpoint(aHealth, aNow);
      return;
    case endpoint_health_event::PrefillHelpRefused:
      aHealth.mBackoffFailures =
        std::max(aHealth.mBackoffFailures, kPrefillHelpRefusedFailures);
      AvoidEndpoint(aHealth, aNow);
      return;
  }
}

void
RecordPeerFailureReport(endpoint_health& aHealth, time_point aNow)
{
  if (RecordFailureTime(aHealth, aNow) && aHealth.mAvoidUntil <= aNow) {
    AvoidEndpoint(aHealth, aNow);
  }
}

bool
IsLeaving(const known_endpoint& aEndpoint)
{
  return aEndpoint.mListed.mLeaving || aEndpoint.mNotice.mLeaving;
}

bool
TakesNewWork(const known_endpoint& aEndpoint)
{
  return !IsLeaving(aEndpoint) && !aEndpoint.mEvacuated;
}

bool
IsUsable(const known_endpoint& aEndpoint, std::string_view aService)
{
  return TakesNewWork(aEndpoint) && aEndpoint.mListed.mService == aService;
}

bool
IsInScope(const known_endpoint& aEndpoint, const endpoint_scope& aScope)
{
  return IsUsable(aEndpoint, aScope.mService) &&
         Allows(aScope.mRegions, aEndpoint.mListed.mRegion);
}

bool
IsAdmissible(const known_endpoint& aEndpoint,
             const endpoint_scope& aScope,
             time_point aNow)
{
  return IsInScope(aEndpoint, aScope) &&
         TimeUntilAdmitted(aEndpoint, aNow) <= duration::zero();
}

void
RecordRequestSent(known_endpoint& aEndpoint, time_point aNow)
{
  TakeToken(aEndpoint.mLimit, aNow);
  aEndpoint.mWarmUp = WithRequestSent(aEndpoint.mWarmUp, aNow);
}

std::optional<duration>
TimeUntilAdmissible(const endpoint_registry& aRegistry,
                    const endpoint_scope& aScope,
                    const std::vector<std::string>& aTried,
                    time_point aNow)
{
  std::optional<duration> soonest;
  for (const auto& [id, known] : aRegistry.mEndpoints) {
    if (IsInScope(known, aScope) &&
        std::find(aTried.begin(), aTried.end(), id) == aTried.end()) {
      soonest = std::min(soonest.value_or(duration::max()),
                         TimeUntilAdmitted(known, aNow));
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
ChoosePlainEndpoint(endpoint_registry& aRegistry,
                    const endpoint_scope& aScope,
                    std::string_view aDataCentre,
                    const std::vector<std::string>& aTried,
                    time_point aNow,
                    double aRandom)
{
  struct rank
  {
    bool mAvoided = false;
    unsigned mOutstanding = 0;
    bool mInOtherDataCentre = false;
    std::uint64_t mRandomHash = 0;
    std::tuple<bool, unsigned, bool, std::uint64_t> Key() const
    {
      return { mAvoided, mOutstanding, mInOtherDataCentre, mRandomHash };
    }
  };
  constexpr double kRandomSteps = 1e6;
  known_endpoint* best = nullptr;
  rank bestRank;
  for (auto& [id, known] : aRegistry.mEndpoints) {
    if (!IsAdmissible(known, aScope, aNow) ||
        std::find(aTried.begin(), aTried.end(), id) != aTried.end()) {
      continue;
    }
    const rank candidate{
      IsAvoided(known, aNow),
      known.mOutstanding,
      known.mListed.mDataCentre != aDataCentre,
      Hash(id, static_cast<std::uint64_t>(aRandom * kRandomSteps))
    };
    if (best == nullptr || candidate.Key() < bestRank.Key()) {
      best = &known;
      bestRank = candidate;
    }
  }
  return best;
}

} // namespace primrose
