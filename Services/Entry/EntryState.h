#pragma once

/// The state shared by the parts of an entry: the request handlers, the polling
/// of the platform's list and the operators' HTTP commands. All of them run on
/// one thread, so there are no locks.

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
  std::map<std::string, placement_state> mLongPromptPools; ///< By model.
  std::map<std::string, organisation_usage> mOrganisations;
  retry_budget mRetries;
  decision_log mDecisions;
  metrics mMetrics;
  random_engine mRandom;
  std::size_t mInFlight = 0;
  bool mLeaving = false;
};

/// Adds a decision to the request's decision log, with the values and origins
/// of the settings that it depends on.
void
RecordDecision(entry_state& aState,
               const clock_source& aClock,
               const std::string& aRequest,
               decision_kind aKind,
               std::string aText,
               const tree_path& aPath = {},
               const std::vector<std::string>& aSettings = {},
               std::vector<decision_alternative> aAlternatives = {});

/// Counts, records and logs a request that ended with a failure. `aFamily` is
/// the name of the metric, `aEvent` the name of the log event.
void
RecordRequestFailure(entry_state& aState,
                     const clock_source& aClock,
                     const std::string& aRequest,
                     const tree_path& aPath,
                     std::string_view aFamily,
                     std::string_view aEvent,
                     const failure& aFailure);

} // namespace primrose::entry
