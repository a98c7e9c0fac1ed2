#pragma once

/// What a placement chooses from: the engines that may take a request, with
/// what each has to read and to write. Internal to LibFleet.

#include "LibFleet/EnginePlacement.h"

namespace primrose {

/// A stream that an engine writes.
struct decoding_stream
{
  double mLongestPauseMs = 0;
  double mWorth = 0;
  bool mPauseExceeded = false; ///< A pause is over its limit already.

  bool operator==(const decoding_stream&) const = default;
};

/// A prompt that an engine still reads, alone or with others.
struct prefilling_prompt
{
  placement_key mKey = 0;
  double mWorth = 0;
  double mObjectiveMs = 0;
  double mElapsedMs = 0;     ///< Since its caller asked.
  double mPrefillLeftMs = 0; ///< Until all of it is read.
  double mEngines = 1;       ///< That read it.

  bool operator==(const prefilling_prompt&) const = default;
};

struct engine_candidate
{
  known_endpoint* mEndpoint = nullptr;
  double mBacklogMs = 0; ///< Reading that waits there.
  double mFreeTokens = 0;
  double mDecodePassMs = 0; ///< Of a pass that also writes this request.
  std::vector<decoding_stream> mStreams;
  std::vector<prefilling_prompt> mPrefills;
  std::size_t mRequests = 0; ///< That write or wait there.
  bool mAvoided = false;
  bool mInOtherDataCentre = false; ///< In another data centre.
};

/// The engines that may take the request; those with bad signs are left out
/// while enough others are there.
std::vector<engine_candidate>
EngineCandidates(endpoint_registry& aBoard,
                 const engine_ledger& aLedger,
                 const engine_timing& aTiming,
                 const placement_request& aWork,
                 const std::vector<std::string>& aTried,
                 std::string_view aDataCentre,
                 time_point aNow);

/// True if the engine has a slot and memory for the whole request.
bool
HasRoom(const engine_candidate& aCandidate,
        const engine_timing& aTiming,
        const placement_request& aWork);

double
ToMs(duration aTime);

} // namespace primrose
