#pragma once

/// Finds places for a request: probes agents, ranks them, reserves.

#include "AgentPool.h"
#include "LibRules/LibRules.h"
#include "RequestParser.h"

#include <optional>
#include <set>
#include <vector>

namespace primrose::entry {

/// A granted reservation at one agent.
struct place
{
  std::string mEndpoint;
  std::string mAttempt;
  wire::Ticket::Client mTicket;
  /// Keeps the connection for as long as the reservation is used.
  std::shared_ptr<agent_link> mLink;
};

/// Places for one request: one, or the members of a group with the lead first.
struct placement
{
  std::vector<place> mReservedEndpoints;
  /// Why there is none; only read when `mReservedEndpoints` is empty.
  failure mFailureReason;
  /// True if trying again elsewhere or later may help.
  bool mMayRetry = false;
  /// Agents failed, rather than had no room: trying again costs of the budget.
  bool mUsesRetryBudget = true;
};

class placer
{
public:
  placer(const clock_source& aClock,
         entry_state& aBoard,
         agent_pool& aPool,
         id_maker& aIds);

  /// One try at placing. Never fails; the answer says why there is no place.
  /// Endpoints under which an attempt of this request failed are passed over
  /// as long as there are enough others: their agents may not have noticed
  /// yet that the engine is down.
  kj::Promise<placement> Place(const completion_request& aRequest,
                               const std::set<std::string>& aFailed);

private:
  struct search;

  kj::Promise<std::optional<candidate>> ProbeAgent(
    std::shared_ptr<search> aSearch,
    std::size_t aIndex);
  kj::Promise<placement> TakeAnswers(
    std::shared_ptr<search> aSearch,
    std::vector<std::optional<candidate>> aAnswers);
  kj::Promise<placement> ReserveNext(std::shared_ptr<search> aSearch);
  kj::Promise<void> ReserveAgent(std::shared_ptr<search> aSearch,
                                 std::size_t aIndex,
                                 hold_role aRole);
  placement MakePlacementFailure(const search& aSearch) const;
  void RecordPlacementDecision(const search& aSearch);

  const clock_source& mClock;
  entry_state& mBoard;
  agent_pool& mPool;
  id_maker& mIds;
};

} // namespace primrose::entry
