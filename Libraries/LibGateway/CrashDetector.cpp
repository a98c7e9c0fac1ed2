#include "LibGateway/CrashDetector.h"

#include <algorithm>
#include <utility>

namespace primrose {

namespace {

/// Within this a crashed endpoint is off the list: it misses three reports of
/// one to two seconds each, and changes of the list are gathered.
constexpr duration kCaseOpenFor = std::chrono::seconds(10);
/// The cases of one endpoint; it has some twenty slots.
constexpr std::size_t kMostCases = 64;
/// A request that several entries saw end endpoints is left in the table by
/// each of them; the first to do so spares the others nothing but the check.
/// Until then it may turn out to be sound.
constexpr duration kBeforeRow = std::chrono::seconds(1);
/// Hundreds of entries may know that a request is sound: the first one that
/// says so spares the others saying it.
constexpr duration kRefuteWithin = std::chrono::milliseconds(300);
/// Between two times that one peer is told all that is held.
constexpr duration kTellAgain = std::chrono::milliseconds(500);
/// After the store refused a call for a trial.
constexpr duration kClaimPause = std::chrono::seconds(2);
/// An entry that starts waits so long for the store to say what is held.
constexpr duration kLearnsWithin = std::chrono::milliseconds(500);
constexpr duration kForgetEvery = std::chrono::seconds(1);
constexpr duration kReportedFor = std::chrono::hours(1);

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
IsOwnDuty(const gateway_board& aBoard,
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

crash_watch::crash_watch(event_loop& aLoop,
                         const gateway_settings& aSettings,
                         const gateway_adapter& aAdapter,
                         gateway_board& aBoard,
                         endpoint_connections& aConnections,
                         news_outbox& aOutbox)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mBoard(aBoard)
  , mConnections(aConnections)
  , mOutbox(aOutbox)
  , mTable(aLoop, aSettings, aAdapter, aBoard)
{
}

crash_watch::~crash_watch() = default;

void
crash_watch::Start()
{
  mTable.Learn([this](const std::vector<quarantined_request>& aHeld) {
    HearHeld(aHeld, "platform");
    mBoard.mQuarantineKnown = true;
    LetWaitingGo();
  });
}

void
crash_watch::OnStoreReached()
{
  mTable.RetryNow();
}

void
crash_watch::WhenKnown(std::function<void()> aThen)
{
  if (mBoard.mQuarantineKnown ||
      mLoop.Now() - mBoard.mStarted >= kLearnsWithin) {
    aThen();
    return;
  }
  mWaiting.push_back(std::move(aThen));
}

void
crash_watch::LetWaitingGo()
{
  for (const std::function<void()>& then : std::exchange(mWaiting, {})) {
    then();
  }
}

void
crash_watch::OnBroken(const broken_attempt& aAttempt)
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
  std::vector<open_case>& cases = mCases[id];
  if (cases.size() < kMostCases) {
    cases.push_back(
      { aAttempt, known->second.mListed.mAddress, false, mLoop.Now() });
  }
  if (aAttempt.mBrokeOff) {
    Check(id, known->second.mListed.mAddress);
  }
}

void
crash_watch::Check(const std::string& aEndpointId, const ip_address& aAddress)
{
  if (mChecks.contains(aEndpointId)) {
    return;
  }
  mChecks[aEndpointId] = std::make_shared<reachability_check>(
    mLoop, mConnections, aAddress, [this, aEndpointId](reachability aResult) {
      mLoop.DeleteLater(std::move(mChecks[aEndpointId]));
      mChecks.erase(aEndpointId);
      OnChecked(std::string(aEndpointId), aResult);
    });
}

void
crash_watch::OnChecked(const std::string& aEndpointId, reachability aResult)
{
  const bool listed = mBoard.mEndpoints.mEndpoints.contains(aEndpointId);
  if (aResult == reachability::Refused) {
    OnGone(aEndpointId, "refused");
    return;
  }
  if (aResult == reachability::Silent) {
    if (!listed) {
      OnGone(aEndpointId, "silent_and_unlisted");
    }
    return;
  }
  if (!listed) {
    mCases.erase(aEndpointId);
    return;
  }
  const auto cases = mCases.find(aEndpointId);
  if (cases != mCases.end()) {
    for (open_case& one : cases->second) {
      one.mReached = true;
    }
  }
}

void
crash_watch::OnGone(const std::string& aEndpointId, std::string_view aSeenBy)
{
  const auto found = mCases.find(aEndpointId);
  if (found == mCases.end()) {
    return;
  }
  const std::vector<open_case> cases = std::move(found->second);
  mCases.erase(found);
  mEnded[aEndpointId] = mLoop.Now();
  mBoard.mMetrics.Count("gateway_endpoint_crashes_total");
  Log(log_level::Warning,
      "endpoint_crashed",
      { { "endpoint", aEndpointId },
        { "seen_by", aSeenBy },
        { "requests", cases.size() },
        { "after_ms", Milliseconds(mLoop.Now() - cases.front().mSince) } });
  for (const open_case& one : cases) {
    Report({ one.mAttempt.mRequest,
             EngineKey(aEndpointId),
             one.mAttempt.mAnswering });
  }
}

void
crash_watch::OnLeaving(const std::string& aEndpointId)
{
  mCases.erase(aEndpointId);
}

void
crash_watch::OnUnlisted(const std::string& aEndpointId)
{
  const auto cases = mCases.find(aEndpointId);
  if (cases != mCases.end()) {
    Check(aEndpointId, cases->second.front().mAddress);
  }
}

void
crash_watch::Report(const crash_report& aReport)
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
  mOutbox.TellCrash(aReport);
  if (effect == crash_effect::Held) {
    OnHeld(aReport.mRequest, "");
  }
}

void
crash_watch::HearCrash(const crash_report& aReport, const std::string& aHost)
{
  // What this entry had there ended with it, also if its caller had just left
  // and nothing broke here.
  const auto cases =
    std::find_if(mCases.begin(), mCases.end(), [&aReport](const auto& aEntry) {
      return EngineKey(aEntry.first) == aReport.mEndpoint;
    });
  if (cases != mCases.end()) {
    OnGone(std::string(cases->first), "told");
  }
  switch (RecordCrash(mBoard.mQuarantine, aReport, mLoop.Now())) {
    case crash_effect::Held:
      OnHeld(aReport.mRequest, aHost);
      return;
    case crash_effect::Refuted:
      RefuteSoon(aReport.mRequest);
      return;
    case crash_effect::Nothing:
    case crash_effect::Recorded:
      return;
  }
}

void
crash_watch::OnHeld(request_digest aRequest, const std::string& aToldBy)
{
  mBoard.mMetrics.Count("gateway_quarantined_total");
  Log(log_level::Warning,
      "request_quarantined",
      { { "digest", DigestText(aRequest) },
        { "told_by", aToldBy },
        { "held", mBoard.mQuarantine.mHeld.size() } });
  if (mReported.contains(aRequest)) {
    mRowsDue[aRequest] = mLoop.Now() + kBeforeRow;
  }
}

void
crash_watch::OnServed(request_digest aRequest)
{
  const bool held = mBoard.mQuarantine.mHeld.contains(aRequest);
  if (!RecordAnswered(mBoard.mQuarantine, aRequest, mLoop.Now())) {
    return;
  }
  LogCleared(log_level::Warning, aRequest, "", held);
  mOutbox.TellCleared(aRequest);
  if (held) {
    mRows.erase(aRequest);
    mTable.Remove(aRequest);
  }
}

void
crash_watch::HearCleared(request_digest aRequest, const std::string& aHost)
{
  const bool held = RecordCleared(mBoard.mQuarantine, aRequest, mLoop.Now());
  mRefutationsDue.erase(aRequest);
  mRowsDue.erase(aRequest);
  if (held) {
    LogCleared(log_level::Info, aRequest, aHost, true);
  }
  if (mRows.erase(aRequest) != 0) {
    mTable.Remove(aRequest);
  }
}

void
crash_watch::HearHeld(const std::vector<quarantined_request>& aHeld,
                      const std::string& aHost)
{
  const time_point now = mLoop.Now();
  for (const quarantined_request& one : aHeld) {
    if (AnsweredRecently(mBoard.mQuarantine, one.mRequest, now)) {
      RefuteSoon(one.mRequest);
    } else if (RecordQuarantined(mBoard.mQuarantine, one, now)) {
      OnHeld(one.mRequest, aHost);
    }
  }
}

void
crash_watch::HearState(std::uint64_t aState, const std::string& aHost)
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
  if (now - told >= kTellAgain) {
    told = now;
    mOutbox.TellHeld(QuarantinedRequests(mBoard.mQuarantine, now), aHost);
  }
}

