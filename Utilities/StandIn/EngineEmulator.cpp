/// A model engine: the engine model run in real time behind HTTP.
///
/// - `POST /v1/completions` `{id, prompt, max_tokens, priority, members}`: an
///   event stream of `{"index","text"}`, ended by `[DONE]`
/// - `GET /v1/streams/resume?id=&from=`: the same stream from a token on
/// - `POST /v1/streams/cancel` `{id}`, `GET /v1/streams`
/// - `POST /v1/kv/hold` `{id, tokens}`, `/v1/kv/release` `{id}`,
///   `/v1/kv/export` `{id}`, `/v1/kv/import` `{id, tokens}`
/// - `GET /v1/load` (lags), `GET /v1/events?after=` (late, gaps)
/// - `POST /v1/orders` `{order, value, fencing}`, `GET /v1/state`
///
/// A stream whose reader went away goes on and holds its memory, so that it
/// can be resumed; only its end or a cancel frees it.

#include "Emulator.h"

#include "LibModel/LibModel.h"
#include "LibRules/LibRules.h"

#include <deque>
#include <glib.h>

namespace primrose::standin {

namespace {

constexpr duration kLoadLag = std::chrono::milliseconds(500);
constexpr duration kEventLag = std::chrono::milliseconds(300);
constexpr duration kFinishedStreamRetention = std::chrono::seconds(30);
/// A step later than this is taken as begun anew: the process was paused.
constexpr duration kMaxCatchUp = std::chrono::seconds(1);

struct stream_state
{
  std::uint64_t mPromptHash = 0;
  tokens mWritten = 0;
  bool mDone = false;
  time_point mDoneAt;
  exchange mReader;
  tokens mSent = 0;
  bool mCutHalfway = false;
  tokens mOutput = 0;
  std::vector<std::uint64_t> mPrefixHashes;
};

struct cache_event
{
  std::uint64_t mNumber = 0;
  time_point mVisible;
  std::vector<std::uint64_t> mPrefixHashes;
};

struct order_state
{
  std::string mValue;
  std::int64_t mFencing = 0;
};

class engine_emulator final : public face
{
public:
  engine_emulator(const clock_source& aClock, const model_settings& aModel)
    : mClock(aClock)
    , mModel(aModel.mName)
    , mEngine(MakeEngine(EngineShapeFor(aModel)))
  {
  }
  ~engine_emulator() override { StopTimer(); }
  engine_emulator(const engine_emulator&) = delete;
  engine_emulator& operator=(const engine_emulator&) = delete;

  void Handle(const exchange& aExchange) override
  {
    using handler = result<void> (engine_emulator::*)(const exchange&);
    static const std::map<std::string, handler> kHandlers = {
      { "POST /v1/completions", &engine_emulator::Complete },
      { "GET /v1/streams/resume", &engine_emulator::Resume },
      { "POST /v1/streams/cancel", &engine_emulator::CancelStream },
      { "GET /v1/streams", &engine_emulator::ListStreams },
      { "POST /v1/kv/hold", &engine_emulator::Hold },
      { "POST /v1/kv/import", &engine_emulator::Hold },
      { "POST /v1/kv/release", &engine_emulator::CancelStream },
      { "POST /v1/kv/export", &engine_emulator::Export },
      { "GET /v1/load", &engine_emulator::Load },
      { "GET /v1/events", &engine_emulator::Events },
      { "POST /v1/orders", &engine_emulator::Order },
      { "GET /v1/state", &engine_emulator::State },
    };
    const auto found =
      kHandlers.find(aExchange->Method() + " " + aExchange->Path());
    if (found == kHandlers.end()) {
      aExchange->AnswerFailure({ error_kind::NotFound,
                                 aExchange->Path(),
                                 ran_state::No,
                                 std::nullopt });
      return;
    }
    Guarded(aExchange, [&]() { return (this->*found->second)(aExchange); });
  }

