#include "FleetReplay.h"

#include <iterator>

namespace primrose::test {

namespace {

using std::chrono::milliseconds;

constexpr double kMsPerSecond = 1e3;
constexpr std::size_t kPlacementBytes = 70;
constexpr std::size_t kReportBytes = 60;

placement_request
WorkOf(bool aShort, double aTokens)
{
  return aShort ? placement_request{ { "model", {} },
                                     aTokens,
                                     1600,
                                     milliseconds(250),
                                     milliseconds(300),
                                     WorthOfPrompt(aTokens) }
                : placement_request{ { "model", {} },
                                     aTokens,
                                     800,
                                     milliseconds(1000),
                                     milliseconds(3000),
                                     WorthOfPrompt(aTokens) };
}

/// Requests per second: mainly short prompts, then mainly long prompts, by
/// turns.
double
ArrivalRate(bool aShort, double aSeconds)
{
  constexpr double kTurnSeconds = 2;
  const bool shortTurn =
    static_cast<unsigned>(aSeconds / kTurnSeconds) % 2 == 0;
  if (aShort) {
    return shortTurn ? 260 : 90;
  }
  return shortTurn ? 3 : 14;
}

} // namespace

fleet_replay::fleet_replay(const replay_options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mEngines(aOptions.mEngines)
  , mGateways(aOptions.mGateways)
  , mHosts(Hosts(aOptions.mGateways))
{
  const endpoint_registry registry = Engines(mEngines.size());
  mRing = Ring(mHosts, registry);
  for (std::size_t i = 0; i < mEngines.size(); ++i) {
    const std::string id = "engine-" + std::to_string(i);
    mIndexOfEngine[id] = i;
    mKeys.push_back(EngineKey(id));
  }
  for (std::size_t i = 0; i < mGateways.size(); ++i) {
    mIndexOfHost[mHosts[i]] = i;
    mGateways[i].mRegistry = registry;
    MarkPreferred(mGateways[i].mRegistry, mRing, mHosts[i]);
  }
}

replay_result
fleet_replay::Run()
{
  ScheduleArrivals(true);
  ScheduleArrivals(false);
  constexpr double kTickSeconds = 0.1;
  for (double at = 0; at < mOptions.mSeconds; at += kTickSeconds) {
    At(at, [this]() { Tick(); });
  }
  while (!mQueue.empty()) {
    const action next = std::move(mQueue.begin()->second);
    mNow = mQueue.begin()->first;
    mQueue.erase(mQueue.begin());
    next();
  }
  mResult.mSlowShareOfWork = static_cast<double>(mPlacedPartsSlow) /
                             std::max(1.0, static_cast<double>(mPlacedParts));
  return mResult;
}

bool
fleet_replay::IsSlow(std::size_t aEngine) const
{
  // Every third to fourth engine, so that each gateway prefers some.
  const double share = mOptions.mSlowShare;
  const bool chosen =
    static_cast<std::size_t>(static_cast<double>(aEngine + 1) * share) >
    static_cast<std::size_t>(static_cast<double>(aEngine) * share);
  const double seconds = Seconds(mNow - kStart);
  return chosen && seconds >= mOptions.mSlowFromSeconds &&
         seconds < mOptions.mSlowToSeconds;
}

double
fleet_replay::PaceOf(std::size_t aEngine) const
{
  return IsSlow(aEngine) ? mOptions.mSlowPace : 1;
}

bool
fleet_replay::IsCutOff(std::size_t aGateway) const
{
  const double seconds = Seconds(mNow - kStart);
  return aGateway + 1 == mGateways.size() &&
         (seconds >= mOptions.mCutOffFromSeconds ||
          seconds >= mOptions.mKilledAtSeconds);
}

void
fleet_replay::ScheduleArrivals(bool aShort)
{
  std::exponential_distribution<double> gap(1);
  std::lognormal_distribution<double> size(0, 0.4);
  const auto next = [&](double aAt) {
    return aAt + gap(mRandom) / (mOptions.mLoad * ArrivalRate(aShort, aAt));
  };
  for (double at = next(0); at < mOptions.mSeconds; at = next(at)) {
    const double tokens = (aShort ? 5000 : 90000) * size(mRandom);
    At(at, [this, aShort, tokens]() { Arrive(aShort, tokens); });
  }
}

void
fleet_replay::Arrive(bool aShort, double aTokens)
{
  const bool killed = Seconds(mNow - kStart) >= mOptions.mKilledAtSeconds;
  const double gateways =
    static_cast<double>(mGateways.size() - (killed ? 1 : 0));
  request arrived;
  arrived.mGateway = static_cast<std::size_t>(Random() * gateways);
  arrived.mWork = WorkOf(aShort, aTokens);
  arrived.mWork.mTieBreakSeed = arrived.mGateway + 1;
  arrived.mShort = aShort;
  arrived.mArrived = mNow;
  arrived.mTokensLeft = arrived.mWork.mAnswerTokens;
  mRequests.push_back(std::move(arrived));
  ++(aShort ? mResult.mShortPrompts : mResult.mLongPrompts);
  Submit(mRequests.size() - 1);
}

void
fleet_replay::Submit(std::size_t aRequest)
{
  request& submitted = mRequests[aRequest];
  gateway& own = mGateways[submitted.mGateway];
  submitted.mWork.mElapsed = mNow - submitted.mArrived;
  const engine_choice choice = *PlaceOnEngines(
    own.mRegistry, own.mLedger, mTiming, submitted.mWork, {}, "a", mNow);
  if (choice.mVerdict == placement_verdict::Send) {
    Place(aRequest, choice);
  } else if (choice.mVerdict == placement_verdict::Wait) {
    After(kReevaluationInterval, [this, aRequest]() { Submit(aRequest); });
  } else {
    ++mResult.mRefused;
  }
}

void
fleet_replay::Place(std::size_t aRequest, const engine_choice& aChoice)
{
  request& placed = mRequests[aRequest];
  gateway& own = mGateways[placed.mGateway];
  placement& entry = placed.mPlaced;
  entry =
    MakePlacement(aChoice,
                  placed.mWork,
                  PlacementKey(placed.mGateway + 1, ++own.mLastPlacement));
  entry.mOwner = placed.mGateway + 1;
  entry.mBegan = placed.mArrived;
  entry.mExpires = mNow + std::chrono::seconds(10);
  placed.mEngines = { mIndexOfEngine.at(aChoice.mDecodeEngine->mListed.mId) };
  for (const known_endpoint* const helper : aChoice.mPrefillHelpers) {
    placed.mEngines.push_back(mIndexOfEngine.at(helper->mListed.mId));
  }
  placed.mPartsLeft = placed.mEngines.size();
  const bool counts = Seconds(mNow - kStart) >= mOptions.mSlowFromSeconds + 2;
  for (const std::size_t one : placed.mEngines) {
    mResult.mDecisions = (mResult.mDecisions + one + 1) * 0x9e3779b97f4a7c15ULL;
    mPlacedParts += counts ? 1 : 0;
    mPlacedPartsSlow += counts && IsSlow(one) ? 1 : 0;
  }
  placed.mSentAt = mNow;
  AddPlacement(own.mLedger, entry, mNow);
  Send(placed.mGateway,
       entry.mEngines,
       kPlacementBytes,
       [this, entry](gateway& aPeer) {
         AddPlacement(aPeer.mLedger, entry, mNow);
       });
  After(milliseconds(1), [this, aRequest]() {
    for (const std::size_t one : mRequests[aRequest].mEngines) {
      mEngines[one].mWaiting.push_back(aRequest);
      if (!mEngines[one].mBusy) {
        BeginPass(one);
      }
    }
  });
}

void
fleet_replay::BeginPass(std::size_t aEngine)
{
  engine& own = mEngines[aEngine];
  std::vector<std::size_t> taken;
  std::vector<std::size_t> streams = own.mDecoding;
  std::vector<std::size_t> left;
  double prefill = 0;
  for (const std::size_t one : own.mWaiting) {
    const bool decodes = mRequests[one].mEngines.front() == aEngine;
    if (decodes && own.mDecoding.size() >= mTiming.mSlots) {
      left.push_back(one);
      continue;
    }
    taken.push_back(one);
    prefill += mRequests[one].mPlaced.mPartPrefillMs;
    if (decodes && mRequests[one].mPartsLeft == 1) {
      streams.push_back(one);
      own.mDecoding.push_back(one);
    }
  }
  own.mWaiting = std::move(left);
  own.mBusy = !taken.empty() || !streams.empty();
  if (!own.mBusy) {
    return;
  }
  double tokens = 0;
  for (const std::size_t one : streams) {
    tokens += mRequests[one].mWork.mPromptTokens;
  }
  const double decode =
    streams.empty()
      ? 0
      : DecodePassMs(mTiming, static_cast<double>(streams.size()), tokens);
  After(
    FromSeconds(PaceOf(aEngine) * (prefill + decode) / kMsPerSecond),
    [this, aEngine, taken, streams]() { EndPass(aEngine, taken, streams); });
}

void
fleet_replay::EndPass(std::size_t aEngine,
                      const std::vector<std::size_t>& aTaken,
                      const std::vector<std::size_t>& aStreams)
{
  for (const std::size_t one : aTaken) {
    const std::size_t decodes = mRequests[one].mEngines.front();
    std::vector<std::size_t>& decoding = mEngines[decodes].mDecoding;
    if (--mRequests[one].mPartsLeft == 0 &&
        std::find(decoding.begin(), decoding.end(), one) == decoding.end()) {
      decoding.push_back(one);
      if (!mEngines[decodes].mBusy) {
        BeginPass(decodes);
      }
    }
  }
  for (const std::size_t one : aStreams) {
    Emit(one, aEngine);
  }
  BeginPass(aEngine);
}

void
fleet_replay::Emit(std::size_t aRequest, std::size_t aEngine)
{
  request& stream = mRequests[aRequest];
  if (stream.mFirstAt.has_value()) {
    stream.mLongestPause =
      std::max(stream.mLongestPause, mNow - stream.mLastAt);
  } else {
    stream.mFirstAt = mNow;
  }
  stream.mLastAt = mNow;
  if (mOptions.mSpeeds) {
    Measure(stream, aEngine);
  }
  stream.mTokensLeft -= mTiming.mStepsPerPass;
  if (stream.mTokensLeft <= 0) {
    Finish(aRequest, aEngine);
  }
}

void
fleet_replay::Finish(std::size_t aRequest, std::size_t aEngine)
{
  const request& stream = mRequests[aRequest];
  std::erase(mEngines[aEngine].mDecoding, aRequest);
  if (*stream.mFirstAt - stream.mArrived > stream.mWork.mObjective ||
      stream.mLongestPause > stream.mWork.mLongestPause) {
    ++(stream.mShort ? mResult.mLateShortPrompts : mResult.mLateLongPrompts);
  }
  const placement_key key = stream.mPlaced.mKey;
  RemovePlacement(
    mGateways[stream.mGateway].mLedger, key, placement_end::Read, mNow);
  Send(stream.mGateway,
       stream.mPlaced.mEngines,
       kPlacementBytes,
       [this, key](gateway& aPeer) {
         RemovePlacement(aPeer.mLedger, key, placement_end::Read, mNow);
       });
}

void
fleet_replay::Measure(request& aRequest, std::size_t aEngine)
{
  const engine_key key = mKeys[aEngine];
  engine_load& load = mGateways[aRequest.mGateway].mLedger.mEngines[key];
  const std::optional<pass_interval> interval =
    RecordEvents(aRequest.mEvents, 1, mNow);
  const bool isHint =
    aRequest.mFirstAt == mNow && aRequest.mEngines.size() == 1;
  if (isHint ? !RecordFirstEvent(load, mTiming, mNow - aRequest.mSentAt, mNow)
             : !interval.has_value() ||
                 !RecordPass(load, mTiming, *interval, mNow)) {
    return;
  }
  (void)UpdatePace(load, mNow);
  const std::optional<pace_report> due =
    TakeDueReport(load.mSpeed, aRequest.mGateway + 1, mNow);
  if (due.has_value()) {
    ++mResult.mReports;
    Send(aRequest.mGateway,
         { key },
         kReportBytes,
         [this, key, report = *due](gateway& aPeer) {
           ++mResult.mDatagrams;
           engine_load& peerLoad = aPeer.mLedger.mEngines[key];
           AddPaceReport(peerLoad.mSpeed, report, mNow);
           (void)UpdatePace(peerLoad, mNow);
         });
  }
}

void
fleet_replay::Send(std::size_t aGateway,
                   const std::vector<engine_key>& aEngines,
                   std::size_t aBytes,
                   const std::function<void(gateway&)>& aApply)
{
  if (IsCutOff(aGateway)) {
    return;
  }
  std::vector<std::string> hosts = HostsThatPrefer(mRing, mHosts, aEngines);
  std::erase(hosts, mHosts[aGateway]);
  std::vector<std::string> chosen;
  std::sample(
    hosts.begin(),
    hosts.end(),
    std::back_inserter(chosen),
    TakeRecipientCount(mGateways[aGateway].mBudget, hosts.size(), aBytes, mNow),
    mRandom);
  std::erase_if(
    chosen, [this](const std::string&) { return Random() < mOptions.mLoss; });
  constexpr double kMinDelaySeconds = 0.003;
  constexpr double kDelaySpreadSeconds = 0.006;
  After(FromSeconds(kMinDelaySeconds + kDelaySpreadSeconds * Random()),
        [this, chosen, aApply]() {
          for (const std::string& host : chosen) {
            const std::size_t index = mIndexOfHost.at(host);
            if (!IsCutOff(index)) {
              aApply(mGateways[index]);
            }
          }
        });
}

void
fleet_replay::Tick()
{
  for (gateway& one : mGateways) {
    RemoveExpiredPlacements(one.mLedger, mNow);
    for (auto& [key, load] : one.mLedger.mEngines) {
      if (load.mPace != 1) {
        (void)UpdatePace(load, mNow);
      }
    }
  }
  if (mOptions.mLie.has_value() && mOptions.mSpeeds) {
    Lie();
  }
  Observe();
}

void
fleet_replay::Lie()
{
  for (const engine_key key : mKeys) {
    for (std::size_t i = 1; i < mGateways.size(); ++i) {
      engine_load& load = mGateways[i].mLedger.mEngines[key];
      AddPaceReport(load.mSpeed, { 1, *mOptions.mLie, mNow }, mNow);
      (void)UpdatePace(load, mNow);
    }
  }
}

void
fleet_replay::Observe()
{
  constexpr duration kNoticeTime = std::chrono::seconds(2);
  for (std::size_t one = 0; one < mEngines.size(); ++one) {
    std::optional<time_point>& since = mEngines[one].mSlowSince;
    if (!IsSlow(one) || mEngines[one].mDecoding.empty()) {
      since.reset();
    } else if (!since.has_value()) {
      since = mNow;
    }
  }
  std::array<double, 2> pairs{};
  std::array<double, 2> hits{};
  for (std::size_t i = 0; i < mGateways.size(); ++i) {
    for (std::size_t one = 0; one < mEngines.size(); ++one) {
      const bool slow = IsSlow(one);
      const std::optional<time_point>& since = mEngines[one].mSlowSince;
      if (!Prefers(mRing, mHosts[i], mKeys[one]) || IsCutOff(i) ||
          (slow && (!since.has_value() || mNow - *since < kNoticeTime))) {
        continue;
      }
      const double pace = LoadOf(mGateways[i].mLedger, mKeys[one]).mPace;
      pairs[slow ? 1 : 0] += 1;
      hits[slow ? 1 : 0] += (slow ? pace > 1 : pace != 1) ? 1 : 0;
    }
  }
  if (pairs[1] > 0) {
    mResult.mKnownShare.push_back(hits[1] / pairs[1]);
  }
  mResult.mFalseShare.push_back(hits[0] / std::max(1.0, pairs[0]));
}

} // namespace primrose::test
