#pragma once

/// Simulates gateways that place prompts on engines which work in passes, in
/// virtual time: for tests of the paces of engines.

#include "LibFleet/LibFleet.h"
#include "RingFixture.h"
#include "SampleEngine.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>

namespace primrose::test {

struct replay_options
{
  std::size_t mGateways = 15;
  std::size_t mEngines = 60;
  bool mSpeeds = true;
  double mSlowShare = 0.3; ///< Of the engines.
  double mSlowPace = 3;
  double mSlowFromSeconds = 3;
  double mSlowToSeconds = 1000;
  double mSeconds = 20;
  double mLoad = 0.6; ///< Factor of the arrival rates.
  double mLoss = 0.1; ///< Share of datagrams between gateways that are lost.
  std::uint64_t mSeed = 1;
  /// The first gateway reports every 100 ms that each engine has this pace.
  std::optional<double> mLie;
  /// The last gateway neither sends nor receives datagrams from this time on.
  double mCutOffFromSeconds = 1000;
  /// The last gateway ends at this time.
  double mKilledAtSeconds = 1000;
};

struct replay_result
{
  std::size_t mShortPrompts = 0;
  std::size_t mLateShortPrompts = 0;
  std::size_t mLongPrompts = 0;
  std::size_t mLateLongPrompts = 0;
  std::size_t mRefused = 0;
  /// Placements on slow engines after they became slow, as a share of all.
  double mSlowShareOfWork = 0;
  /// Every 100 ms: of the pairs of a gateway and an engine that it prefers and
  /// that has been slow and decoding for two seconds, the share for which the
  /// gateway takes it for slow. Of the pairs with engines that are not slow,
  /// the share for which it uses a pace other than 1.
  std::vector<double> mKnownShare;
  std::vector<double> mFalseShare;
  std::size_t mReports = 0;     ///< Sent, whatever the number of recipients.
  std::size_t mDatagrams = 0;   ///< With reports, received by all.
  std::uint64_t mDecisions = 0; ///< A hash of all placements.

  std::size_t Late() const { return mLateShortPrompts + mLateLongPrompts; }
};

class fleet_replay
{
public:
  explicit fleet_replay(const replay_options& aOptions);
  replay_result Run();

private:
  struct request
  {
    std::size_t mGateway = 0;
    placement_request mWork;
    bool mShort = false;
    time_point mArrived{};
    placement mPlaced;
    std::vector<std::size_t> mEngines;
    std::size_t mPartsLeft = 0;
    double mTokensLeft = 0;
    time_point mSentAt{};
    std::optional<time_point> mFirstAt;
    time_point mLastAt{};
    duration mLongestPause{};
    stream_events mEvents;
  };
  struct engine
  {
    std::vector<std::size_t> mWaiting; ///< Requests with a part to prefill.
    std::vector<std::size_t> mDecoding;
    bool mBusy = false;
    /// Since when it has decoded without a break while slow.
    std::optional<time_point> mSlowSince;
  };
  struct gateway
  {
    endpoint_registry mRegistry;
    engine_ledger mLedger;
    std::uint32_t mLastPlacement = 0;
    peer_send_budget mBudget;
  };
  using action = std::function<void()>;

  void At(double aSeconds, action aAction)
  {
    mQueue.emplace(kStart + FromSeconds(aSeconds), std::move(aAction));
  }
  void After(duration aDelay, action aAction)
  {
    mQueue.emplace(mNow + aDelay, std::move(aAction));
  }
  bool IsSlow(std::size_t aEngine) const;
  double PaceOf(std::size_t aEngine) const;
  bool IsCutOff(std::size_t aGateway) const;
  void ScheduleArrivals(bool aShort);
  void Arrive(bool aShort, double aTokens);
  void Submit(std::size_t aRequest);
  void Place(std::size_t aRequest, const engine_choice& aChoice);
  void BeginPass(std::size_t aEngine);
  void EndPass(std::size_t aEngine,
               const std::vector<std::size_t>& aTaken,
               const std::vector<std::size_t>& aStreams);
  void Emit(std::size_t aRequest, std::size_t aEngine);
  void Finish(std::size_t aRequest, std::size_t aEngine);
  void Measure(request& aRequest, std::size_t aEngine);
  void Send(std::size_t aGateway,
            const std::vector<engine_key>& aEngines,
            std::size_t aBytes,
            const std::function<void(gateway&)>& aApply);
  void Tick();
  void Lie();
  void Observe();
  double Random() { return std::uniform_real_distribution<double>()(mRandom); }

  static constexpr time_point kStart{ std::chrono::hours(1) };
  replay_options mOptions;
  engine_timing mTiming = SampleEngine();
  std::mt19937_64 mRandom;
  time_point mNow = kStart;
  std::multimap<time_point, action> mQueue;
  std::vector<request> mRequests;
  std::vector<engine> mEngines;
  std::vector<gateway> mGateways;
  std::vector<std::string> mHosts;
  std::map<std::string, std::size_t> mIndexOfHost;
  std::map<std::string, std::size_t> mIndexOfEngine;
  std::vector<engine_key> mKeys;
  subset_ring mRing;
  std::size_t mPlacedParts = 0;
  std::size_t mPlacedPartsSlow = 0;
  replay_result mResult;
};

} // namespace primrose::test
