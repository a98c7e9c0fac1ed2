#pragma once

/// Replays a load of short prompts on a fleet in virtual time: several
/// gateways, each with its own ledger, that learn of each other's placements
/// after a delay, and engines with slots and a queue that they bound.

#include "LibFleet/LibFleet.h"
#include "SampleEngine.h"

#include <deque>
#include <functional>
#include <map>
#include <random>

namespace primrose::test {

struct load_phase
{
  double mUntilSeconds = 0;
  double mPerSecond = 0;
};

struct replay_settings
{
  std::size_t mGateways = 15;
  std::size_t mEngines = 69;
  std::vector<load_phase> mPhases;
  double mLostShare = 0; ///< Of the datagrams between gateways.
  /// This gateway starts with an empty ledger and is sent nothing about
  /// placements that began before.
  std::optional<double> mRestartAtSeconds;
  bool mAdmission = true;
  std::uint64_t mSeed = 1;
};

struct replay_result
{
  std::size_t mFirstArrivals = 0; ///< Of callers, without their returns.
  std::size_t mInTime = 0;        ///< First event within the latency target.
  std::size_t mLate = 0;
  std::size_t mRefusals = 0;
  std::size_t mGivenUp = 0; ///< Callers whose time ended with a refusal.
  std::size_t mSent = 0;    ///< Arrivals at engines.
  std::size_t mRejected = 0;
  /// Refusals and returns of callers, by second.
  std::map<int, std::size_t> mRefusalsIn;
  std::map<int, std::size_t> mReturnsIn;
  std::map<int, std::size_t> mEndedIn; ///< Slots released.
};

class overload_replay
{
public:
  static constexpr unsigned kSlots = 12;
  static constexpr std::size_t kQueue = 24;

  explicit overload_replay(const replay_settings& aSettings)
    : mSettings(aSettings)
    , mEngines(aSettings.mEngines)
    , mRandom(aSettings.mSeed)
  {
    mTiming.mSlots = kSlots;
    mTiming.mMeanAnswerTokens = kStreamMs / kPassMs * mTiming.mStepsPerPass;
    endpoint_registry registry;
    for (std::size_t i = 0; i < mSettings.mEngines; ++i) {
      endpoint listed;
      listed.mId = "engine-" + std::to_string(i);
      listed.mService = "model";
      (void)ApplyRow(registry, { listed.mId, 1, listed });
      mEngineIndex[listed.mId] = i;
    }
    BuildGateways(registry);
  }

  replay_result Run()
  {
    ScheduleArrival(0);
    if (mSettings.mRestartAtSeconds.has_value()) {
      At(*mSettings.mRestartAtSeconds, [this]() { mGateways[0].mLedger = {}; });
    }
    while (!mEvents.empty()) {
      const std::function<void()> event = mEvents.begin()->second;
      mNow = mEvents.begin()->first;
      mEvents.erase(mEvents.begin());
      event();
    }
    return mResult;
  }

private:
  /// Mean duration of a stream, and of a pass with typical load.
  static constexpr double kStreamMs = 1650;
  static constexpr double kPassMs = 50;
  /// From the start in a slot to the first event: prefill and two passes.
  static constexpr double kFirstEventMs = 125;
  static constexpr double kTargetMs = 300;
  static constexpr double kCallerSeconds = 10;
  /// A batch of placements and the way; ends wait longer for a placement to go
  /// with.
  static constexpr double kPlacementNewsMs = 4;
  static constexpr double kMaxEndNewsMs = 31;
  static constexpr double kMs = 1e-3;

  struct caller
  {
    double mGivesUpAt = 0;
    double mArrivedAt = 0; ///< This time.
    std::uint64_t mNumber = 0;
    std::size_t mGateway = 0;
    std::vector<std::string> mTried;
  };
  struct simulated_gateway
  {
    endpoint_registry mRegistry;
    engine_ledger mLedger;
    awaited_returns mReturns;
  };
  struct started_prompt
  {
    caller mCaller;
    placement mPlaced;
    std::size_t mEngine = 0;
  };
  struct simulated_engine
  {
    std::size_t mRunning = 0;
    std::deque<started_prompt> mQueue;
    std::vector<std::size_t> mPreferredBy;
  };

  void BuildGateways(const endpoint_registry& aRegistry)
  {
    std::vector<std::string> hosts;
    for (std::size_t i = 0; i < mSettings.mGateways; ++i) {
      hosts.push_back("10.1." + std::to_string(i / 200) + "." +
                      std::to_string(i % 200));
    }
    subset_ring ring;
    AssignEnginePositions(ring, aRegistry);
    AssignGatewayPositions(ring, hosts);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      mGateways.push_back({ aRegistry, {}, {} });
      MarkPreferred(mGateways.back().mRegistry, ring, hosts[i]);
      for (const auto& [id, index] : mEngineIndex) {
        if (Prefers(ring, hosts[i], EngineKey(id))) {
          mEngines[index].mPreferredBy.push_back(i);
        }
      }
    }
  }