  void FaultsChanged() override
  {
    constexpr double kPercent = 100;
    mEngine.mStepTimeFactor =
      static_cast<double>(mFaults.mStepPercent) / kPercent;
  }

private:
  static constexpr std::int64_t kMostTokens = 100000000;

  result<void> Complete(const exchange& aExchange)
  {
    BOOST_LEAF_ASSIGN(json const body, ParseObject(aExchange->Body()));
    BOOST_LEAF_ASSIGN(std::string const id, RequiredText(body, "id"));
    BOOST_LEAF_ASSIGN(std::string const prompt, RequiredText(body, "prompt"));
    BOOST_LEAF_ASSIGN(std::int64_t const output,
                      OptionalInteger(body, "max_tokens", 16, 1, kMostTokens));
    BOOST_LEAF_ASSIGN(std::int64_t const priority,
                      OptionalInteger(body, "priority", 1, 0, 1000));
    const std::size_t members =
      body.contains("members") ? body["members"].size() : 0;
    const double parts = static_cast<double>(members + 1);
    engine_job job;
    job.mId = id;
    job.mPromptTokens = EstimateTokens(prompt);
    job.mOutputTokens = static_cast<tokens>(output);
    job.mReserveTokens =
      (job.mPromptTokens + members) / (members + 1) + job.mOutputTokens;
    job.mPrefixHashes = PrefixHashes(prompt);
    job.mPriority = static_cast<unsigned>(priority);
    job.mPrefillPart = 1 / (1 + kGroupEfficiency * (parts - 1));
    if (!Submit(mEngine, job, mClock.Now())) {
      return Fail(error_kind::PromptTooLong,
                  "larger than the engine's memory, or a known id");
    }
    stream_state stream;
    stream.mPromptHash = Hash(prompt);
    stream.mOutput = job.mOutputTokens;
    stream.mPrefixHashes = job.mPrefixHashes;
    stream.mReader = aExchange;
    if (mFaults.mCutStreams > 0) {
      --mFaults.mCutStreams;
      stream.mCutHalfway = true;
    }
    mStreams.insert_or_assign(id, std::move(stream));
    aExchange->StartStream(200, "text/event-stream");
    DetachOnHangup(id, aExchange);
    SetTimer();
    return {};
  }

  void DetachOnHangup(const std::string& aId, const exchange& aExchange)
  {
    aExchange->OnHangup([this, aId]() {
      const auto stream = mStreams.find(aId);
      if (stream != mStreams.end()) {
        mGone.push_back(std::move(stream->second.mReader));
        stream->second.mReader = nullptr;
      }
    });
  }

  result<void> Resume(const exchange& aExchange)
  {
    const std::string id = QueryValue(aExchange, "id");
    const auto stream = mStreams.find(id);
    if (stream == mStreams.end()) {
      return Fail(error_kind::NotFound, "no such stream");
    }
    stream->second.mSent = static_cast<tokens>(
      ParseNumber(QueryValue(aExchange, "from")).value_or(0));
    stream->second.mReader = aExchange;
    aExchange->StartStream(200, "text/event-stream");
    DetachOnHangup(id, aExchange);
    SendPendingTokens(stream->second);
    return {};
  }

  result<void> CancelStream(const exchange& aExchange)
  {
    BOOST_LEAF_ASSIGN(json const body, ParseObject(aExchange->Body()));
    BOOST_LEAF_ASSIGN(std::string const id, RequiredText(body, "id"));
    const bool had = Cancel(mEngine, id);
    const auto stream = mStreams.find(id);
    if (stream != mStreams.end()) {
      mStreams.erase(stream);
    }
    AnswerJson(aExchange, { { "cancelled", had } });
    return {};
  }

  result<void> ListStreams(const exchange& aExchange)
  {
    json streams = json::array();
    json holds = json::array();
    for (const auto& [id, job] : mEngine.mJobs) {
      const json row = { { "id", id }, { "tokens", job.mJob.mReserveTokens } };
      (job.mJob.mHoldOnly ? holds : streams).push_back(row);
    }
    AnswerJson(aExchange,
               { { "streams", streams },
                 { "holds", holds },
                 { "used_tokens", mEngine.mUsed } });
    return {};
  }