void
crash_watch::RefuteSoon(request_digest aRequest)
{
  const duration within =
    FromSeconds(Seconds(kRefuteWithin) * Uniform(mBoard.mRandom));
  mRefutationsDue.emplace(aRequest, mLoop.Now() + within);
}

crash_score
crash_watch::Pending(request_digest aRequest) const
{
  crash_score sum = 0;
  for (const auto& [endpoint, cases] : mCases) {
    for (const open_case& one : cases) {
      if (one.mAttempt.mRequest == aRequest && one.mAttempt.mBrokeOff &&
          !one.mReached) {
        sum += ScoreOfCrash(one.mAttempt.mAnswering);
      }
    }
  }
  return sum;
}

quarantine_verdict
crash_watch::Verdict(request_digest aRequest) const
{
  return QuarantineVerdictFor(
    mBoard.mQuarantine, aRequest, Pending(aRequest), mLoop.Now());
}

void
crash_watch::ClaimTrial(request_digest aRequest,
                        std::function<void(bool)> aThen)
{
  const auto held = mBoard.mQuarantine.mHeld.find(aRequest);
  if (held == mBoard.mQuarantine.mHeld.end() || mLoop.Now() < mNextClaim ||
      !mClaiming.insert(aRequest).second) {
    aThen(false);
    return;
  }
  const unsigned trial = held->second.mTrials + 1;
  mTable.ClaimTrial(
    aRequest,
    trial,
    [this, aRequest, trial, then = std::move(aThen)](write_outcome aOutcome) {
      mClaiming.erase(aRequest);
      const bool granted = aOutcome == write_outcome::Done;
      if (aOutcome == write_outcome::Refused) {
        mNextClaim = mLoop.Now() + kClaimPause;
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
        mOutbox.TellHeldToAll({ { aRequest, trial, duration::zero() } });
      }
      then(granted);
    });
}

