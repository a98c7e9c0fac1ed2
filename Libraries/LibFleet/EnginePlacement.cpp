#include "LibFleet/EnginePlacement.h"

#include "LibFleet/PlacementAdmission.h"
#include "LibFleet/PlacementCosts.h"
#include "LibFleet/PlacementDivision.h"
#include "LibFleet/PlacementPace.h"
#include "LibFleet/SlotAdmission.h"

#include <algorithm>

namespace primrose {

namespace {

/// Cost of an engine in another data centre. It is so small that it only
/// decides between engines of equal cost.
constexpr double kOtherDataCentrePenalty = 0.002;
/// Worth of any request, and of each thousand tokens of its prompt.
constexpr double kBaseWorth = 0.6;
constexpr double kWorthPerThousand = 0.13;
constexpr double kThousand = 1e3;

/// Share of the engines' prefill capacity that arriving prompts leave over.
double
SpareShare(const std::vector<engine_candidate>& aCandidates,
           const engine_ledger& aLedger,
           time_point aNow)
{
  double inflow = 0;
  double rate = 0;
  for (const engine_candidate& one : aCandidates) {
    const engine_load& load =
      LoadOf(aLedger, EngineKey(one.mEndpoint->mListed.mId));
    inflow += PrefillInflow(load, aNow);
    rate += PrefillRate(load);
  }
  return rate > 0 ? std::clamp(1 - inflow / rate, 0.0, 1.0) : 1;
}

engine_choice
PlaceUndivided(const std::vector<engine_candidate>& aCandidates,
               const engine_timing& aTiming,
               const placement_request& aRequest,
               double aPrefillMs)
{
  const engine_candidate* best = nullptr;
  std::pair<double, std::uint64_t> bestCost;
  double bestFirst = 0;
  for (const engine_candidate& one : aCandidates) {
    if (!one.mMayDecode) {
      continue;
    }
    const double prefillMs = one.mPace * aPrefillMs;
    const double first = one.mBacklogMs + prefillMs +
                         kPassesToFirstEvent * one.mDecodePassMs +
                         DelayMs(aRequest.mOwnDelay, 1);
    const double cost =
      LatenessCost(first, aRequest) + PauseHarm(one, prefillMs, aRequest) +
      PackingCost(one, aTiming, aRequest) + SlowEngineCost(one, aRequest) +
      (HasRoom(one, aTiming, aRequest) ? 0 : aRequest.mWorth) +
      (one.mInOtherDataCentre ? kOtherDataCentrePenalty : 0);
    const std::pair<double, std::uint64_t> ranked(
      cost, Hash(one.mEndpoint->mListed.mId, aRequest.mTieBreakSeed));
    if (best == nullptr || ranked < bestCost) {
      best = &one;
      bestCost = ranked;
      bestFirst = first;
    }
  }
  engine_choice choice;
  choice.mDecodeEngine = best->mEndpoint;
  choice.mPartPrefillMs = aPrefillMs;
  choice.mFirstEventMs = bestFirst;
  choice.mHarm.mStreams = PauseHarm(*best, best->mPace * aPrefillMs, aRequest);
  return choice;
}

unsigned
AdmissionRank(const placement_request& aRequest)
{
  return aRequest.mFloorRank.value_or(aRequest.mClass.mRank);
}

/// The harm of a division for the admission of a request whose rank is below
/// its floor.
placement_harm
HarmAtFloor(const division_inputs& aInputs, const prompt_division& aDivision)
{
  placement_request request = aInputs.mRequest;
  request.mClass.mRank = AdmissionRank(request);
  const division_inputs urgent = {
    aInputs.mCandidates,
    aInputs.mTiming,
    request,
    aInputs.mPrefillMs,
    aInputs.mSlotUtilisation,
    UrgentRoom(aInputs.mCandidates, aInputs.mTiming, request),
    aInputs.mGainScale
  };
  return HarmOfDivision(urgent, aDivision);
}

engine_choice
PlaceDivided(const division_inputs& aInputs)
{
  const prompt_division chosen = CheapestDivision(aInputs);
  engine_choice choice;
  choice.mVerdict =
    chosen.mFitsMemory ? placement_verdict::Send : placement_verdict::NoMemory;
  choice.mDecodeEngine = chosen.mDecodeEngine->mEndpoint;
  for (const engine_candidate* const one : chosen.mPrefillHelpers) {
    choice.mPrefillHelpers.push_back(one->mEndpoint);
  }
  choice.mHolders = chosen.mHolders;
  choice.mHolderTokens = chosen.mHolderTokens;
  choice.mPartPrefillMs = chosen.mPartPrefillMs;
  choice.mFirstEventMs =
    chosen.mPrefillEndsMs +
    kPassesToFirstEvent * chosen.mDecodeEngine->mDecodePassMs +
    DelayMs(aInputs.mRequest.mOwnDelay, chosen.mPrefillHelpers.size() + 1);
  choice.mHarm = aInputs.mRequest.mFloorRank.has_value()
                   ? HarmAtFloor(aInputs, chosen)
                   : chosen.mHarm;
  choice.mPrefillSecondPrice =
    PrefillSecondPrice(aInputs.mCandidates, aInputs.mRequest.mClass.mRank);
  DecideAdmission(
    choice, aInputs.mRequest, aInputs.mPrefillMs, aInputs.mGainScale);
  return choice;
}

} // namespace

size_kind
SizeKind(const placement_request& aRequest)
{
  return { aRequest.mScope.mService,
           aRequest.mObjective,
           aRequest.mLongestPause };
}

double
TotalHarm(const placement_harm& aHarm)
{
  return aHarm.mStreams + (aHarm.mPrefills + aHarm.mFutureRequests) +
         aHarm.mUrgentRoom;
}

double
WorthOfPrompt(double aPromptTokens)
{
  return kBaseWorth + kWorthPerThousand * aPromptTokens / kThousand;
}

std::optional<engine_choice>
PlaceOnEngines(endpoint_registry& aRegistry,
               const engine_ledger& aLedger,
               const engine_timing& aTiming,
               const placement_request& aRequest,
               const std::vector<std::string>& aTried,
               std::string_view aDataCentre,
               time_point aNow)
{
  std::vector<engine_candidate> candidates = EngineCandidates(
    aRegistry, aLedger, aTiming, aRequest, aTried, aDataCentre, aNow);
  if (std::none_of(
        candidates.begin(), candidates.end(), [](const engine_candidate& aOne) {
          return aOne.mMayDecode;
        })) {
    return std::nullopt;
  }
  const slot_refusal refusal =
    DecideSlotAdmission(candidates, aTiming, aRequest);
  if (refusal.mReason != admission_reason::None) {
    engine_choice choice;
    choice.mVerdict = placement_verdict::NoSlot;
    choice.mSlotRefusal = refusal;
    return choice;
  }
  const double prefillMs = PrefillMs(aTiming, aRequest.mPromptTokens);
  if (prefillMs <= kMaxUndividedMs) {
    return PlaceUndivided(candidates, aTiming, aRequest, prefillMs);
  }
  if (aRequest.mTieBreakSeed != 0) {
    // Engines of equal cost are chosen in the order of the candidates. They may
    // be in use by other gateways, and in one order for all, every gateway
    // would prefill its long prompts on the same engines.
    const std::uint64_t seed =
      aRequest.mTieBreakSeed +
      static_cast<std::uint64_t>(aRequest.mPromptTokens);
    std::sort(
      candidates.begin(),
      candidates.end(),
      [seed](const engine_candidate& aOne, const engine_candidate& aOther) {
        return Hash(aOne.mEndpoint->mListed.mId, seed) <
               Hash(aOther.mEndpoint->mListed.mId, seed);
      });
  }
  return PlaceDivided({ candidates,
                        aTiming,
                        aRequest,
                        prefillMs,
                        SlotUtilisation(candidates, aTiming),
                        UrgentRoom(candidates, aTiming, aRequest),
                        GainScale(aLedger, aRequest) });
}

placement
MakePlacement(const engine_choice& aChoice,
              const placement_request& aRequest,
              placement_key aKey)
{
  placement placed;
  placed.mKey = aKey;
  placed.mEngines.push_back(EngineKey(aChoice.mDecodeEngine->mListed.mId));
  for (const known_endpoint* const helper : aChoice.mPrefillHelpers) {
    placed.mEngines.push_back(EngineKey(helper->mListed.mId));
  }
  placed.mPartPrefillMs = aChoice.mPartPrefillMs;
  placed.mLongestPause = aRequest.mLongestPause;
  placed.mWorth = aRequest.mWorth;
  placed.mObjective = aRequest.mObjective;
  placed.mClass = aRequest.mClass;
  placed.mClass.mRank = AdmissionRank(aRequest);
  placed.mHolderTokens = aChoice.mHolderTokens;
  for (std::size_t i = 0; i < aChoice.mHolders; ++i) {
    placed.mHolders.push_back(placed.mEngines[i + 1]);
  }
  placed.mTokens =
    aRequest.mPromptTokens + aRequest.mAnswerTokens -
    static_cast<double>(aChoice.mHolders) * aChoice.mHolderTokens;
  return placed;
}

slot_refusal
RefusalByFullEngine(endpoint_registry& aRegistry,
                    const engine_ledger& aLedger,
                    const engine_timing& aTiming,
                    const placement_request& aRequest,
                    std::string_view aDataCentre,
                    time_point aNow)
{
  return RefuseForSlots(
    EngineCandidates(
      aRegistry, aLedger, aTiming, aRequest, {}, aDataCentre, aNow),
    aTiming,
    aRequest);
}

duration
TimeUntilAccepted(endpoint_registry& aRegistry,
                  const engine_ledger& aLedger,
                  const engine_timing& aTiming,
                  const placement_request& aRequest,
                  std::string_view aDataCentre,
                  time_point aNow,
                  duration aMaximum)
{
  const double spare =
    SpareShare(EngineCandidates(
                 aRegistry, aLedger, aTiming, aRequest, {}, aDataCentre, aNow),
               aLedger,
               aNow);
  // Each step takes as much CPU time as a placement. Finer steps would add
  // little accuracy, since other requests arrive meanwhile.
  for (duration after = kMinRetryAfter; after < aMaximum; after *= 2) {
    // Prompts are expected to arrive for another window of the average. Until
    // then the backlog falls only by what they leave over.
    const double taken = (1 - spare) * Seconds(std::min(after, kInflowWindow));
    const time_point cleared = aNow + after - FromSeconds(taken);
    const std::optional<engine_choice> choice = PlaceOnEngines(
      aRegistry, aLedger, aTiming, aRequest, {}, aDataCentre, cleared);
    if (choice.has_value() && (choice->mVerdict == placement_verdict::Send ||
                               choice->mVerdict == placement_verdict::Wait)) {
      return after;
    }
  }
  return std::max(kMinRetryAfter, aMaximum);
}

} // namespace primrose