  result<void> Hold(const exchange& aExchange)
  {
    BOOST_LEAF_ASSIGN(json const body, ParseObject(aExchange->Body()));
    BOOST_LEAF_ASSIGN(std::string const id, RequiredText(body, "id"));
    BOOST_LEAF_ASSIGN(std::int64_t const amount,
                      OptionalInteger(body, "tokens", 1, 1, kMostTokens));
    engine_job job;
    job.mId = id;
    job.mReserveTokens = static_cast<tokens>(amount);
    job.mHoldOnly = true;
    if (!Submit(mEngine, job, mClock.Now())) {
      return Fail(error_kind::Overloaded, "no memory for this");
    }
    AnswerJson(aExchange, { { "held", id } });
    return {};
  }

  /// Keeps a stream's KV as an export under `export.ID` until it is released.
  result<void> Export(const exchange& aExchange)
  {
    BOOST_LEAF_ASSIGN(json const body, ParseObject(aExchange->Body()));
    BOOST_LEAF_ASSIGN(std::string const id, RequiredText(body, "id"));
    const auto job = mEngine.mJobs.find(id);
    if (job == mEngine.mJobs.end()) {
      return Fail(error_kind::NotFound, "no such stream");
    }
    engine_job kept;
    kept.mId = "export." + id;
    kept.mReserveTokens = job->second.mJob.mReserveTokens;
    kept.mHoldOnly = true;
    if (!Submit(mEngine, kept, mClock.Now())) {
      return Fail(error_kind::Overloaded, "no memory for the export");
    }
    AnswerJson(aExchange,
               { { "id", kept.mId }, { "tokens", kept.mReserveTokens } });
    return {};
  }

  /// The load as it was half a second ago.
  result<void> Load(const exchange& aExchange)
  {
    const time_point now = mClock.Now();
    json shown = { { "running", mEngine.mJobs.size() },
                   { "used_tokens", mEngine.mUsed },
                   { "capacity_tokens", mEngine.mShape.mCapacity },
                   { "unread_tokens", PendingPrefillTokens(mEngine) },
                   { "steps", mEngine.mSteps } };
    mLoads.push_back({ now, shown });
    while (mLoads.size() > 1 && now - mLoads[1].first >= kLoadLag) {
      mLoads.pop_front();
    }
    AnswerJson(aExchange, mLoads.front().second);
    return {};
  }

  result<void> Events(const exchange& aExchange)
  {
    const double after =
      ParseNumber(QueryValue(aExchange, "after")).value_or(0);
    json rows = json::array();
    for (const cache_event& event : mEvents) {
      if (static_cast<double>(event.mNumber) > after &&
          event.mVisible <= mClock.Now()) {
        rows.push_back(
          { { "number", event.mNumber }, { "cached", event.mPrefixHashes } });
      }
    }
    AnswerJson(aExchange, { { "events", rows } });
    return {};
  }

  result<void> Order(const exchange& aExchange)
  {
    BOOST_LEAF_ASSIGN(json const body, ParseObject(aExchange->Body()));
    BOOST_LEAF_ASSIGN(std::string const name, RequiredText(body, "order"));
    BOOST_LEAF_ASSIGN(std::string const value, RequiredText(body, "value"));
    BOOST_LEAF_ASSIGN(std::int64_t const fencing,
                      OptionalInteger(body, "fencing", 0, 0, INT64_MAX));
    order_state& state = mOrders[name];
    if (!mFaults.mIgnoreFencing && fencing < state.mFencing) {
      return Fail(error_kind::Conflict, "an old fencing number");
    }
    state = { value, fencing };
    AnswerJson(aExchange, { { "done", true } });
    return {};
  }

  result<void> State(const exchange& aExchange)
  {
    json orders = json::object();
    for (const auto& [name, state] : mOrders) {
      orders[name] = { { "value", state.mValue },
                       { "fencing", state.mFencing } };
    }
    AnswerJson(aExchange,
               { { "model", mModel },
                 { "capacity_tokens", mEngine.mShape.mCapacity },
                 { "orders", orders } });
    return {};
  }

