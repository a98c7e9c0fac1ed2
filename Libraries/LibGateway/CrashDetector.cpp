#include "LibGateway/CrashDetector.h"

#include <algorithm>
#include <utility>

namespace primrose {

namespace {

/// A crashed endpoint is removed from the list within this time: that takes
/// three missed reports, one to two seconds apart, and changes of the list are
/// batched.
constexpr duration kUnresolvedFailureLifetime = std::chrono::seconds(10);
/// Bounds the unresolved failures of one endpoint, which has about twenty
/// slots.
constexpr std::size_t kMaxUnresolvedPerEndpoint = 64;
/// Delay before a quarantined request is written to the store's table. The
/// request may be cleared meanwhile. If several gateways reported a crash under
/// it, each of them writes the row.
constexpr duration kTableWriteDelay = std::chrono::seconds(1);
/// Each gateway that answered a request lately waits for a random time up to
/// this before it broadcasts that the request is cleared. Hundreds of gateways
/// may have answered it; the first broadcast makes the others unnecessary.
constexpr duration kClearedBroadcastWindow = std::chrono::milliseconds(300);
/// Minimum time between two sends of the whole quarantine to one peer.
constexpr duration kResyncInterval = std::chrono::milliseconds(500);
/// Pause after the store refused a claim of a trial.
constexpr duration kClaimBackoff = std::chrono::seconds(2);
/// Requests wait up to this time after the start for the quarantine to be read
/// from the store.
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

/// True if this gateway has the highest rendezvous weight for the request among
/// the gateways that it has in its membership. Used for work that one gateway
/// should do for all.
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

/// `aReporter` is empty if the request was answered by this gateway.
void
LogCleared(log_level aLevel,
           request_digest aRequest,
           const std::string& aReporter,
           bool aWasQuarantined)
{
  Log(aLevel,
      "request_cleared",
      { { "digest", DigestText(aRequest) },
        { "told_by", aReporter },
        { "was_held", static_cast<int>(aWasQuarantined) } });
}

/// Erases elements that are at least `aAge` old.
template<typename Key>
void
EraseOlder(std::map<Key, time_point>& aTimes, duration aAge, time_point aNow)
{
  std::erase_if(aTimes, [aAge, aNow](const auto& aEntry) {
    return aEntry.second + aAge <= aNow;
  });
}

/// Removes and returns the requests whose time has come.
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
                               const store_adapter& aAdapter,
                               gateway_state& aBoard,
                               endpoint_connection_pool& aConnections,
                               gossip_sender& aSender)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mBoard(aBoard)
  , mConnections(aConnections)
  , mSender(aSender)
  , mTable(aLoop, aSettings, aAdapter, aBoard)
{
}

crash_detector::~crash_detector() = default;

void
crash_detector::Start()
{
  mTable.LoadRows([this](const std::vector<quarantined_request>& aQuarantined) {
    MergeQuarantined(aQuarantined, "platform");
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
crash_detector::WhenQuarantineLoaded(std::function<void()> aCallback)
{
  if (mBoard.mQuarantineKnown ||
      mLoop.Now() - mBoard.mStarted >= kMaxStartupWait) {
    aCallback();
    return;
  }
  mWaitingCallbacks.push_back(std::move(aCallback));
}

void
crash_detector::RunWaitingCallbacks()
{
  for (const std::function<void()>& callback :
       std::exchange(mWaitingCallbacks, {})) {
    callback();
  }
}

void
crash_detector::OnAttemptFailed(const failed_attempt& aAttempt)
{
  const std::string& id = aAttempt.mEndpointId;
  if (mCrashed.contains(id)) {
    ReportCrashes(aAttempt);
    return;
  }
  const auto known = mBoard.mEndpoints.mEndpoints.find(id);
  if (known == mBoard.mEndpoints.mEndpoints.end() || IsLeaving(known->second)) {
    // The end of a draining or unlisted endpoint is planned and no crash.
    return;
  }
  std::vector<unresolved_failure>& failures = mUnresolvedFailures[id];
  if (failures.size() < kMaxUnresolvedPerEndpoint) {
    failures.push_back(
      { aAttempt, known->second.mListed.mAddress, false, mLoop.Now() });
  }
  if (aAttempt.mConnectionBroke) {
    CheckReachability(id, known->second.mListed.mAddress);
  }
}

void
crash_detector::CheckReachability(const std::string& aEndpointId,
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
  const auto failures = mUnresolvedFailures.find(aEndpointId);
  if (failures != mUnresolvedFailures.end()) {
    for (unresolved_failure& one : failures->second) {
      one.mReached = true;
    }
  }
}

void
crash_detector::OnEndpointCrashed(const std::string& aEndpointId,
                                  std::string_view aEvidence)
{
  const auto found = mUnresolvedFailures.find(aEndpointId);
  if (found == mUnresolvedFailures.end()) {
    return;
  }
  const std::vector<unresolved_failure> failures = std::move(found->second);
  mUnresolvedFailures.erase(found);
  mCrashed[aEndpointId] = mLoop.Now();
  mBoard.mMetrics.Count("gateway_endpoint_crashes_total");
  Log(
    log_level::Warning,
    "endpoint_crashed",
    { { "endpoint", aEndpointId },
      { "seen_by", aEvidence },
      { "requests", failures.size() },
      { "after_ms", Milliseconds(mLoop.Now() - failures.front().mFailedAt) } });
  for (const unresolved_failure& one : failures) {
    ReportCrashes(one.mAttempt);
  }
}

void
crash_detector::OnEndpointDraining(const std::string& aEndpointId)
{
  mUnresolvedFailures.erase(aEndpointId);
}

void
crash_detector::OnEndpointRestarted(const std::string& aEndpointId)
{
  OnEndpointCrashed(aEndpointId, "started_again");
  mCrashed.erase(aEndpointId);
}

void
crash_detector::OnEndpointUnlisted(const std::string& aEndpointId)
{
  const auto failures = mUnresolvedFailures.find(aEndpointId);
  if (failures != mUnresolvedFailures.end()) {
    CheckReachability(aEndpointId, failures->second.front().mAddress);
  }
}

void
crash_detector::ReportCrashes(const failed_attempt& aAttempt)
{
  for (const request_digest suspect : aAttempt.mSuspects) {
    ReportCrash(
      { suspect, EngineKey(aAttempt.mEndpointId), aAttempt.mAnswering });
  }
}

void
crash_detector::ReportCrash(const crash_report& aReport)
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
  mSender.BroadcastCrash(aReport);
  if (effect == crash_effect::Held) {
    OnQuarantined(aReport.mRequest, "");
  }
}

void
crash_detector::OnPeerCrashReport(const crash_report& aReport,
                                  const std::string& aHost)
{
  // This gateway's own attempts at that endpoint failed with it, even if the
  // caller had just disconnected and no connection broke here.
  const auto failures =
    std::find_if(mUnresolvedFailures.begin(),
                 mUnresolvedFailures.end(),
                 [&aReport](const auto& aEntry) {
                   return EngineKey(aEntry.first) == aReport.mEndpoint;
                 });
  if (failures != mUnresolvedFailures.end()) {
    OnEndpointCrashed(std::string(failures->first), "told");
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
                              const std::string& aReporter)
{
  mBoard.mMetrics.Count("gateway_quarantined_total");
  Log(log_level::Warning,
      "request_quarantined",
      { { "digest", DigestText(aRequest) },
        { "told_by", aReporter },
        { "held", mBoard.mQuarantine.mHeld.size() } });
  if (mReported.contains(aRequest)) {
    mTableWritesDue[aRequest] = mLoop.Now() + kTableWriteDelay;
  }
}

void
crash_detector::OnAnswered(request_digest aSuspect)
{
  const bool wasQuarantined = mBoard.mQuarantine.mHeld.contains(aSuspect);
  if (!RecordAnswered(mBoard.mQuarantine, aSuspect, mLoop.Now())) {
    return;
  }
  LogCleared(log_level::Warning, aSuspect, "", wasQuarantined);
  mSender.BroadcastCleared(aSuspect);
  if (wasQuarantined) {
    mWrittenRows.erase(aSuspect);
    mTable.Remove(aSuspect);
  }
}

void
crash_detector::OnPeerCleared(request_digest aRequest, const std::string& aHost)
{
  const bool wasQuarantined =
    RecordCleared(mBoard.mQuarantine, aRequest, mLoop.Now());
  mClearedBroadcastsDue.erase(aRequest);
  mTableWritesDue.erase(aRequest);
  if (wasQuarantined) {
    LogCleared(log_level::Info, aRequest, aHost, true);
  }
  if (mWrittenRows.erase(aRequest) != 0) {
    mTable.Remove(aRequest);
  }
}

void
crash_detector::MergeQuarantined(
  const std::vector<quarantined_request>& aQuarantined,
  const std::string& aHost)
{
  const time_point now = mLoop.Now();
  for (const quarantined_request& one : aQuarantined) {
    if (AnsweredRecently(mBoard.mQuarantine, one.mRequest, now)) {
      ScheduleClearedBroadcast(one.mRequest);
    } else if (RecordQuarantined(mBoard.mQuarantine, one, now)) {
      OnQuarantined(one.mRequest, aHost);
    }
  }
}

void
crash_detector::OnPeerQuarantineHash(std::uint64_t aPeerHash,
                                     const std::string& aHost)
{
  // A peer may miss quarantined requests because a datagram was lost, or
  // because it was disconnected or has just started, and would then forward
  // them. Each heartbeat carries a hash of the sender's quarantine, which shows
  // this.
  const time_point now = mLoop.Now();
  if (aPeerHash == 0 || mBoard.mQuarantine.mHeld.empty() ||
      aPeerHash == QuarantineChecksum(mBoard.mQuarantine)) {
    return;
  }
  time_point& lastSend = mLastFullSend[aHost];
  if (now - lastSend >= kResyncInterval) {
    lastSend = now;
    mSender.SendQuarantined(QuarantinedRequests(mBoard.mQuarantine, now),
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
crash_detector::PendingSuspicion(request_digest aRequest) const
{
  crash_score sum = 0;
  for (const auto& [endpoint, failures] : mUnresolvedFailures) {
    for (const unresolved_failure& one : failures) {
      if (one.mAttempt.mSuspects.front() == aRequest &&
          one.mAttempt.mConnectionBroke && !one.mReached) {
        sum += ScoreOfCrash(one.mAttempt.mAnswering);
      }
    }
  }
  return sum;
}

suspects_verdict
crash_detector::Verdict(const std::vector<request_digest>& aSuspects) const
{
  return SuspectsVerdictFor(mBoard.mQuarantine,
                            aSuspects,
                            PendingSuspicion(aSuspects.front()),
                            mLoop.Now());
}

void
crash_detector::ClaimTrials(std::vector<request_digest> aQuarantined,
                            std::function<void(bool)> aCallback)
{
  if (aQuarantined.empty()) {
    aCallback(true);
    return;
  }
  const request_digest next = aQuarantined.back();
  aQuarantined.pop_back();
  ClaimTrial(
    next,
    [this, next, rest = std::move(aQuarantined), then = std::move(aCallback)](
      bool aGranted) {
      if (!aGranted) {
        then(false);
        return;
      }
      ClaimTrials(rest, [this, next, then](bool aRestGranted) {
        if (!aRestGranted) {
          ReturnTrials({ next });
        }
        then(aRestGranted);
      });
    });
}

void
crash_detector::ReturnTrials(const std::vector<request_digest>& aQuarantined)
{
  for (const request_digest one : aQuarantined) {
    RecordUnusedTrial(mBoard.mQuarantine, one);
  }
}

void
crash_detector::ClaimTrial(request_digest aRequest,
                           std::function<void(bool)> aCallback)
{
  if (TakeUnusedTrial(mBoard.mQuarantine, aRequest)) {
    aCallback(true);
    return;
  }
  const auto held = mBoard.mQuarantine.mHeld.find(aRequest);
  if (held == mBoard.mQuarantine.mHeld.end() || mLoop.Now() < mNextClaimAt ||
      !mClaimsInProgress.insert(aRequest).second) {
    aCallback(false);
    return;
  }
  const unsigned trial = held->second.mTrials + 1;
  mTable.ClaimTrial(
    aRequest,
    trial,
    [this, aRequest, trial, then = std::move(aCallback)](
      write_outcome aOutcome) {
      mClaimsInProgress.erase(aRequest);
      const bool granted = aOutcome == write_outcome::Done;
      if (aOutcome == write_outcome::Refused) {
        mNextClaimAt = mLoop.Now() + kClaimBackoff;
      } else {
        // If no answer arrived, the store may have granted the trial to this
        // gateway or to another one.
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
        mSender.BroadcastQuarantined({ { aRequest, trial, duration::zero() } });
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
      mSender.BroadcastCleared(request);
    }
  }
  for (const request_digest request : TakeDue(mTableWritesDue, now)) {
    if (mBoard.mQuarantine.mHeld.contains(request)) {
      mWrittenRows.insert(request);
      mTable.Add(request);
    }
  }
  mTable.Tick();
  if (!mWaitingCallbacks.empty() && now - mBoard.mStarted >= kMaxStartupWait) {
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
  for (auto& [endpoint, failures] : mUnresolvedFailures) {
    std::erase_if(failures, [now](const unresolved_failure& aFailure) {
      return aFailure.mFailedAt + kUnresolvedFailureLifetime <= now;
    });
  }
  std::erase_if(mUnresolvedFailures,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  EraseOlder(mCrashed, kUnresolvedFailureLifetime, now);
  EraseOlder(mReported, kReportedLifetime, now);
  std::erase_if(mLastFullSend, [this](const auto& aEntry) {
    return !mBoard.mPeers.contains(aEntry.first);
  });
  for (const request_digest freed :
       ExpireCrashRecords(mBoard.mQuarantine, now)) {
    LogCleared(log_level::Info, freed, "time", true);
    mWrittenRows.erase(freed);
    if (IsResponsibleGateway(mBoard, mSettings.mPeers.mHost, freed)) {
      mTable.Remove(freed);
    }
  }
}

} // namespace primrose