  void At(double aSeconds, std::function<void()> aEvent)
  {
    mEvents.emplace(aSeconds, std::move(aEvent));
  }

  double Uniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution<double>(aFrom, aTo)(mRandom);
  }

  std::size_t AnyGateway()
  {
    return std::uniform_int_distribution<std::size_t>(0, mGateways.size() - 1)(
      mRandom);
  }

  static time_point Time(double aSeconds)
  {
    return time_point{ std::chrono::hours(1) } + FromSeconds(aSeconds);
  }

  void ScheduleArrival(double aAfter)
  {
    for (const load_phase& phase : mSettings.mPhases) {
      if (aAfter < phase.mUntilSeconds) {
        const double at = aAfter + std::exponential_distribution<double>(
                                     phase.mPerSecond)(mRandom);
        At(at, [this, at]() {
          if (at < mSettings.mPhases.back().mUntilSeconds) {
            ++mResult.mFirstArrivals;
            Arrive({ at + kCallerSeconds, at, ++mNumbers, 0, {} });
            ScheduleArrival(at);
          }
        });
        return;
      }
    }
  }

  void Arrive(caller aCaller)
  {
    aCaller.mArrivedAt = mNow;
    aCaller.mGateway = AnyGateway();
    aCaller.mTried.clear();
    Place(aCaller);
  }

  placement_request Describe(const caller& aCaller)
  {
    simulated_gateway& gateway = mGateways[aCaller.mGateway];
    placement_request request{ { "model", {} },
                               5000,
                               mTiming.mMeanAnswerTokens,
                               std::chrono::milliseconds(250),
                               FromSeconds(kTargetMs * kMs),
                               WorthOfPrompt(5000) };
    request.mTieBreakSeed = Hash("gateway", aCaller.mGateway);
    request.mElapsed = FromSeconds(mNow - aCaller.mArrivedAt);
    request.mRequestNumber = aCaller.mNumber;
    request.mGateways = std::min(mGateways.size(), kFullBroadcastPeers);
    request.mAwaitedReturns = CountReturns(gateway.mReturns, Time(mNow));
    request.mRejectedByFullEngine = !aCaller.mTried.empty();
    if (mSettings.mAdmission) {
      request.mSlotReserve = slot_reserve{};
    }
    return request;
  }

  void Place(const caller& aCaller)
  {
    simulated_gateway& gateway = mGateways[aCaller.mGateway];
    const placement_request request = Describe(aCaller);
    const engine_choice choice = *PlaceOnEngines(gateway.mRegistry,
                                                 gateway.mLedger,
                                                 mTiming,
                                                 request,
                                                 aCaller.mTried,
                                                 "",
                                                 Time(mNow));
    if (choice.mVerdict == placement_verdict::NoSlot) {
      Refuse(aCaller, choice.mSlotRefusal.mRetryAfter);
      return;
    }
    started_prompt prompt{ aCaller,
                           MakePlacement(choice, request, ++mLastKey),
                           mEngineIndex[choice.mDecodeEngine->mListed.mId] };
    prompt.mCaller.mTried.push_back(choice.mDecodeEngine->mListed.mId);
    prompt.mPlaced.mOwner = aCaller.mGateway;
    prompt.mPlaced.mBegan = Time(aCaller.mArrivedAt);
    prompt.mPlaced.mExpires = Time(aCaller.mGivesUpAt);
    AddPlacement(gateway.mLedger, prompt.mPlaced, Time(mNow));
    Tell(prompt, kPlacementNewsMs, [this, prompt](engine_ledger& aLedger) {
      AddPlacement(aLedger, prompt.mPlaced, Time(mNow));
    });
    At(mNow + kMs, [this, prompt]() { ArriveAtEngine(prompt); });
  }

  /// Sends an update to the other gateways that prefer the engine.
  void Tell(const started_prompt& aPrompt,
            double aDelayMs,
            const std::function<void(engine_ledger&)>& aUpdate)
  {
    At(mNow + aDelayMs * kMs, [this, aPrompt, aUpdate]() {
      for (const std::size_t one : mEngines[aPrompt.mEngine].mPreferredBy) {
        if (one != aPrompt.mCaller.mGateway &&
            (mSettings.mLostShare <= 0 ||
             Uniform(0, 1) >= mSettings.mLostShare)) {
          RemoveExpiredPlacementsNow(mGateways[one]);
          aUpdate(mGateways[one].mLedger);
        }
      }
    });
  }

  void RemoveExpiredPlacementsNow(simulated_gateway& aGateway)
  {
    // As often as a gateway does it.
    if (mSettings.mLostShare > 0 && Uniform(0, 1) < 0.01) {
      RemoveExpiredPlacements(aGateway.mLedger, Time(mNow));
    }
  }

  void ArriveAtEngine(const started_prompt& aPrompt)
  {
    ++mResult.mSent;
    simulated_engine& engine = mEngines[aPrompt.mEngine];
    if (engine.mRunning < kSlots) {
      Begin(aPrompt);
    } else if (engine.mQueue.size() < kQueue) {
      engine.mQueue.push_back(aPrompt);
    } else {
      ++mResult.mRejected;
      SetReportedRequests(mGateways[aPrompt.mCaller.mGateway].mLedger,
                          EngineKeyOf(aPrompt),
                          kSlots + kQueue,
                          Time(mNow));
      EndPlacement(aPrompt, placement_end::Unread);
      RetryOrGiveUp(aPrompt.mCaller);
    }
  }

  void RetryOrGiveUp(const caller& aCaller)
  {
    if (aCaller.mTried.size() < 2) {
      Place(aCaller);
      return;
    }
    simulated_gateway& gateway = mGateways[aCaller.mGateway];
    Refuse(aCaller,
           RefusalByFullEngine(gateway.mRegistry,
                               gateway.mLedger,
                               mTiming,
                               Describe(aCaller),
                               "",
                               Time(mNow))
             .mRetryAfter);
  }

  void Refuse(const caller& aCaller, duration aRetryAfter)
  {
    ++mResult.mRefusals;
    ++mResult.mRefusalsIn[static_cast<int>(mNow)];
    const double left = aCaller.mGivesUpAt - mNow;
    const duration after =
      BoundedRetryAfter(aRetryAfter,
                        std::max(kMinRetryAfter, FromSeconds(left / 3)),
                        aCaller.mNumber);
    AddReturn(mGateways[aCaller.mGateway].mReturns, Time(mNow) + after);
    if (Seconds(after) >= left) {
      ++mResult.mGivenUp;
      return;
    }
    At(mNow + Seconds(after), [this, aCaller]() {
      ++mResult.mReturnsIn[static_cast<int>(mNow)];
      Arrive(aCaller);
    });
  }

  void Begin(const started_prompt& aPrompt)
  {
    ++mEngines[aPrompt.mEngine].mRunning;
    const double first = mNow + kFirstEventMs * kMs;
    At(first, [this, aPrompt]() { SendFirstEvent(aPrompt); });
    At(mNow + Uniform(0.85, 1.15) * kStreamMs * kMs,
       [this, aPrompt]() { End(aPrompt); });
  }

  void SendFirstEvent(const started_prompt& aPrompt)
  {
    const double took = mNow - aPrompt.mCaller.mArrivedAt;
    ++(took <= kTargetMs * kMs ? mResult.mInTime : mResult.mLate);
    const simulated_engine& engine = mEngines[aPrompt.mEngine];
    SetReportedRequests(mGateways[aPrompt.mCaller.mGateway].mLedger,
                        EngineKeyOf(aPrompt),
                        engine.mRunning + engine.mQueue.size(),
                        Time(mNow));
  }

  void End(const started_prompt& aPrompt)
  {
    ++mResult.mEndedIn[static_cast<int>(mNow)];
    EndPlacement(aPrompt, placement_end::Read);
    simulated_engine& engine = mEngines[aPrompt.mEngine];
    --engine.mRunning;
    if (!engine.mQueue.empty()) {
      const started_prompt next = engine.mQueue.front();
      engine.mQueue.pop_front();
      Begin(next);
    }
  }

  void EndPlacement(const started_prompt& aPrompt, placement_end aEnd)
  {
    const placement_key key = aPrompt.mPlaced.mKey;
    RemovePlacement(
      mGateways[aPrompt.mCaller.mGateway].mLedger, key, aEnd, Time(mNow));
    Tell(aPrompt,
         Uniform(kPlacementNewsMs, kMaxEndNewsMs),
         [this, key, aEnd](engine_ledger& aLedger) {
           RemovePlacement(aLedger, key, aEnd, Time(mNow));
         });
  }

  static engine_key EngineKeyOf(const started_prompt& aPrompt)
  {
    return aPrompt.mPlaced.mEngines.front();
  }

  replay_settings mSettings;
  engine_timing mTiming = SampleEngine();
  std::vector<simulated_gateway> mGateways;
  std::vector<simulated_engine> mEngines;
  std::map<std::string, std::size_t> mEngineIndex;
  std::multimap<double, std::function<void()>> mEvents;
  std::mt19937_64 mRandom;
  double mNow = 0;
  placement_key mLastKey = 0;
  std::uint64_t mNumbers = 0;
  replay_result mResult;
};

} // namespace primrose::test