  void SetTimer()
  {
    if (mTimer != 0 || !mEngine.mStepEnds) {
      return;
    }
    const std::int64_t wait = Milliseconds(*mEngine.mStepEnds - mClock.Now());
    mTimer = g_timeout_add(
      static_cast<guint>(std::max<std::int64_t>(0, wait)), &Step, this);
  }

  void StopTimer()
  {
    if (mTimer != 0) {
      g_source_remove(mTimer);
    }
  }

  static gboolean Step(gpointer aSelf)
  {
    engine_emulator* const self = static_cast<engine_emulator*>(aSelf);
    self->mTimer = 0;
    self->RunSteps();
    self->SetTimer();
    return G_SOURCE_REMOVE;
  }

  void RunSteps()
  {
    const time_point now = mClock.Now();
    if (mEngine.mStepEnds && now - *mEngine.mStepEnds > kMaxCatchUp) {
      mEngine.mStepEnds = now;
    }
    while (mEngine.mStepEnds && *mEngine.mStepEnds <= now) {
      for (const engine_output& output : Advance(mEngine, now)) {
        TakeOutput(output, now);
      }
    }
    std::erase_if(mStreams, [&](const auto& aItem) {
      return aItem.second.mDone &&
             now - aItem.second.mDoneAt > kFinishedStreamRetention;
    });
    mGone.clear();
  }

  void TakeOutput(const engine_output& aOutput, time_point aNow)
  {
    const auto found = mStreams.find(aOutput.mId);
    if (found == mStreams.end()) {
      return;
    }
    stream_state& stream = found->second;
    stream.mWritten = aOutput.mIndex + 1;
    if (aOutput.mLast) {
      stream.mDone = true;
      stream.mDoneAt = aNow;
    }
    if (aOutput.mIndex == 0) {
      Publish(stream.mPrefixHashes, aNow);
    }
    SendPendingTokens(stream);
  }

  void Publish(const std::vector<std::uint64_t>& aMarks, time_point aNow)
  {
    ++mEventNumber;
    constexpr std::uint64_t kGapEvery = 3;
    if (mFaults.mGapEvents && mEventNumber % kGapEvery == 0) {
      return;
    }
    constexpr std::size_t kMostEvents = 256;
    mEvents.push_back({ mEventNumber, aNow + kEventLag, aMarks });
    if (mEvents.size() > kMostEvents) {
      mEvents.pop_front();
    }
  }

  void SendPendingTokens(stream_state& aStream)
  {
    if (aStream.mReader == nullptr) {
      return;
    }
    while (aStream.mSent < aStream.mWritten) {
      const json event = {
        { "index", aStream.mSent },
        { "text", AnswerToken(aStream.mPromptHash, aStream.mSent) }
      };
      aStream.mReader->Send(FormatEvent(event.dump()));
      ++aStream.mSent;
      if (aStream.mCutHalfway && aStream.mSent >= (aStream.mOutput + 1) / 2) {
        aStream.mCutHalfway = false;
        aStream.mReader->EndStream();
        aStream.mReader = nullptr;
        return;
      }
    }
    if (aStream.mDone) {
      aStream.mReader->Send(FormatEvent("[DONE]"));
      aStream.mReader->EndStream();
      aStream.mReader = nullptr;
    }
  }

  const clock_source& mClock;
  std::string mModel;
  engine_model mEngine;
  std::map<std::string, stream_state> mStreams;
  std::vector<exchange> mGone;
  std::deque<std::pair<time_point, json>> mLoads;
  std::deque<cache_event> mEvents;
  std::map<std::string, order_state> mOrders;
  std::uint64_t mEventNumber = 0;
  guint mTimer = 0;
};

} // namespace

std::unique_ptr<face>
MakeEngineEmulator(const clock_source& aClock, const model_settings& aModel)
{
  return std::make_unique<engine_emulator>(aClock, aModel);
}

} // namespace primrose::standin
