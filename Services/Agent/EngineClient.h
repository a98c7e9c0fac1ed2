#pragma once

/// The agent's HTTP client for its engine: completions as event streams, and
/// requests for cancels, memory holds, load and cache events.

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

/// How a prompt or memory hold at the engine ended.
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
  /// Called for each chunk in order. The next chunk is read only after the
  /// promise has resolved, which applies back-pressure to the engine.
  using chunk_handler =
    std::function<kj::Promise<void>(std::uint64_t, std::string)>;

  engine_client(http_client& aHttp, std::string aAddress);

  /// Runs a prompt. A stream that breaks is resumed where it broke, as long as
  /// the engine still has it. The promise never fails; errors are reported in
  /// the result.
  kj::Promise<stream_end> Run(engine_request aRequest, chunk_handler aHandler);
  /// Ends a stream or memory hold. True if the engine confirmed it.
  kj::Promise<bool> Cancel(const std::string& aId);
  /// Reserves memory at the engine for a part of another engine's prompt.
  kj::Promise<bool> HoldMemory(const std::string& aId, tokens aTokens);
  /// The ids of all streams and holds that take memory in the engine; nullopt
  /// if the engine does not answer.
  kj::Promise<std::optional<std::set<std::string>>> ListMemoryHolders();
  /// The number of steps that the engine has executed; nullopt if it does not
  /// answer.
  kj::Promise<std::optional<std::uint64_t>> FetchStepCount();
  /// The hashes of the prefixes that the engine cached after the event number
  /// `aNumber`, which is advanced to the last event seen.
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
