#include "LibGateway/CrashDetector.h"

#include <algorithm>
#include <utility>

namespace primrose {

namespace {

/// Within this a crashed endpoint is off the list: it misses three reports of
/// one to two seconds each, and changes of the list are gathered.
constexpr duration kUnresolvedFailureLifetime = std::chrono::seconds(10);
/// The cases of one endpoint; it has some twenty slots.
constexpr std::size_t kMaxUnresolvedPerEndpoint = 64;
/// A request that several entries saw end endpoints is left in the table by
/// each of them; the first to do so spares the others nothing but the check.
/// Until then it may turn out to be sound.
constexpr duration kTableWriteDelay = std::chrono::seconds(1);
/// Hundreds of entries may know that a request is sound: the first one that
/// says so spares the others saying it.
constexpr duration kClearedBroadcastWindow = std::chrono::milliseconds(300);
/// Between two times that one peer is told all that is held.
constexpr duration kResyncInterval = std::chrono::milliseconds(500);
/// After the store refused a call for a trial.
constexpr duration kClaimBackoff = std::chrono::seconds(2);
/// An entry that starts waits so long for the store to say what is held.
constexpr duration kMaxStartupWait = std::chrono::milliseconds(500);
constexpr duration kExpiryInterval = std::chrono::seconds(1);
constexpr duration kReportedLifetime = std::chrono::hours(1);

std::string_view
EffectName(crash_effect aEffect)
{
  switch (aEffect) {
    case crash_effect::Nothing:
      return "known";
    case crash_effect::Recorded:
      return "noted";
    case crash_effect::Held:
      return "held";
    case crash_effect::Refuted:
      return "served_lately";
  }
  return "";
}

/// Whether this entry is the one, of those it knows, that does what is to be
/// done once for a request.
bool
IsResponsibleGateway(const gateway_state& aBoard,
                     const std::string& aOwnHost,
                     request_digest aRequest)
{
  const std::string key = DigestText(aRequest);
  const std::uint64_t own = RendezvousWeight(key, aOwnHost);
  return std::none_of(
    aBoard.mPeers.begin(), aBoard.mPeers.end(), [&key, own](const auto& aPeer) {
      return RendezvousWeight(key, aPeer.first) > own;
    });
}

/// `aToldBy` is empty where it was answered here.
void
LogCleared(log_level aLevel,
           request_digest aRequest,
           const std::string& aToldBy,
           bool aWasHeld)
{
  Log(aLevel,
      "request_cleared",
      { { "digest", DigestText(aRequest) },
        { "told_by", aToldBy },
        { "was_held", static_cast<int>(aWasHeld) } });
}

/// Drops what was noted so long ago.
template<typename Key>
void
EraseOlder(std::map<Key, time_point>& aNoted, duration aAge, time_point aNow)
{
  std::erase_if(aNoted, [aAge, aNow](const auto& aEntry) {
    return aEntry.second + aAge <= aNow;
  });
}

/// The requests whose time has come, which are taken out.
std::vector<request_digest>
TakeDue(std::map<request_digest, time_point>& aTimes, time_point aNow)
{
  std::vector<request_digest> due;
  for (auto one = aTimes.begin(); one != aTimes.end();) {
    if (one->second > aNow) {
      ++one;
      continue;
    }
    due.push_back(one->first);
    one = aTimes.erase(one);
  }
  return due;
}

} // namespace

crash_detector::crash_detector(event_loop& aLoop,
                               const gateway_settings& aSettings,
                               const gateway_adapter& aAdapter,
                               gateway_state& aBoard,
                               endpoint_connection_pool& aConnections,
                               gossip_sender& aOutbox)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mBoard(aBoard)
  , mConnections(aConnections)
  , mGossipSender(aOutbox)
  , mTable(aLoop, aSettings, aAdapter, aBoard)
{
}

crash_detector::~crash_detector() = default;

void
crash_detector::Start()
{
  mTable.Learn([this](const std::vector<quarantined_request>& aHeld) {
    MergeQuarantined(aHeld, "platform");
    mBoard.mQuarantineKnown = true;
    RunWaitingCallbacks();
  });
}

void
crash_detector::OnStoreReached()
{
  mTable.RetryNow();
}

void
crash_detector::WhenQuarantineLoaded(std::function<void()> aThen)
{
  if (mBoard.mQuarantineKnown ||
      mLoop.Now() - mBoard.mStarted >= kMaxStartupWait) {
    aThen();
    return;
  }
  mWaiting.push_back(std::move(aThen));
}

void
crash_detector::RunWaitingCallbacks()
{
  for (const std::function<void()>& then : std::exchange(mWaiting, {})) {
    then();
  }
}

void
crash_detector::OnAttemptFailed(const failed_attempt& aAttempt)
{
  const std::string& id = aAttempt.mEndpointId;
  if (mEnded.contains(id)) {
    Report({ aAttempt.mRequest, EngineKey(id), aAttempt.mAnswering });
    return;
  }
  const auto known = mBoard.mEndpoints.mEndpoints.find(id);
  if (known == mBoard.mEndpoints.mEndpoints.end() ||
      known->second.mListed.mLeaving) {
    // It ends as planned, whatever it was doing.
    return;
  }
  std::vector<unresolved_failure>& cases = mUnresolvedFailures[id];
  if (cases.size() < kMaxUnresolvedPerEndpoint) {
    cases.push_back(
      { aAttempt, known->second.mListed.mAddress, false, mLoop.Now() });
  }
  if (aAttempt.mConnectionBroke) {
    Check(id, known->second.mListed.mAddress);
  }
}

void
crash_detector::Check(const std::string& aEndpointId,
                      const ip_address& aAddress)
{
  if (mReachabilityChecks.contains(aEndpointId)) {
    return;
  }
  mReachabilityChecks[aEndpointId] = std::make_shared<reachability_check>(
    mLoop, mConnections, aAddress, [this, aEndpointId](reachability aResult) {
      mLoop.DeleteLater(std::move(mReachabilityChecks[aEndpointId]));
      mReachabilityChecks.erase(aEndpointId);
      OnReachabilityResult(std::string(aEndpointId), aResult);
    });
}

void
crash_detector::OnReachabilityResult(const std::string& aEndpointId,
                                     reachability aResult)
{
  const bool listed = mBoard.mEndpoints.mEndpoints.contains(aEndpointId);
  if (aResult == reachability::Refused) {
    OnEndpointCrashed(aEndpointId, "refused");
    return;
  }
  if (aResult == reachability::Silent) {
    if (!listed) {
      OnEndpointCrashed(aEndpointId, "silent_and_unlisted");
    }
    return;
  }
  if (!listed) {
    mUnresolvedFailures.erase(aEndpointId);
    return;
  }
  const auto cases = mUnresolvedFailures.find(aEndpointId);
  if (cases != mUnresolvedFailures.end()) {
    for (unresolved_failure& one : cases->second) {
      one.mReached = true;
    }
  }
}

void
crash_detector::OnEndpointCrashed(const std::string& aEndpointId,
                                  std::string_view aSeenBy)
{
  const auto found = mUnresolvedFailures.find(aEndpointId);
  if (found == mUnresolvedFailures.end()) {
    return;
  }
  const std::vector<unresolved_failure> cases = std::move(found->second);
  mUnresolvedFailures.erase(found);
  mEnded[aEndpointId] = mLoop.Now();
  mBoard.mMetrics.Count("gateway_endpoint_crashes_total");
  Log(log_level::Warning,
      "endpoint_crashed",
      { { "endpoint", aEndpointId },
        { "seen_by", aSeenBy },
        { "requests", cases.size() },
        { "after_ms", Milliseconds(mLoop.Now() - cases.front().mFailedAt) } });
  for (const unresolved_failure& one : cases) {
    Report({ one.mAttempt.mRequest,
             EngineKey(aEndpointId),
             one.mAttempt.mAnswering });
  }
}

void
crash_detector::OnEndpointDraining(const std::string& aEndpointId)
{
  mUnresolvedFailures.erase(aEndpointId);
}

void
crash_detector::OnEndpointUnlisted(const std::string& aEndpointId)
{
  const auto cases = mUnresolvedFailures.find(aEndpointId);
  if (cases != mUnresolvedFailures.end()) {
    Check(aEndpointId, cases->second.front().mAddress);
  }
}

void
crash_detector::Report(const crash_report& aReport)
{
  const time_point now = mLoop.Now();
  const crash_effect effect = RecordCrash(mBoard.mQuarantine, aReport, now);
  Log(log_level::Info,
      "request_suspected",
      { { "digest", DigestText(aReport.mRequest) },
        { "endpoint_key", aReport.mEndpoint },
        { "answering", static_cast<int>(aReport.mAnswering) },
        { "effect", EffectName(effect) } });
  if (effect == crash_effect::Nothing || effect == crash_effect::Refuted) {
    return;
  }
  mReported[aReport.mRequest] = now;
  mGossipSender.BroadcastCrash(aReport);
  if (effect == crash_effect::Held) {
    OnQuarantined(aReport.mRequest, "");
  }
}

void
crash_detector::OnPeerCrashReport(const crash_report& aReport,
                                  const std::string& aHost)
{
  // What this entry had there ended with it, also if its caller had just left
  // and nothing broke here.
  const auto cases =
    std::find_if(mUnresolvedFailures.begin(),
                 mUnresolvedFailures.end(),
                 [&aReport](const auto& aEntry) {
                   return EngineKey(aEntry.first) == aReport.mEndpoint;
                 });
  if (cases != mUnresolvedFailures.end()) {
    OnEndpointCrashed(std::string(cases->first), "told");
  }
  switch (RecordCrash(mBoard.mQuarantine, aReport, mLoop.Now())) {
    case crash_effect::Held:
      OnQuarantined(aReport.mRequest, aHost);
      return;
    case crash_effect::Refuted:
      ScheduleClearedBroadcast(aReport.mRequest);
      return;
    case crash_effect::Nothing:
    case crash_effect::Recorded:
      return;
  }
}

void
crash_detector::OnQuarantined(request_digest aRequest,
                              const std::string& aToldBy)
{
  mBoard.mMetrics.Count("gateway_quarantined_total");
  Log(log_level::Warning,
      "request_quarantined",
      { { "digest", DigestText(aRequest) },
        { "told_by", aToldBy },
        { "held", mBoard.mQuarantine.mHeld.size() } });
  if (mReported.contains(aRequest)) {
    mTableWritesDue[aRequest] = mLoop.Now() + kTableWriteDelay;
  }
}

void
crash_detector::OnRequestAnswered(request_digest aRequest)
{
  const bool held = mBoard.mQuarantine.mHeld.contains(aRequest);
  if (!RecordAnswered(mBoard.mQuarantine, aRequest, mLoop.Now())) {
    return;
  }
  LogCleared(log_level::Warning, aRequest, "", held);
  mGossipSender.BroadcastCleared(aRequest);
  if (held) {
    mRows.erase(aRequest);
    mTable.Remove(aRequest);
  }
}

void
crash_detector::OnPeerCleared(request_digest aRequest, const std::string& aHost)
{
  const bool held = RecordCleared(mBoard.mQuarantine, aRequest, mLoop.Now());
  mClearedBroadcastsDue.erase(aRequest);
  mTableWritesDue.erase(aRequest);
  if (held) {
    LogCleared(log_level::Info, aRequest, aHost, true);
  }
  if (mRows.erase(aRequest) != 0) {
    mTable.Remove(aRequest);
  }
}

void
crash_detector::MergeQuarantined(const std::vector<quarantined_request>& aHeld,
                                 const std::string& aHost)
{
  const time_point now = mLoop.Now();
  for (const quarantined_request& one : aHeld) {
    if (AnsweredRecently(mBoard.mQuarantine, one.mRequest, now)) {
      ScheduleClearedBroadcast(one.mRequest);
    } else if (RecordQuarantined(mBoard.mQuarantine, one, now)) {
      OnQuarantined(one.mRequest, aHost);
    }
  }
}

void
crash_detector::OnPeerQuarantineHash(std::uint64_t aState,
                                     const std::string& aHost)
{
  // A datagram may be lost, an entry may have been cut off or just have
  // started: it would send what all others hold. Each beat shows whether its
  // sender holds the same.
  const time_point now = mLoop.Now();
  if (aState == 0 || mBoard.mQuarantine.mHeld.empty() ||
      aState == QuarantineChecksum(mBoard.mQuarantine)) {
    return;
  }
  time_point& told = mTold[aHost];
  if (now - told >= kResyncInterval) {
    told = now;
    mGossipSender.SendQuarantined(QuarantinedRequests(mBoard.mQuarantine, now),
                                  aHost);
  }
}

void
crash_detector::ScheduleClearedBroadcast(request_digest aRequest)
{
  const duration within =
    FromSeconds(Seconds(kClearedBroadcastWindow) * Uniform(mBoard.mRandom));
  mClearedBroadcastsDue.emplace(aRequest, mLoop.Now() + within);
}

crash_score
crash_detector::Pending(request_digest aRequest) const
{
  crash_score sum = 0;
  for (const auto& [endpoint, cases] : mUnresolvedFailures) {
    for (const unresolved_failure& one : cases) {
      if (one.mAttempt.mRequest == aRequest && one.mAttempt.mConnectionBroke &&
          !one.mReached) {
        sum += ScoreOfCrash(one.mAttempt.mAnswering);
      }
    }
  }
  return sum;
}

quarantine_verdict
crash_detector::Verdict(request_digest aRequest) const
{
  return QuarantineVerdictFor(
    mBoard.mQuarantine, aRequest, Pending(aRequest), mLoop.Now());
}

void
crash_detector::ClaimTrial(request_digest aRequest,
                           std::function<void(bool)> aThen)
{
  const auto held = mBoard.mQuarantine.mHeld.find(aRequest);
  if (held == mBoard.mQuarantine.mHeld.end() || mLoop.Now() < mNextClaimAt ||
      !mClaimsInProgress.insert(aRequest).second) {
    aThen(false);
    return;
  }
  const unsigned trial = held->second.mTrials + 1;
  mTable.ClaimTrial(
    aRequest,
    trial,
    [this, aRequest, trial, then = std::move(aThen)](write_outcome aOutcome) {
      mClaimsInProgress.erase(aRequest);
      const bool granted = aOutcome == write_outcome::Done;
      if (aOutcome == write_outcome::Refused) {
        mNextClaimAt = mLoop.Now() + kClaimBackoff;
      } else {
        // Without an answer the store may have given the trial away as well.
        RecordTrial(mBoard.mQuarantine, aRequest, trial, mLoop.Now());
      }
      Log(log_level::Warning,
          "quarantine_trial",
          { { "digest", DigestText(aRequest) },
            { "trial", trial },
            { "granted", static_cast<int>(granted) } });
      mBoard.mMetrics.Count(Labelled(
        "gateway_quarantine_trials_total", "granted", granted ? "1" : "0"));
      if (granted) {
        mGossipSender.BroadcastQuarantined(
          { { aRequest, trial, duration::zero() } });
      }
      then(granted);
    });
}

void
crash_detector::Tick()
{
  const time_point now = mLoop.Now();
  for (const request_digest request : TakeDue(mClearedBroadcastsDue, now)) {
    if (AnsweredRecently(mBoard.mQuarantine, request, now)) {
      mGossipSender.BroadcastCleared(request);
    }
  }
  for (const request_digest request : TakeDue(mTableWritesDue, now)) {
    if (mBoard.mQuarantine.mHeld.contains(request)) {
      mRows.insert(request);
      mTable.Add(request);
    }
  }
  mTable.Tick();
  if (!mWaiting.empty() && now - mBoard.mStarted >= kMaxStartupWait) {
    RunWaitingCallbacks();
  }
  if (now - mLastExpiry >= kExpiryInterval) {
    mLastExpiry = now;
    ExpireOldState();
  }
}

void
crash_detector::ExpireOldState()
{
  const time_point now = mLoop.Now();
  for (auto& [endpoint, cases] : mUnresolvedFailures) {
    std::erase_if(cases, [now](const unresolved_failure& aCase) {
      return aCase.mFailedAt + kUnresolvedFailureLifetime <= now;
    });
  }
  std::erase_if(mUnresolvedFailures,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  EraseOlder(mEnded, kUnresolvedFailureLifetime, now);
  EraseOlder(mReported, kReportedLifetime, now);
  std::erase_if(mTold, [this](const auto& aEntry) {
    return !mBoard.mPeers.contains(aEntry.first);
  });
  for (const request_digest freed :
       ExpireCrashRecords(mBoard.mQuarantine, now)) {
    LogCleared(log_level::Info, freed, "time", true);
    mRows.erase(freed);
    if (IsResponsibleGateway(mBoard, mSettings.mPeers.mHost, freed)) {
      mTable.Remove(freed);
    }
  }
}

} // namespace primrose
