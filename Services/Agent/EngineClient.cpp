#include "EngineClient.h"

#include "LibObserve/LibObserve.h"

#include <spdlog/fmt/fmt.h>

namespace primrose::agent {

namespace {

constexpr duration kEngineCallTimeout = std::chrono::seconds(2);
constexpr unsigned kMaxResumes = 3;
constexpr std::size_t kMaxAnswerBytes = std::size_t{ 4 } * 1024 * 1024;
constexpr std::string_view kEndOfStream = "[DONE]";
constexpr unsigned kHttpOk = 200;

} // namespace

/// The state of a running prompt: its stream, what was received so far, and
/// how often the stream was resumed.
struct engine_client::run
{
  engine_request mRequest;
  chunk_handler mHandler;
  kj::Own<http_stream> mStream;
  sse_parser mParser;
  stream_end mEnd;
  unsigned mResumes = 0;
};

engine_client::engine_client(http_client& aHttp, std::string aAddress)
  : mHttp(aHttp)
  , mAddress(std::move(aAddress))
  , mUrl("http://" + mAddress)
{
}

kj::Promise<stream_end>
engine_client::Run(engine_request aRequest, chunk_handler aHandler)
{
  http_request request{ "POST", mUrl + "/v1/completions" };
  request.mBody = json{
    { "id", aRequest.mId },
    { "prompt", aRequest.mPrompt },
    { "max_tokens", aRequest.mMaxTokens },
    { "priority", aRequest.mPriority },
    { "members", aRequest.mMembers }
  }.dump(-1, ' ', false, json::error_handler_t::replace);
  kj::Own<run> state = kj::heap<run>();
  aRequest.mPrompt.clear();
  state->mRequest = std::move(aRequest);
  state->mHandler = std::move(aHandler);
  // From here on the engine may have received the request, even if no answer
  // arrives.
  state->mEnd.mRan = ran_state::Unknown;
  return mHttp.Open(std::move(request))
    .then(
      [this, state = kj::mv(state)](
        kj::Own<http_stream> aStream) mutable -> kj::Promise<stream_end> {
        if (aStream->Status() != kHttpOk) {
          // An error status means that the engine refused before it started.
          state->mEnd.mRan = ran_state::No;
          state->mEnd.mProblem =
            fmt::format("the engine answered {}", aStream->Status());
          return state->mEnd;
        }
        state->mStream = kj::mv(aStream);
        return ReadNextEvents(kj::mv(state));
      },
      [](kj::Exception&& aException) -> kj::Promise<stream_end> {
        stream_end end;
        end.mRan = ran_state::Unknown;
        end.mUnreachable = true;
        end.mProblem = aException.getDescription().cStr();
        return end;
      });
}

kj::Promise<stream_end>
engine_client::ReadNextEvents(kj::Own<run> aRun)
{
  run& state = *aRun;
  return state.mStream->Read()
    .catch_([](kj::Exception&&) { return std::string(); })
    .then([this, own = kj::mv(aRun)](
            std::string aBytes) mutable -> kj::Promise<stream_end> {
      if (aBytes.empty()) {
        return Resume(kj::mv(own));
      }
      outcome<std::vector<std::string>> events =
        Capture<std::vector<std::string>>(
          [&]() { return own->mParser.Feed(aBytes); });
      if (!events) {
        own->mEnd.mProblem = events.mFailure.mMessage;
        return own->mEnd;
      }
      return DeliverEvents(kj::mv(own), std::move(*events.mValue), 0);
    });
}

kj::Promise<stream_end>
engine_client::DeliverEvents(kj::Own<run> aRun,
                             std::vector<std::string> aEvents,
                             std::size_t aNext)
{
  stream_end& end = aRun->mEnd;
  if (aNext == aEvents.size()) {
    return ReadNextEvents(kj::mv(aRun));
  }
  if (aEvents[aNext] == kEndOfStream) {
    end.mComplete = end.mChunks > 0;
    return end;
  }
  const json event = json::parse(aEvents[aNext], nullptr, false);
  const bool valid = event.is_object() && event.contains("index") &&
                     event["index"].is_number_unsigned() &&
                     event.contains("text") && event["text"].is_string();
  if (!valid) {
    end.mProblem = "the engine sent an event that is not understood";
    return end;
  }
  const std::uint64_t index = event["index"].get<std::uint64_t>();
  if (index < end.mChunks) {
    // After a resume the engine may send chunks again that were delivered
    // already.
    return DeliverEvents(kj::mv(aRun), std::move(aEvents), aNext + 1);
  }
  if (index > end.mChunks) {
    end.mProblem = "the engine left out a part of the answer";
    return end;
  }
  end.mRan = ran_state::Yes;
  ++end.mChunks;
  return aRun->mHandler(index, event["text"].get<std::string>())
    .then(
      [this, own = kj::mv(aRun), events = std::move(aEvents), aNext]() mutable {
        return DeliverEvents(kj::mv(own), std::move(events), aNext + 1);
      });
}

kj::Promise<stream_end>
engine_client::Resume(kj::Own<run> aRun)
{
  run& state = *aRun;
  state.mStream = nullptr;
  state.mParser = sse_parser();
  if (state.mResumes == kMaxResumes) {
    state.mEnd.mProblem = "the stream broke too often";
    return state.mEnd;
  }
  ++state.mResumes;
  Log(log_level::Warning,
      "stream_resumed",
      { { "attempt", state.mRequest.mId }, { "from", state.mEnd.mChunks } });
  http_request request{ "GET",
                        fmt::format("{}/v1/streams/resume?id={}&from={}",
                                    mUrl,
                                    state.mRequest.mId,
                                    state.mEnd.mChunks) };
  return mHttp.Open(std::move(request))
    .then([](kj::Own<http_stream> aStream) -> kj::Maybe<kj::Own<http_stream>> {
      return kj::mv(aStream);
    })
    .catch_([](kj::Exception&&) -> kj::Maybe<kj::Own<http_stream>> {
      return nullptr;
    })
    .then([this,
           own = kj::mv(aRun)](kj::Maybe<kj::Own<http_stream>> aStream) mutable
          -> kj::Promise<stream_end> {
      KJ_IF_MAYBE (stream, aStream) {
        if ((*stream)->Status() == kHttpOk) {
          own->mStream = kj::mv(*stream);
          return ReadNextEvents(kj::mv(own));
        }
      }
      own->mEnd.mProblem = "the engine lost the stream";
      return own->mEnd;
    });
}

kj::Promise<std::optional<json>>
engine_client::GetJson(const std::string& aPath)
{
  return WithTimeout(
           mHttp.Send(http_request{ "GET", mUrl + aPath }, kMaxAnswerBytes),
           kEngineCallTimeout)
    .then([](http_response aResponse) -> std::optional<json> {
      json body = json::parse(aResponse.mBody, nullptr, false);
      if (aResponse.mStatus != kHttpOk || !body.is_object()) {
        return std::nullopt;
      }
      return body;
    })
    .catch_(
      [](kj::Exception&&) -> std::optional<json> { return std::nullopt; });
}

kj::Promise<bool>
engine_client::PostJson(const std::string& aPath, const json& aBody)
{
  http_request request{ "POST", mUrl + aPath };
  request.mBody = aBody.dump();
  return WithTimeout(mHttp.Send(std::move(request), kMaxAnswerBytes),
                     kEngineCallTimeout)
    .then([](http_response aResponse) { return aResponse.mStatus == kHttpOk; })
    .catch_([](kj::Exception&&) { return false; });
}

kj::Promise<bool>
engine_client::Cancel(const std::string& aId)
{
  return PostJson("/v1/streams/cancel", { { "id", aId } });
}

kj::Promise<bool>
engine_client::HoldMemory(const std::string& aId, tokens aTokens)
{
  return PostJson("/v1/kv/hold", { { "id", aId }, { "tokens", aTokens } });
}

kj::Promise<std::optional<std::set<std::string>>>
engine_client::ListMemoryHolders()
{
  return GetJson("/v1/streams")
    .then(
      [](std::optional<json> aBody) -> std::optional<std::set<std::string>> {
        if (!aBody) {
          return std::nullopt;
        }
        std::set<std::string> ids;
        for (const char* const kind : { "streams", "holds" }) {
          for (const json& row : aBody->value(kind, json::array())) {
            ids.insert(row.value("id", ""));
          }
        }
        return ids;
      });
}

kj::Promise<std::optional<std::uint64_t>>
engine_client::FetchStepCount()
{
  return GetJson("/v1/load")
    .then([](std::optional<json> aBody) -> std::optional<std::uint64_t> {
      if (!aBody) {
        return std::nullopt;
      }
      return aBody->value("steps", std::uint64_t{ 0 });
    });
}

kj::Promise<std::vector<std::uint64_t>>
engine_client::FetchCachedPrefixes(std::uint64_t& aNumber)
{
  return GetJson(fmt::format("/v1/events?after={}", aNumber))
    .then([&aNumber](std::optional<json> aBody) {
      std::vector<std::uint64_t> marks;
      if (!aBody) {
        return marks;
      }
      for (const json& event : aBody->value("events", json::array())) {
        aNumber = std::max(aNumber, event.value("number", std::uint64_t{ 0 }));
        for (const json& mark : event.value("cached", json::array())) {
          marks.push_back(mark.get<std::uint64_t>());
        }
      }
      return marks;
    });
}

} // namespace primrose::agent
