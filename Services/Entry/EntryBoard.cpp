#include "EntryBoard.h"

namespace primrose::entry {

void
Record(entry_board& aBoard,
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
  record.mRevision = aBoard.mTree.Revision();
  record.mText = std::move(aText);
  record.mAlternatives = std::move(aAlternatives);
  const policy resolved = aBoard.mTree.Resolve(aPath);
  for (const std::string& name : aSettings) {
    const policy_value* const value = FindPolicyValue(name);
    if (value != nullptr) {
      record.mCauses.push_back({ name,
                                 aBoard.mTree.OriginOf(aPath, name),
                                 resolved.*(value->mMember) });
    }
  }
  aBoard.mDecisions.Add(aRequest, std::move(record));
}

} // namespace primrose::entry
