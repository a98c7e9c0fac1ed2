#include "Placer.h"

#include "LibWire/LibWire.h"

#include <algorithm>
#include <functional>
#include <spdlog/fmt/fmt.h>

namespace primrose::entry {

namespace {

/// Agents probed for each engine of a group. More than one, since some of them
/// will be full.
constexpr std::size_t kProbesPerMember = 3;
constexpr double kRetryAfterSeconds = 1;

} // namespace

/// The state of one placement attempt.
struct placer::search
{
  completion_request mRequest;
  placement_rules mRules;
  engine_shape mEngine;
  std::vector<std::string> mNames; ///< Usable endpoints, in an order that all
                                   ///< entries share.
  std::vector<candidate> mCandidates;
  std::vector<scored_candidate> mRanked;
  std::size_t mGroup = 1;
  std::size_t mNext = 0; ///< Index into `mRanked` of the next to reserve.
  placement_result mPlacement;
  std::map<std::string, refusal> mRefusals;
  std::size_t mUnansweredCount = 0;
};

placer::placer(const clock_source& aClock,
               entry_state& aState,
               agent_pool& aPool,
               id_maker& aIds)
  : mClock(aClock)
  , mBoard(aState)
  , mPool(aPool)
  , mIds(aIds)
{
}

kj::Promise<placement_result>
placer::Place(const completion_request& aRequest,
              const std::set<std::string>& aFailed)
{
  std::shared_ptr<search> state = std::make_shared<search>();
  const request_shape& shape = aRequest.mShape;
  // Copies only the head and shape: the prompt is not needed here and may have
  // megabytes.
  state->mRequest.mHead = aRequest.mHead;
  state->mRequest.mShape = shape;
  state->mRules = PlacementRulesFor(aRequest.mHead.mPolicy);
  const model_settings* const model = mBoard.mTree.Model(shape.mModel);
  if (model != nullptr) {
    state->mEngine = EngineShapeFor(*model);
  }
  for (const endpoint_view* const view :
       Usable(mBoard.mDirectory, shape.mModel, mClock.Now())) {
    state->mNames.push_back(view->mListed.mName);
  }
  const auto failed = [&](const std::string& aName) {
    return aFailed.contains(aName);
  };
  const std::size_t others = static_cast<std::size_t>(std::count_if(
    state->mNames.begin(), state->mNames.end(), std::not_fn(failed)));
  const std::size_t wanted =
    GroupSize(shape, state->mRules, state->mEngine.mCapacity);
  if (others >= std::min(wanted, state->mNames.size()) && others > 0) {
    std::erase_if(state->mNames, failed);
  }
  state->mGroup =
    std::min(wanted, std::max<std::size_t>(1, state->mNames.size()));
  if (state->mGroup > 1) {
    state->mRules.mProbes = static_cast<unsigned>(std::max<std::size_t>(
      state->mRules.mProbes, kProbesPerMember * state->mGroup));
  }
  kj::Vector<kj::Promise<std::optional<candidate>>> probes;
  for (const std::size_t index :
       ChooseProbeTargets(state->mNames,
                          shape,
                          state->mRules,
                          mBoard.mLongPromptPools[shape.mModel],
                          state->mGroup,
                          mBoard.mRandom)) {
    probes.add(ProbeAgent(state, index));
  }
  return kj::joinPromises(probes.releaseAsArray())
    .then([this, state](kj::Array<std::optional<candidate>> aAnswers) {
      return HandleProbeAnswers(state, { aAnswers.begin(), aAnswers.end() });
    });
}

kj::Promise<std::optional<candidate>>
placer::ProbeAgent(std::shared_ptr<search> aSearch, std::size_t aIndex)
{
  const std::string name = aSearch->mNames[aIndex];
  const std::shared_ptr<agent_connection> connection = mPool.ConnectionTo(name);
  if (connection == nullptr) {
    return std::optional<candidate>();
  }
  const request_shape shape =
    MemberShape(aSearch->mRequest.mShape, aSearch->mGroup, hold_role::Lead);
  mBoard.mMetrics.Count("primrose_probes_sent_total");
  kj::Promise<std::optional<candidate>> answer =
    connection->Get().then([shape, aIndex](wire::Agent::Client aAgent) {
      auto request = aAgent.probeRequest();
      ToWire(shape, request.initQuery());
      return request.send().then(
        [aIndex](capnp::Response<wire::Agent::ProbeResults> aResponse) {
          return std::optional<candidate>(
            candidate{ aIndex, FromWire(aResponse.getAnswer()) });
        });
    });
  const duration limit =
    FromSeconds(aSearch->mRequest.mHead.mPolicy.mProbeTimeoutSeconds);
  return WithTimeout(kj::mv(answer), limit)
    .then([this, name](std::optional<candidate> aAnswer) {
      RecordSuccess(mBoard.mDirectory, name);
      if (aAnswer->mAnswer.mRefusal == refusal::Leaving) {
        MarkLeaving(mBoard.mDirectory, name);
      }
      return aAnswer;
    })
    .catch_([this, name](kj::Exception&& aException) {
      Log(log_level::Debug,
          "probe_failed",
          { { "endpoint", name },
            { "why", aException.getDescription().cStr() } });
      RecordFailure(mBoard.mDirectory, name, mClock.Now(), mBoard.mRandom);
      mBoard.mMetrics.Count("primrose_probes_lost_total");
      return std::optional<candidate>();
    })
    .attach(connection);
}

kj::Promise<placement_result>
placer::HandleProbeAnswers(std::shared_ptr<search> aSearch,
                           std::vector<std::optional<candidate>> aAnswers)
{
  search& state = *aSearch;
  for (const std::optional<candidate>& answer : aAnswers) {
    if (!answer) {
      ++state.mUnansweredCount;
      continue;
    }
    state.mCandidates.push_back(*answer);
    if (answer->mAnswer.mRefusal != refusal::None) {
      state.mRefusals[state.mNames[answer->mIndex]] = answer->mAnswer.mRefusal;
    }
  }
  const request_shape shape =
    MemberShape(state.mRequest.mShape, state.mGroup, hold_role::Lead);
  UpdateLongPoolSize(mBoard.mLongPromptPools[shape.mModel],
                     state.mCandidates,
                     shape,
                     state.mRules,
                     state.mEngine,
                     state.mGroup,
                     state.mNames.size());
  state.mRanked =
    RankCandidates(state.mCandidates,
                   shape,
                   state.mRules,
                   state.mEngine,
                   PacksLongPrompts(state.mRules,
                                    mBoard.mLongPromptPools[shape.mModel],
                                    state.mNames.size()));
  RecordPlacementDecision(state);
  if (state.mRanked.size() < state.mGroup) {
    return MakePlacementFailure(state);
  }
  if (state.mGroup > 1) {
    // The engines of a group are reserved in an order that all entries share,
    // which prevents deadlock: two groups that compete for the same engines
    // both start at the first of them, so that neither holds an engine that
    // the other one waits for.
    state.mRanked.resize(state.mGroup);
    std::sort(
      state.mRanked.begin(),
      state.mRanked.end(),
      [](const scored_candidate& aLeft, const scored_candidate& aRight) {
        return aLeft.mIndex < aRight.mIndex;
      });
  }
  return ReserveNext(aSearch);
}

void
placer::RecordPlacementDecision(const search& aSearch)
{
  std::vector<decision_alternative> alternatives;
  for (const candidate& one : aSearch.mCandidates) {
    const auto scored = std::find_if(
      aSearch.mRanked.begin(),
      aSearch.mRanked.end(),
      [&](const scored_candidate& aOne) { return aOne.mIndex == one.mIndex; });
    const bool usable = scored != aSearch.mRanked.end();
    alternatives.push_back(
      { aSearch.mNames[one.mIndex],
        usable ? scored->mScore : 0,
        usable ? fmt::format("first token {:.3f} s, {} running, {} cached",
                             one.mAnswer.mFirstTokenSeconds,
                             one.mAnswer.mRunningSequences,
                             one.mAnswer.mCachedTokens)
               : std::string(RefusalName(one.mAnswer.mRefusal)) });
  }
  RecordDecision(
    mBoard,
    mClock,
    aSearch.mRequest.mHead.mId,
    decision_kind::Place,
    fmt::format("asked {} of {} endpoints, {} did not answer; {} wanted",
                aSearch.mCandidates.size() + aSearch.mUnansweredCount,
                aSearch.mNames.size(),
                aSearch.mUnansweredCount,
                aSearch.mGroup),
    aSearch.mRequest.mHead.mPath,
    { "probes", "long_prompt_tokens", "short_protection", "long_spread" },
    std::move(alternatives));
}

kj::Promise<placement_result>
placer::ReserveNext(std::shared_ptr<search> aSearch)
{
  search& state = *aSearch;
  if (state.mPlacement.mReservedEndpoints.size() == state.mGroup) {
    return kj::mv(state.mPlacement);
  }
  const std::size_t left = state.mRanked.size() - state.mNext;
  const std::size_t missing =
    state.mGroup - state.mPlacement.mReservedEndpoints.size();
  if (left < missing) {
    // A group is reserved as a whole or not at all: dropping the tickets
    // releases what was reserved so far.
    state.mPlacement.mReservedEndpoints.clear();
    return MakePlacementFailure(state);
  }
  const std::size_t index = state.mRanked[state.mNext++].mIndex;
  hold_role role = hold_role::Whole;
  if (state.mGroup > 1) {
    role = state.mPlacement.mReservedEndpoints.empty() ? hold_role::Lead
                                                       : hold_role::Member;
  }
  return ReserveAgent(aSearch, index, role).then([this, aSearch]() {
    return ReserveNext(aSearch);
  });
}

kj::Promise<void>
placer::ReserveAgent(std::shared_ptr<search> aSearch,
                     std::size_t aIndex,
                     hold_role aRole)
{
  const std::string name = aSearch->mNames[aIndex];
  const std::shared_ptr<agent_connection> connection = mPool.ConnectionTo(name);
  if (connection == nullptr) {
    return kj::READY_NOW;
  }
  const request_head head = aSearch->mRequest.mHead;
  const request_shape shape =
    MemberShape(aSearch->mRequest.mShape, aSearch->mGroup, aRole);
  const std::string attempt = mIds.Next();
  return connection->Get()
    .then([this, head, shape, attempt, aRole](wire::Agent::Client aAgent) {
      const duration remaining = head.mDeadline - mClock.Now();
      const policy& rules = head.mPolicy;
      const duration wait =
        std::min(remaining,
                 FromSeconds(shape.mLong ? rules.mLongQueueWaitSeconds
                                         : rules.mQueueWaitSeconds));
      auto request = aAgent.reserveRequest();
      wire::Reservation::Builder reservation = request.initReservation();
      reservation.setRequest(head.mId);
      reservation.setAttempt(attempt);
      ToWire(shape, reservation.initQuery());
      reservation.setRemainingMs(RemainingToWire(remaining));
      reservation.setLeaseMs(
        RemainingToWire(FromSeconds(head.mPolicy.mLeaseSeconds)));
      reservation.setRole(ToWire(aRole));
      reservation.setWaitMs(RemainingToWire(wait));
      reservation.setWeight(head.mPolicy.mShareWeight);
      return request.send();
    })
    .then([this, aSearch, name, attempt, connection](
            capnp::Response<wire::Agent::ReserveResults> aResponse) {
      const refusal answer = FromWire(aResponse.getRefusal());
      if (answer == refusal::None) {
        aSearch->mPlacement.mReservedEndpoints.push_back(
          { name, attempt, aResponse.getTicket(), connection });
        return;
      }
      aSearch->mRefusals[name] = answer;
      if (answer == refusal::Leaving) {
        MarkLeaving(mBoard.mDirectory, name);
      }
    })
    .catch_([this, aSearch, name](kj::Exception&&) {
      RecordFailure(mBoard.mDirectory, name, mClock.Now(), mBoard.mRandom);
      ++aSearch->mUnansweredCount;
    });
}

placement_result
placer::MakePlacementFailure(const search& aSearch) const
{
  placement_result unplaced;
  unplaced.mMayRetry = true;
  unplaced.mFailureReason.mRetryAfterSeconds = kRetryAfterSeconds;
  if (aSearch.mNames.empty()) {
    unplaced.mFailureReason.mKind = error_kind::NoEndpoint;
    unplaced.mFailureReason.mMessage =
      fmt::format("no endpoint serves \"{}\"", aSearch.mRequest.mShape.mModel);
    return unplaced;
  }
  const bool allTooLate = !aSearch.mRefusals.empty() &&
                          aSearch.mUnansweredCount == 0 &&
                          std::all_of(aSearch.mRefusals.begin(),
                                      aSearch.mRefusals.end(),
                                      [](const auto& aItem) {
                                        return aItem.second == refusal::TooLate;
                                      });
  if (allTooLate) {
    double earliest = INFINITY;
    for (const candidate& one : aSearch.mCandidates) {
      earliest = std::min(earliest, one.mAnswer.mFirstTokenSeconds);
    }
    unplaced.mFailureReason.mKind = error_kind::CannotMeetDeadline;
    unplaced.mFailureReason.mMessage = fmt::format(
      "the first token would come in {:.1f} s, after the time limit", earliest);
    unplaced.mFailureReason.mRetryAfterSeconds = earliest;
    unplaced.mMayRetry = false;
    return unplaced;
  }
  const bool noneRefused = aSearch.mRefusals.empty();
  unplaced.mUsesRetryBudget = noneRefused;
  unplaced.mFailureReason.mKind =
    noneRefused ? error_kind::EndpointFailed : error_kind::Overloaded;
  unplaced.mFailureReason.mMessage =
    fmt::format("{} endpoints refused, {} did not answer",
                aSearch.mRefusals.size(),
                aSearch.mUnansweredCount);
  return unplaced;
}

} // namespace primrose::entry
