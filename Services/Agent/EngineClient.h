#pragma once

/// The agent's link to its engine: HTTP requests and event streams.

#include "LibDecision/LibDecision.h"
#include "LibHttp/LibHttp.h"
#include "LibWire/LibWire.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace primrose::agent {

struct engine_request
{
  std::string mId;
  std::string mPrompt;
  tokens mMaxTokens = 0;
  unsigned mPriority = 1;
  std::vector<std::string> mMembers;

  bool operator==(const engine_request&) const = default;
};

/// How a stream from the engine ended.
struct stream_end
{
  bool mComplete = false;
  std::uint64_t mChunks = 0;
  ran_state mRan = ran_state::No;
  std::string mProblem;
  bool mUnreachable = false; ///< No connection to the engine was made.

  bool operator==(const stream_end&) const = default;
};

class engine_client
{
public:
  /// Takes each chunk in order; the stream is read on when the promise
  /// resolves, which is how back-pressure reaches the engine.
  using chunk_handler =
    std::function<kj::Promise<void>(std::uint64_t, std::string)>;

  engine_client(http_client& aHttp, std::string aAddress);

  /// Runs a prompt. A stream that breaks is resumed where it broke, as long as
  /// the engine still has it. Never fails; the end says what happened.
  kj::Promise<stream_end> Run(engine_request aRequest, chunk_handler aHandler);
  /// Ends a stream or hold. True once the engine has said so.
  kj::Promise<bool> Cancel(const std::string& aId);
  kj::Promise<bool> Hold(const std::string& aId, tokens aTokens);
  /// The ids of all that holds memory in the engine; nothing if it is silent.
  kj::Promise<std::optional<std::set<std::string>>> List();
  /// Whether the engine answers, and the count of steps it has done.
  kj::Promise<std::optional<std::uint64_t>> Steps();
  /// The prefixes that the engine says it cached after an event number; the
  /// number is moved on.
  kj::Promise<std::vector<std::uint64_t>> FetchCachedPrefixes(
    std::uint64_t& aNumber);

  const std::string& Address() const { return mAddress; }

private:
  struct run;
  kj::Promise<stream_end> ReadNextEvents(kj::Own<run> aRun);
  kj::Promise<stream_end> DeliverEvents(kj::Own<run> aRun,
                                        std::vector<std::string> aEvents,
                                        std::size_t aNext);
  kj::Promise<stream_end> Resume(kj::Own<run> aRun);
  kj::Promise<std::optional<json>> GetJson(const std::string& aPath);
  kj::Promise<bool> PostJson(const std::string& aPath, const json& aBody);

  http_client& mHttp;
  std::string mAddress;
  std::string mUrl;
};

} // namespace primrose::agent
