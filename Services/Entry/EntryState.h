#pragma once

/// The entry's blackboard: what its controllers (requests, the watch on the
/// platform's list, the operators' faces) read and write. One thread.

#include "LibDecision/LibDecision.h"
#include "LibObserve/LibObserve.h"
#include "LibSettings/LibSettings.h"

#include <map>

namespace primrose::entry {

struct entry_state
{
  node_settings mSettings;
  settings_tree mTree;
  endpoint_directory mDirectory;
  std::map<std::string, placement_memory> mLongPromptPools; ///< By model.
  std::map<std::string, organisation_use> mOrganisations;
  retry_budget mRetries;
  decision_log mDecisions;
  metrics mMetrics;
  random_engine mRandom;
  std::size_t mInFlight = 0;
  bool mLeaving = false;
};

/// Adds a decision to the request's record, with the settings that caused it.
void
RecordDecision(entry_state& aBoard,
               const clock_source& aClock,
               const std::string& aRequest,
               decision_kind aKind,
               std::string aText,
               const tree_path& aPath = {},
               const std::vector<std::string>& aSettings = {},
               std::vector<decision_alternative> aAlternatives = {});

/// Counts, records and logs a request that ends with a failure. `aFamily` is
/// the metric; `aEvent` the log's event.
void
RecordRequestFailure(entry_state& aBoard,
                     const clock_source& aClock,
                     const std::string& aRequest,
                     const tree_path& aPath,
                     std::string_view aFamily,
                     std::string_view aEvent,
                     const failure& aWhy);

} // namespace primrose::entry