void
crash_watch::Tick()
{
  const time_point now = mLoop.Now();
  for (const request_digest request : TakeDue(mRefutationsDue, now)) {
    if (AnsweredRecently(mBoard.mQuarantine, request, now)) {
      mOutbox.TellCleared(request);
    }
  }
  for (const request_digest request : TakeDue(mRowsDue, now)) {
    if (mBoard.mQuarantine.mHeld.contains(request)) {
      mRows.insert(request);
      mTable.Add(request);
    }
  }
  mTable.Tick();
  if (!mWaiting.empty() && now - mBoard.mStarted >= kLearnsWithin) {
    LetWaitingGo();
  }
  if (now - mForgotten >= kForgetEvery) {
    mForgotten = now;
    ForgetOld();
  }
}

void
crash_watch::ForgetOld()
{
  const time_point now = mLoop.Now();
  for (auto& [endpoint, cases] : mCases) {
    std::erase_if(cases, [now](const open_case& aCase) {
      return aCase.mSince + kCaseOpenFor <= now;
    });
  }
  std::erase_if(mCases,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  EraseOlder(mEnded, kCaseOpenFor, now);
  EraseOlder(mReported, kReportedFor, now);
  std::erase_if(mTold, [this](const auto& aEntry) {
    return !mBoard.mPeers.contains(aEntry.first);
  });
  for (const request_digest freed :
       ExpireCrashRecords(mBoard.mQuarantine, now)) {
    LogCleared(log_level::Info, freed, "time", true);
    mRows.erase(freed);
    if (IsOwnDuty(mBoard, mSettings.mPeers.mHost, freed)) {
      mTable.Remove(freed);
    }
  }
}

} // namespace primrose
