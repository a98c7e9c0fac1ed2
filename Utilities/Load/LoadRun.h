#pragma once

/// Sends the planned requests and checks every answer. A completion must be
/// complete and match its prompt. A guarded call is sent twice, through two
/// gateways, and must have been executed once.

#include "LoadPlan.h"

#include "LibDaemon/LibDaemon.h"
#include "LibHttp/LibHttp.h"

namespace primrose::load {

enum class request_kind : std::uint8_t
{
  Plain,
  Streamed,
  Call,
  GuardedCall,
};

std::string_view
KindName(request_kind aKind);

struct planned_request
{
  request_kind mKind = request_kind::Plain;
  std::uint64_t mTokens = 0;
  std::size_t mCaller = 0;
  std::size_t mGateway = 0;
  std::uint64_t mNumber = 0;

  bool operator==(const planned_request&) const = default;
};

struct request_result
{
  planned_request mRequest;
  bool mCorrect = false;
  std::string mProblem;
  double mFirstTokenSeconds = 0; ///< Streamed requests only.
  double mSeconds = 0;

  bool operator==(const request_result&) const = default;
};

/// Returns the plan's requests, shuffled with the plan's seed.
std::vector<planned_request>
PlanRequests(const load_plan& aPlan);

/// Returns a text of about `aTokens` tokens that is different for each number.
std::string
MakePrompt(std::uint64_t aTokens, std::uint64_t aNumber);

class load_run
{
public:
  load_run(const clock_source& aClock, load_plan aPlan);

  /// Sends all requests. After each answer `aProgress` is called with the
  /// number of requests that have ended.
  kj::Promise<void> Run(std::function<void(std::size_t)> aProgress);
  const std::vector<request_result>& Results() const { return mResults; }

  /// Measures the seconds to the first token of a short streamed prompt, sent
  /// through a gateway or, if `aEngine` is not empty, directly to that engine.
  kj::Promise<double> MeasureFirstToken(const std::string& aEngine,
                                        std::uint64_t aNumber);

private:
  kj::Promise<void> RunWorker();
  kj::Promise<request_result> Send(const planned_request& aRequest);
  kj::Promise<request_result> SendStreamed(const planned_request& aRequest);
  kj::Promise<request_result> SendPlain(const planned_request& aRequest);
  kj::Promise<request_result> SendCall(const planned_request& aRequest);
  kj::Promise<request_result> SendGuarded(const planned_request& aRequest);
  http_request MakeCompletionRequest(const planned_request& aRequest,
                                     const std::string& aPrompt,
                                     bool aStream) const;
  http_request MakeCallRequest(const planned_request& aRequest,
                               std::size_t aGateway) const;

  const clock_source& mClock;
  load_plan mPlan;
  http_client mHttp;
  std::vector<planned_request> mRequests;
  std::size_t mNextRequest = 0;
  std::vector<request_result> mResults;
  std::function<void(std::size_t)> mProgress;
};

} // namespace primrose::load
