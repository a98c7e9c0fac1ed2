#include "EntryState.h"

#include <spdlog/fmt/fmt.h>

namespace primrose::entry {

void
RecordDecision(entry_state& aState,
               const clock_source& aClock,
               const std::string& aRequest,
               decision_kind aKind,
               std::string aText,
               const tree_path& aPath,
               const std::vector<std::string>& aSettings,
               std::vector<decision_alternative> aAlternatives)
{
  decision_record record;
  record.mKind = aKind;
  record.mTime = aClock.Wall();
  record.mRevision = aState.mTree.Revision();
  record.mText = std::move(aText);
  record.mAlternatives = std::move(aAlternatives);
  const policy resolved = aState.mTree.Resolve(aPath);
  for (const std::string& name : aSettings) {
    const policy_value* const value = FindPolicyValue(name);
    if (value != nullptr) {
      record.mCauses.push_back({ name,
                                 aState.mTree.OriginOf(aPath, name),
                                 resolved.*(value->mMember) });
    }
  }
  aState.mDecisions.Add(aRequest, std::move(record));
}

void
RecordRequestFailure(entry_state& aState,
                     const clock_source& aClock,
                     const std::string& aRequest,
                     const tree_path& aPath,
                     std::string_view aFamily,
                     std::string_view aEvent,
                     const failure& aFailure)
{
  const std::string_view kind = AnswerFor(aFailure.mKind).mName;
  aState.mMetrics.Count(Labelled(aFamily, "outcome", kind));
  RecordDecision(
    aState,
    aClock,
    aRequest,
    decision_kind::Finish,
    fmt::format(
      "{}: {} (ran: {})", kind, aFailure.mMessage, RanStateName(aFailure.mRan)),
    aPath,
    { "time_limit_s", "attempts" });
  Log(log_level::Warning,
      aEvent,
      { { "request", aRequest },
        { "organisation", aPath.mOrganisation },
        { "service", aPath.mService },
        { "kind", kind },
        { "ran", RanStateName(aFailure.mRan) },
        { "why", aFailure.mMessage } });
}

} // namespace primrose::entry
