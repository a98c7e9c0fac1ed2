/// The platform: a transactional table service, an object store and the list
/// of VMs, which lags. Everything is kept in memory for the stand-in's life.

#include "Emulator.h"

#include <deque>
#include <map>
#include <spdlog/fmt/fmt.h>

namespace primrose::standin {

namespace {

using table = std::map<std::string, json>;

struct vm_change
{
  time_point mVisibleAt;
  std::string mName;
  std::optional<json> mRow;
};

class platform_emulator final : public face
{
public:
  platform_emulator(const clock_source& aClock, duration aListLag)
    : mClock(aClock)
    , mListLag(aListLag)
  {
  }

  void Handle(const exchange& aExchange) override
  {
    const std::string& path = aExchange->Path();
    const std::string method = aExchange->Method();
    if (path == "/tables/transact" && method == "POST") {
      Guarded(aExchange, [&]() { return Transact(aExchange); });
    } else if (path == "/tables/read" && method == "POST") {
      Guarded(aExchange, [&]() { return Read(aExchange); });
    } else if (path.starts_with("/objects/")) {
      HandleObject(aExchange, path);
    } else if (path == "/vms" && method == "GET") {
      ListVms(aExchange);
    } else if (path.starts_with("/vms/")) {
      Guarded(aExchange, [&]() { return ChangeVm(aExchange); });
    } else if (path == "/counters") {
      AnswerJson(aExchange, { { "reads", mReads }, { "writes", mWrites } });
    } else {
      aExchange->AnswerFailure(
        { error_kind::NotFound, path, ran_state::No, std::nullopt });
    }
  }

private:
  bool ConditionHolds(const json& aPut) const
  {
    const auto condition = aPut.find("if");
    if (condition == aPut.end()) {
      return true;
    }
    const auto named = mTables.find(aPut.at("table").get<std::string>());
    const json* row = nullptr;
    if (named != mTables.end()) {
      const auto found = named->second.find(aPut.at("key").get<std::string>());
      row = found == named->second.end() ? nullptr : &found->second;
    }
    if (*condition == "absent") {
      return row == nullptr;
    }
    if (row == nullptr) {
      return false;
    }
    for (const auto& [member, value] : condition->items()) {
      if (!row->contains(member) || row->at(member) != value) {
        return false;
      }
    }
    return true;
  }

  result<void> ValidatePuts(const json& aBody) const
  {
    if (!aBody.contains("puts") || !aBody["puts"].is_array()) {
      return Fail(error_kind::MissingField, "\"puts\" must be a list");
    }
    for (const json& put : aBody["puts"]) {
      const bool good = put.is_object() && put.contains("table") &&
                        put["table"].is_string() && put.contains("key") &&
                        put["key"].is_string() && put.contains("value") &&
                        put["value"].is_object();
      if (!good) {
        return Fail(error_kind::WrongType,
                    "a put needs table, key and an object as value");
      }
    }
    return {};
  }

  result<void> Transact(const exchange& aExchange)
  {
    BOOST_LEAF_ASSIGN(json const body, ParseObject(aExchange->Body()));
    BOOST_LEAF_CHECK(ValidatePuts(body));
    ++mWrites;
    json conflicts = json::array();
    for (const json& put : body["puts"]) {
      if (!ConditionHolds(put)) {
        conflicts.push_back(put["key"]);
      }
    }
    constexpr unsigned kConflict = 409;
    if (!conflicts.empty()) {
      AnswerJson(aExchange,
                 { { "committed", false }, { "conflicts", conflicts } },
                 kConflict);
      return {};
    }
    for (const json& put : body["puts"]) {
      table& rows = mTables[put["table"].get<std::string>()];
      rows.insert_or_assign(put["key"].get<std::string>(), put["value"]);
    }
    if (TakeLostAnswer()) {
      mLostAnswerExchanges.push_back(aExchange);
      return {};
    }
    AnswerJson(aExchange, { { "committed", true } });
    return {};
  }

  result<void> Read(const exchange& aExchange)
  {
    BOOST_LEAF_ASSIGN(json const body, ParseObject(aExchange->Body()));
    BOOST_LEAF_ASSIGN(std::string const name, RequiredText(body, "table"));
    if (!body.contains("keys") || !body["keys"].is_array()) {
      return Fail(error_kind::MissingField, "\"keys\" must be a list");
    }
    ++mReads;
    json rows = json::object();
    const table& known = mTables[name];
    for (const json& key : body["keys"]) {
      const auto row =
        key.is_string() ? known.find(key.get<std::string>()) : known.end();
      if (row != known.end()) {
        rows[row->first] = row->second;
      }
    }
    AnswerJson(aExchange, { { "rows", rows } });
    return {};
  }

  void HandleObject(const exchange& aExchange, const std::string& aPath)
  {
    if (aExchange->Method() == "PUT") {
      mObjects.insert_or_assign(aPath, aExchange->Body());
      AnswerJson(aExchange, json::object());
      return;
    }
    const auto object = mObjects.find(aPath);
    if (object == mObjects.end()) {
      aExchange->AnswerFailure(
        { error_kind::NotFound, aPath, ran_state::No, std::nullopt });
      return;
    }
    aExchange->Answer(200, "application/octet-stream", object->second);
  }

  /// Moves the changes that have become visible into the list.
  void ListVms(const exchange& aExchange)
  {
    ++mReads;
    const time_point now = mClock.Now();
    while (!mVmChanges.empty() && mVmChanges.front().mVisibleAt <= now) {
      const vm_change& change = mVmChanges.front();
      if (change.mRow) {
        mVms.insert_or_assign(change.mName, *change.mRow);
      } else {
        mVms.erase(change.mName);
      }
      mVmChanges.pop_front();
    }
    json rows = json::array();
    for (const auto& [name, row] : mVms) {
      rows.push_back(row);
    }
    const json list = { { "vms", rows } };
    const std::string tag = fmt::format("\"{:016x}\"", Hash(list.dump()));
    aExchange->SetHeader("ETag", tag);
    constexpr unsigned kNotModified = 304;
    if (aExchange->Header("If-None-Match") == tag) {
      aExchange->Answer(kNotModified, "application/json", "");
      return;
    }
    AnswerJson(aExchange, list);
  }

  result<void> ChangeVm(const exchange& aExchange)
  {
    const std::string name =
      aExchange->Path().substr(std::string("/vms/").size());
    vm_change change{ mClock.Now() + mListLag, name, std::nullopt };
    if (aExchange->Method() == "PUT") {
      BOOST_LEAF_ASSIGN(change.mRow, ParseObject(aExchange->Body()));
    }
    mVmChanges.push_back(std::move(change));
    AnswerJson(aExchange, json::object());
    return {};
  }

  const clock_source& mClock;
  duration mListLag;
  std::map<std::string, table> mTables;
  std::map<std::string, std::string> mObjects;
  std::map<std::string, json> mVms;
  std::deque<vm_change> mVmChanges;
  std::vector<exchange> mLostAnswerExchanges;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
};

} // namespace

std::unique_ptr<face>
MakePlatformEmulator(const clock_source& aClock, duration aListLag)
{
  return std::make_unique<platform_emulator>(aClock, aListLag);
}

} // namespace primrose::standin
