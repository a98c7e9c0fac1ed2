#include "Emulator.h"

#include <glib.h>

namespace primrose::standin {

bool
face::TakeLostAnswer()
{
  if (mFaults.mLoseAnswers == 0) {
    return false;
  }
  --mFaults.mLoseAnswers;
  return true;
}

void
AnswerJson(const exchange& aExchange, const json& aDocument, unsigned aStatus)
{
  aExchange->Answer(aStatus, "application/json", aDocument.dump());
}

void
Guarded(const exchange& aExchange, const std::function<result<void>()>& aBody)
{
  leaf::try_handle_all(
    aBody,
    [&](const failure& aFailure) { aExchange->AnswerFailure(aFailure); },
    [&]() { aExchange->AnswerFailure({}); });
}

std::string
QueryValue(const exchange& aExchange, const std::string& aName)
{
  GHashTable* const table = g_uri_parse_params(
    aExchange->Query().c_str(), -1, "&", G_URI_PARAMS_NONE, nullptr);
  if (table == nullptr) {
    return {};
  }
  const char* const value =
    static_cast<const char*>(g_hash_table_lookup(table, aName.c_str()));
  std::string text = value == nullptr ? "" : value;
  g_hash_table_unref(table);
  return text;
}

} // namespace primrose::standin
