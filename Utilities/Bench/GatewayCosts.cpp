/// What the gateway's decisions cost on each request and each event of a
/// stream, against the number of engines.

#include "SampleEngine.h"

#include "LibFleet/LibFleet.h"
#include "LibNet/LibNet.h"
#include "platform/Platform.h"

#include <benchmark/benchmark.h>
#include <spdlog/fmt/fmt.h>

using namespace primrose;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr double kShortPrompt = 5000;
constexpr double kLongPrompt = 154000;

placement_request
Work(double aTokens)
{
  placement_request work;
  work.mService = "model";
  work.mPromptTokens = aTokens;
  work.mAnswerTokens = 1600;
  work.mLongestPause = std::chrono::milliseconds(250);
  work.mObjective = std::chrono::milliseconds(300);
  work.mWorth = WorthOfPrompt(aTokens);
  return work;
}

/// Engines on a third of which ten streams each are written.
struct loaded_fleet
{
  explicit loaded_fleet(std::int64_t aEngines)
  {
    for (std::int64_t i = 0; i < aEngines; ++i) {
      endpoint listed;
      listed.mId = fmt::format("i-{:08x}", i);
      listed.mService = "model";
      listed.mDataCentre = i % 2 == 0 ? "a" : "b";
      (void)ApplyRow(mBoard, { listed.mId, 1, listed });
      constexpr int kStreams = 10;
      for (int stream = 0; i % 3 == 0 && stream < kStreams; ++stream) {
        AddPlacement(mLedger, Placed(EngineKey(listed.mId)), kStart);
      }
    }
  }

  placement Placed(engine_key aEngine)
  {
    placement placed;
    placed.mKey = ++mLast;
    placed.mEngines.push_back(aEngine);
    placed.mPartPrefillMs = 1;
    placed.mLongestPause = std::chrono::milliseconds(250);
    placed.mWorth = 1;
    placed.mTokens = kShortPrompt;
    placed.mExpires = kStart + std::chrono::hours(1);
    return placed;
  }

  endpoint_registry mBoard;
  engine_ledger mLedger;
  placement_key mLast = 0;
};

void
PlaceAgainstEngines(benchmark::State& aState, double aTokens)
{
  loaded_fleet fleet(aState.range(0));
  const engine_timing timing = SampleEngine();
  const placement_request work = Work(aTokens);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(PlaceOnEngines(
      fleet.mBoard, fleet.mLedger, timing, work, {}, "a", kStart));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK_CAPTURE(PlaceAgainstEngines, short_prompt, kShortPrompt)
  ->Arg(21)
  ->Arg(69)
  ->Arg(1200)
  ->Complexity();
BENCHMARK_CAPTURE(PlaceAgainstEngines, long_prompt, kLongPrompt)
  ->Arg(21)
  ->Arg(69)
  ->Arg(1200)
  ->Complexity();

void
PlacementNotedAndEnded(benchmark::State& aState)
{
  loaded_fleet fleet(aState.range(0));
  const engine_key engine = EngineKey("i-00000000");
  for (auto _ : aState) {
    const placement placed = fleet.Placed(engine);
    AddPlacement(fleet.mLedger, placed, kStart);
    RemovePlacement(fleet.mLedger, placed.mKey, placement_end::Read, kStart);
  }
}
BENCHMARK(PlacementNotedAndEnded)->Arg(21)->Arg(1200);

void
EventPassedOn(benchmark::State& aState)
{
  event_cursor cursor;
  std::uint64_t id = 0;
  for (auto _ : aState) {
    std::string bytes =
      fmt::format("id: {}\ndata: {}\n\n", ++id, std::string(70, 'x'));
    std::string chunk;
    AppendChunk(chunk, cursor.TakeWholeEvents(bytes));
    benchmark::DoNotOptimize(chunk);
  }
}
BENCHMARK(EventPassedOn);

void
HeadRewritten(benchmark::State& aState)
{
  std::string text = "POST /route12/2f HTTP/1.1\r\nHost: h.example\r\n"
                     "Content-Length: 0\r\n";
  // As many fields as callers of both deployments send.
  constexpr int kFields = 6;
  for (int i = 0; i < kFields; ++i) {
    AppendField(text, fmt::format("Field-{}", i), "5c1e07a2:40,91bd3f06:4960");
  }
  text += "\r\n";
  forwarding_info to;
  to.mEndpointId = "i-7f3a91c2";
  to.mTimeLeft = std::chrono::seconds(9);
  to.mOrganisation = "hule930";
  for (auto _ : aState) {
    std::string bytes = text;
    http_reader reader(http_role::Request, http_limits{ 16384, 65536 });
    (void)reader.Read(bytes);
    benchmark::DoNotOptimize(platform::WriteRequest(reader.Head(), to, 0));
  }
}
BENCHMARK(HeadRewritten);

} // namespace
