#pragma once

/// Sends the planned requests and checks every answer: a completion must be
/// the whole and right answer to its own prompt, a guarded call must have been
/// executed once although it is sent twice, through two entries.

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
  std::size_t mEntry = 0;
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

/// The plan's requests in a shuffled order that its seed fixes.
std::vector<planned_request>
PlanRequests(const load_plan& aPlan);

/// A text of about so many tokens, different for each number.
std::string
MakePrompt(std::uint64_t aTokens, std::uint64_t aNumber);

class load_run
{
public:
  load_run(const clock_source& aClock, load_plan aPlan);

  /// Sends everything; `aProgress` is called after each answer.
  kj::Promise<void> Run(std::function<void(std::size_t)> aProgress);
  const std::vector<request_result>& Results() const { return mResults; }

  /// The time to the first token of a short streamed prompt through an entry,
  /// or straight from an engine where `aEngine` is not empty.
  kj::Promise<double> MeasureFirstToken(const std::string& aEngine,
                                        std::uint64_t aNumber);

private:
  kj::Promise<void> RunWorker();
  kj::Promise<request_result> Send(const planned_request& aRequest);
  kj::Promise<request_result> SendStreamed(const planned_request& aRequest);
  kj::Promise<request_result> SendPlain(const planned_request& aRequest);
  kj::Promise<request_result> SendCall(const planned_request& aRequest);
  kj::Promise<request_result> SendGuarded(const planned_request& aRequest);
  http_request CompletionRequest(const planned_request& aRequest,
                                 const std::string& aPrompt,
                                 bool aStream) const;
  http_request CallRequest(const planned_request& aRequest,
                           std::size_t aEntry) const;

  const clock_source& mClock;
  load_plan mPlan;
  http_client mHttp;
  std::vector<planned_request> mRequests;
  std::size_t mNext = 0;
  std::vector<request_result> mResults;
  std::function<void(std::size_t)> mProgress;
};

} // namespace primrose::load
