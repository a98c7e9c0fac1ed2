#pragma once

/// The engines that may be chosen for a request, with the prefill and decode
/// work of each. Internal to LibFleet.

#include "LibFleet/EnginePlacement.h"

namespace primrose {

/// A prompt that one engine prefills within this time is not divided. Each part
/// would wait for the pass in progress on its engine, so that the prefill would
/// not end sooner.
inline constexpr double kMaxUndividedMs = 100;

/// A stream that an engine decodes.
struct decoding_stream
{
  double mLongestPauseMs = 0; ///< Allowed between two events.
  double mWorth = 0;
  bool mPauseExceeded = false; ///< A pause has exceeded the limit already.
  unsigned mRank = 0;

  bool operator==(const decoding_stream&) const = default;
};

/// A prompt that an engine is prefilling, alone or with other engines.
struct prefilling_prompt
{
  placement_key mKey = 0;
  double mWorth = 0;
  double mObjectiveMs = 0;   ///< Latency target of the first event.
  double mElapsedMs = 0;     ///< Since the gateway received the request.
  double mPrefillLeftMs = 0; ///< Until all of its parts are prefilled.
  double mEngineCount = 1;   ///< Engines that prefill a part of it.
  double mPartPrefillMs = 0; ///< Of the part on this engine.
  unsigned mRank = 0;

  bool operator==(const prefilling_prompt&) const = default;
};

struct engine_candidate
{
  known_endpoint* mEndpoint = nullptr;
  /// Actual over declared times of the engine; see LibFleet/EngineSpeed. It is
  /// part of `mBacklogMs` and `mDecodePassMs`.
  double mPace = 1;
  double mBacklogMs = 0; ///< Queued prefill time.
  double mFreeTokens = 0;
  double mDecodePassMs = 0; ///< Of a pass that also decodes this request.
  std::vector<decoding_stream> mStreams;
  std::vector<prefilling_prompt> mPrefills;
  std::size_t mRequests = 0; ///< Running or queued there.
  bool mAvoided = false;
  bool mInOtherDataCentre = false;
  bool mMayDecode = true; ///< See `placement_request::mDecodeAmong`.
};

/// The engines that may be chosen for the request. Engines that are
/// avoided are left out if at least half of all are not avoided.
std::vector<engine_candidate>
EngineCandidates(endpoint_registry& aRegistry,
                 const engine_ledger& aLedger,
                 const engine_timing& aTiming,
                 const placement_request& aRequest,
                 const std::vector<std::string>& aTried,
                 std::string_view aDataCentre,
                 time_point aNow);

/// True if the engine has a free slot and memory for the whole request.
bool
HasRoom(const engine_candidate& aCandidate,
        const engine_timing& aTiming,
        const placement_request& aRequest);

double
ToMs(duration aTime);

} // namespace primrose
