#pragma once

/// What a placement chooses from: the engines that may take a request, with
/// what each has to read and to write. Internal to LibFleet.

#include "LibFleet/EnginePlacement.h"

namespace primrose {

/// A stream that an engine writes.
struct placed_stream
{
  double mLongestPauseMs = 0;
  double mWorth = 0;
  bool mStretched = false; ///< A pause is over its limit already.

  bool operator==(const placed_stream&) const = default;
};

/// A prompt that an engine still reads, alone or with others.
struct placed_reading
{
  placement_key mKey = 0;
  double mWorth = 0;
  double mObjectiveMs = 0;
  double mElapsedMs = 0; ///< Since its caller asked.
  double mLeftMs = 0;    ///< Until all of it is read.
  double mEngines = 1;   ///< That read it.

  bool operator==(const placed_reading&) const = default;
};

struct engine_candidate
{
  known_endpoint* mEndpoint = nullptr;
  double mBacklogMs = 0; ///< Reading that waits there.
  double mFreeTokens = 0;
  double mPassMs = 0; ///< Of a pass that also writes this request.
  std::vector<placed_stream> mStreams;
  std::vector<placed_reading> mReadings;
  std::size_t mRequests = 0; ///< That write or wait there.
  bool mAvoided = false;
  bool mAway = false; ///< In another data centre.
};

/// The engines that may take the request; those with bad signs are left out
/// while enough others are there.
std::vector<engine_candidate>
EngineCandidates(endpoint_board& aBoard,
                 const engine_ledger& aLedger,
                 const engine_timing& aTiming,
                 const engine_work& aWork,
                 const std::vector<std::string>& aTried,
                 std::string_view aDataCentre,
                 time_point aNow);

/// True if the engine has a slot and memory for the whole request.
bool
HasRoom(const engine_candidate& aCandidate,
        const engine_timing& aTiming,
        const engine_work& aWork);

double
ToMs(duration aTime);

} // namespace primrose
