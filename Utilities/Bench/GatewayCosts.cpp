/// Benchmarks of the gateway's work for each request and for each event of a
/// stream, as a function of the number of engines.

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
MakeRequest(double aTokens)
{
  placement_request request;
  request.mScope = { "model", {} };
  request.mPromptTokens = aTokens;
  request.mAnswerTokens = 1600;
  request.mLongestPause = std::chrono::milliseconds(250);
  request.mObjective = std::chrono::milliseconds(300);
  request.mWorth = WorthOfPrompt(aTokens);
  return request;
}

/// A fleet in which every third engine decodes ten streams.
struct loaded_fleet
{
  explicit loaded_fleet(std::int64_t aEngines)
  {
    for (std::int64_t i = 0; i < aEngines; ++i) {
      endpoint listed;
      listed.mId = fmt::format("i-{:08x}", i);
      listed.mService = "model";
      listed.mDataCentre = i % 2 == 0 ? "a" : "b";
      (void)ApplyRow(mEndpoints, { listed.mId, 1, listed });
      constexpr int kStreams = 10;
      for (int stream = 0; i % 3 == 0 && stream < kStreams; ++stream) {
        AddPlacement(mLedger, MakePlacement(EngineKey(listed.mId)), kStart);
      }
    }
  }

  placement MakePlacement(engine_key aEngine)
  {
    placement placed;
    placed.mKey = ++mLastKey;
    placed.mEngines.push_back(aEngine);
    placed.mPartPrefillMs = 1;
    placed.mLongestPause = std::chrono::milliseconds(250);
    placed.mWorth = 1;
    placed.mTokens = kShortPrompt;
    placed.mExpires = kStart + std::chrono::hours(1);
    return placed;
  }

  endpoint_registry mEndpoints;
  engine_ledger mLedger;
  placement_key mLastKey = 0;
};

void
PlaceAgainstEngines(benchmark::State& aState, double aTokens)
{
  loaded_fleet fleet(aState.range(0));
  const engine_timing timing = SampleEngine();
  const placement_request request = MakeRequest(aTokens);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(PlaceOnEngines(
      fleet.mEndpoints, fleet.mLedger, timing, request, {}, "a", kStart));
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
    const placement placed = fleet.MakePlacement(engine);
    AddPlacement(fleet.mLedger, placed, kStart);
    RemovePlacement(fleet.mLedger, placed.mKey, placement_end::Read, kStart);
  }
}
BENCHMARK(PlacementNotedAndEnded)->Arg(21)->Arg(1200);

/// Use of organisations on 69 engines at a load that exceeds them.
organisation_usage
ContendedUsage(std::int64_t aOrganisations)
{
  constexpr engine_key kEngines = 69;
  constexpr int kPlacements = 2000;
  constexpr std::uint32_t kFloodOneIn = 2;
  organisation_usage usage;
  for (engine_key engine = 0; engine < kEngines; ++engine) {
    AddEngineCapacity(usage, engine, CapacityOf(SampleEngine()), true);
  }
  placement placed;
  placed.mBegan = kStart;
  for (std::uint32_t i = 0; i < kPlacements; ++i) {
    placed.mEngines = { i % kEngines };
    placed.mClass.mOrganisation =
      i % kFloodOneIn == 0 ? 1
                           : 2 + i % static_cast<std::uint32_t>(aOrganisations);
    AddUse(usage, placed, kStart);
  }
  return usage;
}

void
OrganisationUseNoted(benchmark::State& aState)
{
  organisation_usage usage = ContendedUsage(aState.range(0));
  placement placed;
  placed.mBegan = kStart;
  placed.mEngines = { 1 };
  for (auto _ : aState) {
    placed.mClass.mOrganisation =
      2 + (placed.mClass.mOrganisation + 1) %
            static_cast<std::uint32_t>(aState.range(0));
    AddUse(usage, placed, kStart);
  }
}
BENCHMARK(OrganisationUseNoted)->Arg(24)->Arg(333)->Arg(2000);

void
ShareReserveInContention(benchmark::State& aState)
{
  const organisation_usage usage = ContendedUsage(aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ShareReserve(usage, 1, kStart));
  }
}
BENCHMARK(ShareReserveInContention)->Arg(24)->Arg(333)->Arg(2000);

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
  // The number of header fields that callers of both deployments send.
  constexpr int kFields = 6;
  for (int i = 0; i < kFields; ++i) {
    AppendField(text, fmt::format("Field-{}", i), "5c1e07a2:40,91bd3f06:4960");
  }
  text += "\r\n";
  forwarding_info forwardTo;
  forwardTo.mEndpointId = "i-7f3a91c2";
  forwardTo.mTimeLeft = std::chrono::seconds(9);
  forwardTo.mOrganisation = "hule930";
  for (auto _ : aState) {
    std::string bytes = text;
    http_reader reader(http_role::Request, http_limits{ 16384, 65536 });
    (void)reader.Read(bytes);
    benchmark::DoNotOptimize(
      platform::WriteRequest(reader.Head(), forwardTo, 0));
  }
}
BENCHMARK(HeadRewritten);

} // namespace
