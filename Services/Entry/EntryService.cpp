#include "EntryService.h"

#include <spdlog/fmt/fmt.h>

namespace primrose::entry {

namespace {

constexpr std::string_view kExplainPrefix = "/explain/";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr const char* kJsonType = "application/json";

entry_state
MakeEntryState(node_settings aSettings, settings_tree aTree)
{
  entry_state state;
  state.mSettings = std::move(aSettings);
  state.mTree = std::move(aTree);
  state.mRandom.seed(FreshSeed());
  state.mRetries.mLevel = kMaxSavedRetries;
  return state;
}

} // namespace

entry_service::entry_service(const clock_source& aClock,
                             node_settings aSettings,
                             settings_tree aTree,
                             std::function<void()> aDrained)
  : mClock(aClock)
  , mBoard(MakeEntryState(std::move(aSettings), std::move(aTree)))
  , mStore(mHttp, mBoard.mSettings.mPlatform)
  , mPool(mClock, mBoard, mStore)
  , mRequestIds(mBoard.mSettings.mName, FreshSeed())
  , mAttemptIds(mBoard.mSettings.mName + "-a", FreshSeed())
  , mPlacer(mClock, mBoard, mPool, mAttemptIds)
  , mDrained(std::move(aDrained))
{
}

void
entry_service::Start()
{
  mPool.Start();
}

void
entry_service::Handle(exchange aExchange)
{
  const std::string& path = aExchange->Path();
  if (path == "/v1/completions" || path.starts_with(kServicesPrefix)) {
    HandleCaller(aExchange);
  } else {
    HandleOperator(aExchange);
  }
}

void
entry_service::HandleCaller(const exchange& aExchange)
{
  const std::string id = mRequestIds.Next();
  aExchange->SetHeader("X-Request-Id", id);
  const std::string callersId = aExchange->Header("X-Request-Id");
  leaf::try_handle_all(
    [&]() -> result<void> {
      if (mBoard.mLeaving) {
        return Fail({ error_kind::ShuttingDown,
                      "this entry is leaving; ask again",
                      ran_state::No,
                      1.0 });
      }
      return aExchange->Path().starts_with(kServicesPrefix)
               ? BeginCall(aExchange, id)
               : BeginCompletion(aExchange, id);
    },
    [&](const failure& aFailure) {
      const std::string_view kind = AnswerFor(aFailure.mKind).mName;
      Log(log_level::Info,
          "request_refused",
          { { "request", id },
            { "callers_id", callersId },
            { "kind", kind },
            { "why", aFailure.mMessage } });
      mBoard.mMetrics.Count(Labelled("primrose_refused_total", "kind", kind));
      RecordDecision(mBoard,
                     mClock,
                     id,
                     decision_kind::Refuse,
                     fmt::format("{}: {}", kind, aFailure.mMessage));
      aExchange->AnswerFailure(aFailure);
    },
    [&]() { aExchange->AnswerFailure({}); });
}

result<void>
entry_service::BeginCompletion(const exchange& aExchange,
                               const std::string& aId)
{
  if (aExchange->Method() != "POST") {
    return Fail(error_kind::NotFound, "completions are asked for with POST");
  }
  BOOST_LEAF_ASSIGN(
    completion_request request,
    ReadCompletion(mBoard.mTree, *aExchange, aId, mClock.Now()));
  BOOST_LEAF_CHECK(AdmitCompletion(request));
  const std::shared_ptr<completion_run> run = std::make_shared<completion_run>(
    mClock, mBoard, mPlacer, aExchange, std::move(request));
  mTasks.add(run->Run().attach(kj::defer([this]() { CheckDrained(); })));
  return {};
}

result<void>
entry_service::AdmitCompletion(const completion_request& aRequest)
{
  const policy& rules = aRequest.mHead.mPolicy;
  const tree_path organisation{ aRequest.mHead.mPath.mOrganisation, "", "" };
  const policy limits = mBoard.mTree.Resolve(organisation);
  organisation_usage& use = mBoard.mOrganisations[organisation.mOrganisation];
  const double share = 1.0 / static_cast<double>(EntryCount(mBoard.mDirectory));
  const admission verdict =
    Admit(use,
          { limits.mTokensPerSecond, limits.mConcurrentTokens, share },
          aRequest.mShape.MemoryTokens(),
          mClock.Now());
  if (verdict.mVerdict != admission_verdict::Admitted) {
    const bool overRate = verdict.mVerdict == admission_verdict::OverRate;
    return Fail({ error_kind::RateLimited,
                  fmt::format("the organisation is over {} at this entry",
                              overRate ? "tokens_per_s" : "concurrent_tokens"),
                  ran_state::No,
                  verdict.mRetryAfterSeconds });
  }
  EarnRetry(mBoard.mRetries, rules.mRetryBudget);
  RecordDecision(mBoard,
                 mClock,
                 aRequest.mHead.mId,
                 decision_kind::Admit,
                 fmt::format("{} prompt and {} answer tokens for {}",
                             aRequest.mShape.mPromptTokens,
                             aRequest.mShape.mMaxTokens,
                             aRequest.mHead.mPath.Text()),
                 aRequest.mHead.mPath,
                 { "tokens_per_s",
                   "concurrent_tokens",
                   "time_limit_s",
                   "priority",
                   "share_weight" });
  return {};
}

result<void>
entry_service::BeginCall(const exchange& aExchange, const std::string& aId)
{
  BOOST_LEAF_ASSIGN(call_request request,
                    ReadCall(mBoard.mTree, *aExchange, aId, mClock.Now()));
  EarnRetry(mBoard.mRetries, request.mHead.mPolicy.mRetryBudget);
  RecordDecision(mBoard,
                 mClock,
                 aId,
                 decision_kind::Admit,
                 fmt::format("{}call of {} for {}",
                             request.mGuarded ? "guarded " : "",
                             request.mHead.mPath.mService,
                             request.mHead.mPath.mOrganisation),
                 request.mHead.mPath,
                 { "time_limit_s" });
  const std::shared_ptr<call_run> run = std::make_shared<call_run>(
    mClock, mBoard, mPool, mAttemptIds, aExchange, std::move(request));
  mTasks.add(run->Run().attach(kj::defer([this]() { CheckDrained(); })));
  return {};
}

bool
entry_service::IsOperator(const http_exchange& aExchange) const
{
  const std::string key = aExchange.BearerKey();
  return !key.empty() && KeyHash(key) == mBoard.mSettings.mOperatorKeyHash;
}

void
entry_service::HandleOperator(const exchange& aExchange)
{
  const std::string& path = aExchange->Path();
  if (path == "/healthz") {
    aExchange->Answer(200, "text/plain", "ok\n");
    return;
  }
  if (path == "/readyz") {
    const bool ready = !mBoard.mLeaving && mBoard.mDirectory.mHasList;
    aExchange->Answer(
      ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    return;
  }
  if (path == "/metrics") {
    const stream_traffic traffic = TotalTraffic();
    mBoard.mMetrics.Set("primrose_rpc_sent_bytes",
                        static_cast<double>(traffic.mSent));
    mBoard.mMetrics.Set("primrose_rpc_received_bytes",
                        static_cast<double>(traffic.mReceived));
    mBoard.mMetrics.Set("primrose_in_flight",
                        static_cast<double>(mBoard.mInFlight));
    aExchange->Answer(
      200, "text/plain; version=0.0.4", mBoard.mMetrics.Exposition());
    return;
  }
  const bool known =
    path == "/status" || path == "/drain" || path.starts_with(kExplainPrefix);
  if (!known) {
    aExchange->AnswerFailure({ error_kind::NotFound,
                               "there is nothing at " + path,
                               ran_state::No,
                               std::nullopt });
    return;
  }
  if (!IsOperator(*aExchange)) {
    aExchange->AnswerFailure({ error_kind::Forbidden,
                               "this needs the operators' key",
                               ran_state::No,
                               std::nullopt });
    return;
  }
  if (path == "/status") {
    aExchange->Answer(200, kJsonType, Status().dump());
  } else if (path == "/drain") {
    Drain();
    aExchange->Answer(
      200, kJsonType, json{ { "in_flight", mBoard.mInFlight } }.dump());
  } else {
    Explain(aExchange, path.substr(kExplainPrefix.size()));
  }
}

void
entry_service::Explain(const exchange& aExchange, const std::string& aRequest)
{
  const std::vector<decision_record>* const records =
    mBoard.mDecisions.Find(aRequest);
  if (records == nullptr) {
    const std::string_view owner = OwnerOf(aRequest);
    const bool ownedElsewhere =
      !owner.empty() && owner != mBoard.mSettings.mName;
    aExchange->AnswerFailure(
      { error_kind::NotFound,
        ownedElsewhere ? fmt::format("ask the entry \"{}\"", owner)
                       : "this entry knows no such request (any more)",
        ran_state::No,
        std::nullopt });
    return;
  }
  const json body = { { "request", aRequest },
                      { "entry", mBoard.mSettings.mName },
                      { "decisions", RecordsToJson(*records) } };
  aExchange->Answer(200, kJsonType, body.dump());
}

json
RecordsToJson(const std::vector<decision_record>& aRecords)
{
  json list = json::array();
  for (const decision_record& record : aRecords) {
    json alternatives = json::array();
    for (const decision_alternative& one : record.mAlternatives) {
      alternatives.push_back({ { "name", one.mName },
                               { "score", one.mScore },
                               { "note", one.mNote } });
    }
    json causes = json::array();
    for (const decision_cause& cause : record.mCauses) {
      causes.push_back({ { "setting", cause.mSetting },
                         { "from", cause.mOrigin },
                         { "value", cause.mValue } });
    }
    list.push_back({ { "decision", DecisionName(record.mKind) },
                     { "time_ms", record.mTime.time_since_epoch().count() },
                     { "revision", record.mRevision },
                     { "text", record.mText },
                     { "alternatives", alternatives },
                     { "settings", causes } });
  }
  return list;
}

json
entry_service::Status() const
{
  json endpoints = json::array();
  const time_point now = mClock.Now();
  for (const auto& [name, view] : mBoard.mDirectory.mEndpoints) {
    const bool leaving = view.mListed.mLeaving || view.mReportedLeaving;
    const bool avoided = now < view.mAvoidUntil;
    endpoints.push_back(
      { { "name", name },
        { "address", view.mListed.mAddress },
        { "serves", view.mListed.mServes },
        { "data_centre", view.mListed.mDataCentre },
        { "kind", VmKindName(view.mListed.mKind) },
        { "state", leaving ? "leaving" : (avoided ? "avoided" : "live") } });
  }
  return { { "name", mBoard.mSettings.mName },
           { "role", "entry" },
           { "region", mBoard.mSettings.mRegion },
           { "data_centre", mBoard.mSettings.mDataCentre },
           { "leaving", mBoard.mLeaving },
           { "in_flight", mBoard.mInFlight },
           { "settings_revision", mBoard.mTree.Revision() },
           { "settings_hash",
             fmt::format("{:016x}", mBoard.mTree.DocumentHash()) },
           { "list_seconds_old",
             mBoard.mDirectory.mHasList
               ? json(Seconds(now - mBoard.mDirectory.mListReceivedAt))
               : json(nullptr) },
           { "endpoints", endpoints } };
}

void
entry_service::Drain()
{
  if (mBoard.mLeaving) {
    return;
  }
  mBoard.mLeaving = true;
  Log(log_level::Info, "drain_started", { { "in_flight", mBoard.mInFlight } });
  CheckDrained();
}

void
entry_service::CheckDrained()
{
  if (!mBoard.mLeaving || !mDrained) {
    return;
  }
  mTasks.add(kj::evalLater([this]() {
    if (mBoard.mInFlight == 0 && mDrained) {
      Log(log_level::Info, "drain_finished", {});
      const std::function<void()> drained = std::move(mDrained);
      mDrained = nullptr;
      drained();
    }
  }));
}

} // namespace primrose::entry
