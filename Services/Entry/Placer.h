#pragma once

/// Places a request on endpoints: probes their agents, ranks the answers and
/// reserves memory.

#include "AgentPool.h"
#include "LibRules/LibRules.h"
#include "RequestParser.h"

#include <optional>
#include <set>
#include <vector>

namespace primrose::entry {

/// A granted reservation at one agent.
struct reserved_endpoint
{
  std::string mEndpoint;
  std::string mAttempt;
  wire::Ticket::Client mTicket;
  /// Keeps the connection open for as long as the reservation is used.
  std::shared_ptr<agent_connection> mConnection;
};

/// The result of one placement attempt: a single reservation, or those of a
/// group's engines with the lead engine first.
struct placement_result
{
  std::vector<reserved_endpoint> mReservedEndpoints;
  /// Why nothing was reserved; valid only while `mReservedEndpoints` is empty.
  failure mFailureReason;
  /// True if a retry, elsewhere or later, may succeed.
  bool mMayRetry = false;
  /// True unless an agent refused: a retry after failures spends the retry
  /// budget, a retry after a refusal does not.
  bool mUsesRetryBudget = true;
};

class placer
{
public:
  placer(const clock_source& aClock,
         entry_state& aState,
         agent_pool& aPool,
         id_maker& aIds);

  /// Tries once to place a request. The promise never fails; the result gives
  /// the reason if nothing was reserved. Endpoints at which an attempt of this
  /// request failed (`aFailed`) are skipped as long as there are enough others,
  /// since their agents may not have detected yet that the engine is down.
  kj::Promise<placement_result> Place(const completion_request& aRequest,
                                      const std::set<std::string>& aFailed);

private:
  struct search;

  kj::Promise<std::optional<candidate>> ProbeAgent(
    std::shared_ptr<search> aSearch,
    std::size_t aIndex);
  kj::Promise<placement_result> HandleProbeAnswers(
    std::shared_ptr<search> aSearch,
    std::vector<std::optional<candidate>> aAnswers);
  kj::Promise<placement_result> ReserveNext(std::shared_ptr<search> aSearch);
  kj::Promise<void> ReserveAgent(std::shared_ptr<search> aSearch,
                                 std::size_t aIndex,
                                 hold_role aRole);
  placement_result MakePlacementFailure(const search& aSearch) const;
  void RecordPlacementDecision(const search& aSearch);

  const clock_source& mClock;
  entry_state& mBoard;
  agent_pool& mPool;
  id_maker& mIds;
};

} // namespace primrose::entry
