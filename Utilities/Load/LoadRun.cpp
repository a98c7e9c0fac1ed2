#include "LoadRun.h"

#include "LibModel/LibModel.h"

#include <algorithm>
#include <array>
#include <spdlog/fmt/fmt.h>

namespace primrose::load {

namespace {

constexpr unsigned kStatusOk = 200;
constexpr std::string_view kEndOfStream = "[DONE]";
constexpr std::size_t kMaxReportedBytes = 160;

/// A streamed answer that is being received and checked.
struct checked_stream
{
  planned_request mRequest;
  kj::Own<http_stream> mStream;
  sse_parser mParser;
  std::string mText;
  std::string mExpected;
  time_point mStarted;
  request_result mResult;
  bool mEnded = false;
};

/// Handles the data of one event. Returns false if the event reports an error.
bool
HandleStreamEvent(checked_stream& aChecked,
                  const std::string& aData,
                  time_point aNow)
{
  if (aData == kEndOfStream) {
    aChecked.mEnded = true;
    return true;
  }
  const json event = json::parse(aData, nullptr, false);
  if (event.contains("error")) {
    aChecked.mResult.mProblem = aData.substr(0, kMaxReportedBytes);
    return false;
  }
  const json& choice = event.at("choices").at(0);
  if (!choice.at("finish_reason").is_null()) {
    return true;
  }
  if (aChecked.mText.empty()) {
    aChecked.mResult.mFirstTokenSeconds = Seconds(aNow - aChecked.mStarted);
  }
  aChecked.mText += choice.at("text").get<std::string>();
  return true;
}

void
CheckStream(checked_stream& aChecked, time_point aNow)
{
  request_result& result = aChecked.mResult;
  result.mSeconds = Seconds(aNow - aChecked.mStarted);
  if (!result.mProblem.empty()) {
    return;
  }
  if (!aChecked.mEnded) {
    result.mProblem = "the stream ended without [DONE]";
  } else if (aChecked.mText != aChecked.mExpected) {
    result.mProblem = "the answer is not the one to this prompt";
  } else {
    result.mCorrect = true;
  }
}

kj::Promise<request_result>
ReadStream(const clock_source& aClock, kj::Own<checked_stream> aChecked)
{
  checked_stream& checked = *aChecked;
  return checked.mStream->Read().then(
    [&aClock, owned = kj::mv(aChecked)](
      std::string aBytes) mutable -> kj::Promise<request_result> {
      if (aBytes.empty()) {
        CheckStream(*owned, aClock.Now());
        return owned->mResult;
      }
      const outcome<std::vector<std::string>> events =
        Capture<std::vector<std::string>>(
          [&]() { return owned->mParser.Feed(aBytes); });
      if (!events) {
        owned->mResult.mProblem = events.mFailure.mMessage;
        return owned->mResult;
      }
      for (const std::string& data : *events.mValue) {
        HandleStreamEvent(*owned, data, aClock.Now());
      }
      return ReadStream(aClock, kj::mv(owned));
    });
}

} // namespace

std::string_view
KindName(request_kind aKind)
{
  constexpr std::array<std::string_view, 4> kNames = {
    "plain", "streamed", "call", "guarded call"
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

std::vector<planned_request>
PlanRequests(const load_plan& aPlan)
{
  std::vector<planned_request> requests;
  const auto add = [&](request_kind aKind, std::uint64_t aTokens) {
    const std::uint64_t number = requests.size();
    requests.push_back({ aKind,
                         aTokens,
                         number % aPlan.mCallers.size(),
                         number % aPlan.mGateways.size(),
                         number });
  };
  for (const prompt_size& size : aPlan.mPromptSizes) {
    for (std::uint64_t i = 0; i < size.mCount; ++i) {
      constexpr std::uint64_t kStreamedOfThree = 2;
      const bool streamed = i % 3 < kStreamedOfThree;
      add(streamed ? request_kind::Streamed : request_kind::Plain,
          size.mTokens);
    }
  }
  for (std::uint64_t i = 0; i < aPlan.mPlainCalls; ++i) {
    add(request_kind::Call, 0);
  }
  for (std::uint64_t i = 0; i < aPlan.mGuardedCalls; ++i) {
    add(request_kind::GuardedCall, 0);
  }
  random_engine random(aPlan.mSeed);
  for (std::size_t i = requests.size(); i > 1; --i) {
    std::swap(requests[i - 1], requests[Below(random, i)]);
  }
  return requests;
}

std::string
MakePrompt(std::uint64_t aTokens, std::uint64_t aNumber)
{
  constexpr std::size_t kBytesPerToken = 4;
  std::string prompt = fmt::format("document {} ", aNumber);
  const std::size_t size = aTokens * kBytesPerToken;
  std::uint64_t line = 0;
  while (prompt.size() < size) {
    prompt += fmt::format("{:x} ", Hash(std::to_string(line), aNumber));
    ++line;
  }
  prompt.resize(size);
  return prompt;
}

load_run::load_run(const clock_source& aClock, load_plan aPlan)
  : mClock(aClock)
  , mPlan(std::move(aPlan))
  , mRequests(PlanRequests(mPlan))
{
}

kj::Promise<void>
load_run::Run(std::function<void(std::size_t)> aProgress)
{
  mProgress = std::move(aProgress);
  kj::Vector<kj::Promise<void>> workers;
  for (std::uint64_t i = 0; i < mPlan.mConcurrency; ++i) {
    workers.add(RunWorker());
  }
  return kj::joinPromises(workers.releaseAsArray());
}

kj::Promise<void>
load_run::RunWorker()
{
  if (mNextRequest == mRequests.size()) {
    return kj::READY_NOW;
  }
  const planned_request request = mRequests[mNextRequest++];
  return Send(request)
    .catch_([request](kj::Exception&& aException) {
      request_result failed;
      failed.mRequest = request;
      failed.mProblem = aException.getDescription().cStr();
      return failed;
    })
    .then([this](request_result aResult) {
      mResults.push_back(std::move(aResult));
      mProgress(mResults.size());
      return RunWorker();
    });
}

kj::Promise<request_result>
load_run::Send(const planned_request& aRequest)
{
  switch (aRequest.mKind) {
    case request_kind::Plain:
      return SendPlain(aRequest);
    case request_kind::Streamed:
      return SendStreamed(aRequest);
    case request_kind::Call:
      return SendCall(aRequest);
    case request_kind::GuardedCall:
      return SendGuarded(aRequest);
  }
  return KJ_EXCEPTION(FAILED, "no such kind of request");
}

http_request
load_run::MakeCompletionRequest(const planned_request& aRequest,
                                const std::string& aPrompt,
                                bool aStream) const
{
  http_request request{
    "POST", "http://" + mPlan.mGateways[aRequest.mGateway] + "/v1/completions"
  };
  request.mHeaders = {
    { "Authorization", "Bearer " + mPlan.mCallers[aRequest.mCaller].mKey },
    { "Request-Timeout", fmt::format("{}", mPlan.mTimeLimitSeconds) }
  };
  request.mBody = json{
    { "model", mPlan.mModel },
    { "prompt", aPrompt },
    { "max_tokens", mPlan.mOutputTokens },
    { "stream", aStream }
  }.dump();
  return request;
}

kj::Promise<request_result>
load_run::SendStreamed(const planned_request& aRequest)
{
  const std::string prompt = MakePrompt(aRequest.mTokens, aRequest.mNumber);
  kj::Own<checked_stream> checked = kj::heap<checked_stream>();
  checked->mResult.mRequest = aRequest;
  checked->mExpected = WholeAnswer(prompt, mPlan.mOutputTokens);
  checked->mStarted = mClock.Now();
  return mHttp.Open(MakeCompletionRequest(aRequest, prompt, true))
    .then([this, owned = kj::mv(checked)](kj::Own<http_stream> aStream) mutable
          -> kj::Promise<request_result> {
      if (aStream->Status() != kStatusOk) {
        owned->mResult.mProblem = fmt::format("status {}", aStream->Status());
        return owned->mResult;
      }
      owned->mStream = kj::mv(aStream);
      return ReadStream(mClock, kj::mv(owned));
    });
}

kj::Promise<request_result>
load_run::SendPlain(const planned_request& aRequest)
{
  const std::string prompt = MakePrompt(aRequest.mTokens, aRequest.mNumber);
  const std::string expected = WholeAnswer(prompt, mPlan.mOutputTokens);
  const time_point started = mClock.Now();
  return mHttp.Send(MakeCompletionRequest(aRequest, prompt, false))
    .then([this, aRequest, expected, started](http_response aResponse) {
      request_result result;
      result.mRequest = aRequest;
      result.mSeconds = Seconds(mClock.Now() - started);
      const json body = json::parse(aResponse.mBody, nullptr, false);
      if (aResponse.mStatus != kStatusOk || !body.contains("choices")) {
        result.mProblem = aResponse.mBody.substr(0, kMaxReportedBytes);
      } else if (body["choices"][0]["text"] != expected) {
        result.mProblem = "the answer is not the one to this prompt";
      } else {
        result.mCorrect = true;
      }
      return result;
    });
}

http_request
load_run::MakeCallRequest(const planned_request& aRequest,
                          std::size_t aGateway) const
{
  const bool guarded = aRequest.mKind == request_kind::GuardedCall;
  http_request request{ guarded ? "POST" : "GET",
                        fmt::format(
                          "http://{}/services/{}{}",
                          mPlan.mGateways[aGateway % mPlan.mGateways.size()],
                          mPlan.mService,
                          guarded ? mPlan.mGuardedPath : mPlan.mPlainPath) };
  request.mHeaders = {
    { "Authorization", "Bearer " + mPlan.mCallers[aRequest.mCaller].mKey },
    { "Request-Timeout", fmt::format("{}", mPlan.mTimeLimitSeconds) }
  };
  if (guarded) {
    request.mHeaders.emplace(
      "Idempotency-Key",
      fmt::format("load-{}-{}", mPlan.mSeed, aRequest.mNumber));
    request.mBody = "{\"visit\":1}";
  }
  return request;
}

kj::Promise<request_result>
load_run::SendCall(const planned_request& aRequest)
{
  const time_point started = mClock.Now();
  return mHttp.Send(MakeCallRequest(aRequest, aRequest.mGateway))
    .then([this, aRequest, started](http_response aResponse) {
      request_result result;
      result.mRequest = aRequest;
      result.mSeconds = Seconds(mClock.Now() - started);
      result.mCorrect = aResponse.mStatus == kStatusOk;
      if (!result.mCorrect) {
        result.mProblem = aResponse.mBody.substr(0, kMaxReportedBytes);
      }
      return result;
    });
}

kj::Promise<request_result>
load_run::SendGuarded(const planned_request& aRequest)
{
  const time_point started = mClock.Now();
  kj::Vector<kj::Promise<http_response>> both;
  both.add(mHttp.Send(MakeCallRequest(aRequest, aRequest.mGateway)));
  both.add(mHttp.Send(MakeCallRequest(aRequest, aRequest.mGateway + 1)));
  return kj::joinPromises(both.releaseAsArray())
    .then([this, aRequest, started](kj::Array<http_response> aResponses) {
      request_result result;
      result.mRequest = aRequest;
      result.mSeconds = Seconds(mClock.Now() - started);
      result.mCorrect = true;
      for (const http_response& response : aResponses) {
        const json body = json::parse(response.mBody, nullptr, false);
        const bool executedOnce = response.mStatus == kStatusOk &&
                                  body.is_object() &&
                                  body.value("execution", 0) == 1;
        if (!executedOnce) {
          result.mCorrect = false;
          result.mProblem = response.mBody.substr(0, kMaxReportedBytes);
        }
      }
      return result;
    });
}

kj::Promise<double>
load_run::MeasureFirstToken(const std::string& aEngine, std::uint64_t aNumber)
{
  constexpr std::uint64_t kShortPrompt = 1000;
  const std::string prompt = MakePrompt(kShortPrompt, aNumber);
  http_request request = MakeCompletionRequest({}, prompt, true);
  if (!aEngine.empty()) {
    request.mUrl = "http://" + aEngine + "/v1/completions";
    request.mBody = json{
      { "id", fmt::format("direct-{}", aNumber) },
      { "prompt", prompt },
      { "max_tokens", mPlan.mOutputTokens }
    }.dump();
  }
  const time_point started = mClock.Now();
  return mHttp.Open(std::move(request))
    .then([this, started](kj::Own<http_stream> aStream) {
      if (aStream->Status() != kStatusOk) {
        throw KJ_EXCEPTION(FAILED, "no stream", aStream->Status());
      }
      kj::Promise<std::string> first = aStream->Read();
      return first.then(
        [this, started, stream = kj::mv(aStream)](std::string aBytes) {
          if (aBytes.empty()) {
            throw KJ_EXCEPTION(FAILED, "the stream ended without an event");
          }
          return Seconds(mClock.Now() - started);
        });
    });
}

} // namespace primrose::load
