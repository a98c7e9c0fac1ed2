/// primrose-costs: what decisions cost in time and memory, against the number
/// of what they look at. docs/CAPACITY.md is worked out from its slopes.

#include "LibDaemon/LibDaemon.h"
#include "LibDecision/LibDecision.h"
#include "LibRules/LibRules.h"
#include "LibSettings/LibSettings.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <spdlog/fmt/fmt.h>

#include <memory>

using namespace primrose;

namespace {

constexpr time_point kStart{ std::chrono::hours(1) };

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

request_shape
Shape(tokens aPrompt)
{
  request_shape shape;
  shape.mModel = "model";
  shape.mOrganisation = "organisation";
  shape.mPromptTokens = aPrompt;
  shape.mMaxTokens = 200;
  shape.mPrefixHashes = { 1, 2, 3 };
  return shape;
}

reservation
Asked(int aNumber)
{
  reservation asked;
  asked.mRequest = "entry-001.mapo.abcdef01.123456";
  asked.mAttempt = fmt::format("entry-001-a.abcdef01.{}", aNumber);
  asked.mShape = Shape(3000);
  asked.mDeadline = kStart + std::chrono::hours(1);
  asked.mWaitUntil = kStart + std::chrono::hours(1);
  asked.mLease = std::chrono::hours(1);
  return asked;
}

agent_state
AgentWithReservations(int aWork)
{
  engine_shape shape;
  shape.mCapacity = 100000000;
  shape.mLargestBatch = 100000;
  agent_limits limits;
  limits.mMaxQueueLength = 100000;
  agent_state board = MakeAgentState("model", shape, limits, time_point{});
  for (int i = 0; i < aWork; ++i) {
    Reserve(board, Asked(i), kStart);
  }
  return board;
}

std::vector<listed_endpoint>
Endpoints(std::int64_t aCount)
{
  std::vector<listed_endpoint> list;
  for (std::int64_t i = 0; i < aCount; ++i) {
    list.push_back({ fmt::format("vm-{:05}.mapo", i),
                     fmt::format("10.0.{}.{}:7000", i / 250, i % 250),
                     fmt::format("model-{}", i % 5),
                     "seoul-metro",
                     "mapo",
                     vm_kind::Engine,
                     false });
  }
  return list;
}

json
TreeOf(std::int64_t aOrganisations)
{
  json organisations = json::object();
  for (std::int64_t i = 0; i < aOrganisations; ++i) {
    json services = json::object();
    for (int model = 0; model < 5; ++model) {
      services[fmt::format("model-{}", model)] = {
        { "values", { { "priority", 1 }, { "time_limit_s", 60 } } }
      };
    }
    const std::string name = fmt::format("organisation-{:04}", i);
    organisations[name] = { { "key_sha256", { KeyHash(name) } },
                            { "values", { { "share_weight", 2 } } },
                            { "services", services } };
  }
  json models = json::object();
  for (int model = 0; model < 5; ++model) {
    models[fmt::format("model-{}", model)] = json::object();
  }
  return { { "models", models }, { "organisations", organisations } };
}

void
ProbeAgainstWork(benchmark::State& aState)
{
  agent_state board = AgentWithReservations(static_cast<int>(aState.range(0)));
  const request_shape shape = Shape(3000);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(Probe(board, shape, kStart));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(ProbeAgainstWork)->RangeMultiplier(4)->Range(8, 512)->Complexity();

void
DispatchAgainstQueue(benchmark::State& aState)
{
  for (auto _ : aState) {
    aState.PauseTiming();
    agent_state board =
      AgentWithReservations(static_cast<int>(aState.range(0)));
    aState.ResumeTiming();
    benchmark::DoNotOptimize(Dispatch(board, kStart));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(DispatchAgainstQueue)
  ->RangeMultiplier(4)
  ->Range(8, 512)
  ->Complexity();

void
ReservationMemory(benchmark::State& aState)
{
  const int count = static_cast<int>(aState.range(0));
  double bytes = 0;
  for (auto _ : aState) {
    const double before = HeapBytes();
    const agent_state board = AgentWithReservations(count);
    bytes = HeapBytes() - before;
    benchmark::DoNotOptimize(&board);
  }
  aState.counters["bytes_each"] = bytes / count;
}
BENCHMARK(ReservationMemory)->Arg(64)->Arg(512);

void
UsableAgainstEndpoints(benchmark::State& aState)
{
  endpoint_directory directory;
  ApplyList(directory, Endpoints(aState.range(0)), kStart);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(Usable(directory, "model-1", kStart));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(UsableAgainstEndpoints)->Arg(10)->Arg(100)->Arg(1200)->Complexity();

void
ApplyListAgainstEndpoints(benchmark::State& aState)
{
  endpoint_directory directory;
  const std::vector<listed_endpoint> list = Endpoints(aState.range(0));
  const double before = HeapBytes();
  ApplyList(directory, list, kStart);
  aState.counters["bytes_each"] =
    (HeapBytes() - before) / static_cast<double>(aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ApplyList(directory, list, kStart));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(ApplyListAgainstEndpoints)
  ->Arg(10)
  ->Arg(100)
  ->Arg(1550)
  ->Complexity();

void
ChooseAgainstEndpoints(benchmark::State& aState)
{
  std::vector<std::string> names;
  for (const listed_endpoint& one : Endpoints(aState.range(0))) {
    names.push_back(one.mName);
  }
  random_engine random(1);
  const request_shape shape = Shape(3000);
  const placement_state memory;
  const placement_rules rules;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      ChooseProbeTargets(names, shape, rules, memory, 1, random));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(ChooseAgainstEndpoints)
  ->Arg(10)
  ->Arg(100)
  ->Arg(240)
  ->Arg(1200)
  ->Complexity();

void
RankAgainstCandidates(benchmark::State& aState)
{
  std::vector<candidate> candidates;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    candidate one;
    one.mIndex = static_cast<std::size_t>(i);
    one.mAnswer.mFirstTokenSeconds = static_cast<double>(i * 7919 % 100);
    candidates.push_back(one);
  }
  const request_shape shape = Shape(3000);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(RankCandidates(
      candidates, shape, placement_rules{}, engine_shape{}, false));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(RankAgainstCandidates)->Arg(4)->Arg(24)->Arg(64)->Complexity();

void
ResolveAgainstOrganisations(benchmark::State& aState)
{
  const json document = TreeOf(aState.range(0));
  settings_problems problems;
  const double before = HeapBytes();
  const std::unique_ptr<settings_tree> tree =
    std::make_unique<settings_tree>(settings_tree::Read(document, problems));
  aState.counters["tree_bytes"] = HeapBytes() - before;
  aState.counters["document_bytes"] =
    static_cast<double>(document.dump().size());
  const tree_path path{ "organisation-0003", "model-2", "" };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(tree->Resolve(path));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(ResolveAgainstOrganisations)
  ->Arg(10)
  ->Arg(200)
  ->Arg(2000)
  ->Complexity();

void
ReadTreeAgainstOrganisations(benchmark::State& aState)
{
  const json document = TreeOf(aState.range(0));
  for (auto _ : aState) {
    settings_problems problems;
    benchmark::DoNotOptimize(settings_tree::Read(document, problems));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(ReadTreeAgainstOrganisations)
  ->Arg(10)
  ->Arg(200)
  ->Arg(2000)
  ->Complexity();

void
AdmitAgainstOrganisations(benchmark::State& aState)
{
  std::map<std::string, organisation_usage> uses;
  const double before = HeapBytes();
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    uses[fmt::format("organisation-{:04}", i)] = {};
  }
  aState.counters["bytes_each"] =
    (HeapBytes() - before) / static_cast<double>(aState.range(0));
  const organisation_limits limits{ 1e9, 1e12, 0.01 };
  for (auto _ : aState) {
    organisation_usage& use = uses["organisation-0003"];
    benchmark::DoNotOptimize(Admit(use, limits, 100, kStart));
    ReleaseAdmittedTokens(use, 100);
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(AdmitAgainstOrganisations)
  ->Arg(10)
  ->Arg(200)
  ->Arg(2000)
  ->Complexity();

void
MarksAgainstTokens(benchmark::State& aState)
{
  const std::string prompt(static_cast<std::size_t>(aState.range(0)) * 4, 'a');
  for (auto _ : aState) {
    benchmark::DoNotOptimize(PrefixHashes(prompt));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(MarksAgainstTokens)
  ->Arg(1000)
  ->Arg(100000)
  ->Arg(1000000)
  ->Complexity();

void
ExplainMemory(benchmark::State& aState)
{
  double bytes = 0;
  for (auto _ : aState) {
    const double before = HeapBytes();
    decision_log log(static_cast<std::size_t>(aState.range(0)));
    for (std::int64_t i = 0; i < aState.range(0); ++i) {
      const std::string request = fmt::format("entry-001.abcdef01.{}", i);
      for (int kind = 0; kind < 3; ++kind) {
        decision_record record;
        record.mText = "asked 4 of 240 endpoints, 0 did not answer; 1 wanted";
        record.mCauses.assign(4, { "short_protection", "default", 1 });
        record.mAlternatives.assign(
          kind == 1 ? 4 : 0,
          { "vm-00001.mapo", 1, "first token 0.100 s, 3 running, 0 cached" });
        log.Add(request, std::move(record));
      }
    }
    bytes = HeapBytes() - before;
    benchmark::DoNotOptimize(&log);
  }
  aState.counters["bytes_each"] = bytes / static_cast<double>(aState.range(0));
}
BENCHMARK(ExplainMemory)->Arg(256)->Arg(4096);

void
ClaimsAgainstWaiting(benchmark::State& aState)
{
  for (auto _ : aState) {
    aState.PauseTiming();
    claim_registry board;
    for (std::int64_t i = 0; i < aState.range(0); ++i) {
      QueueClaim(board,
                 fmt::format("key-{}", i),
                 fmt::format("attempt-{}", i),
                 1,
                 kStart + std::chrono::hours(1),
                 kStart,
                 wall_time{});
    }
    aState.ResumeTiming();
    benchmark::DoNotOptimize(TakeWrites(board, kStart));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(ClaimsAgainstWaiting)->Arg(1)->Arg(10)->Arg(100)->Complexity();

/// An agent that only answers probes, for the cost of a connection.
class stub_agent final : public wire::Agent::Server
{
public:
  kj::Promise<void> probe(ProbeContext aContext) override
  {
    ToWire(probe_answer{}, aContext.getResults().initAnswer());
    return kj::READY_NOW;
  }
};

class stub_gate final : public wire::Gate::Server
{
public:
  kj::Promise<void> open(OpenContext aContext) override
  {
    aContext.getResults().setAgent(kj::heap<stub_agent>());
    return kj::READY_NOW;
  }
};

main_loop&
Loop()
{
  static main_loop loop;
  return loop;
}

kj::Promise<probe_answer>
ProbeOver(agent_connection& aLink)
{
  return aLink.Get().then([](wire::Agent::Client aAgent) {
    auto request = aAgent.probeRequest();
    ToWire(Shape(3000), request.initQuery());
    return request.send().then(
      [](capnp::Response<wire::Agent::ProbeResults> aResponse) {
        return FromWire(aResponse.getAnswer());
      });
  });
}

/// Both ends are in this process, so an end costs half of what is counted.
void
ConnectionMemory(benchmark::State& aState)
{
  main_loop& loop = Loop();
  double bytes = 0;
  for (auto _ : aState) {
    const outcome<std::unique_ptr<rpc_server>> server =
      Capture<std::unique_ptr<rpc_server>>([]() {
        return rpc_server::Open({ "127.0.0.1", 0 }, kj::heap<stub_gate>());
      });
    const double before = HeapBytes();
    std::vector<std::unique_ptr<agent_connection>> links;
    for (std::int64_t i = 0; i < aState.range(0); ++i) {
      links.push_back(std::make_unique<agent_connection>(
        (*server.mValue)->Address(), "key", "caller"));
      ProbeOver(*links.back()).wait(loop.Scope());
    }
    bytes = HeapBytes() - before;
  }
  aState.counters["bytes_each"] = bytes / static_cast<double>(aState.range(0));
}
BENCHMARK(ConnectionMemory)->Arg(10)->Arg(100)->Arg(300)->Iterations(1);

void
ProbeOverLoopback(benchmark::State& aState)
{
  main_loop& loop = Loop();
  const outcome<std::unique_ptr<rpc_server>> server =
    Capture<std::unique_ptr<rpc_server>>([]() {
      return rpc_server::Open({ "127.0.0.1", 0 }, kj::heap<stub_gate>());
    });
  agent_connection link((*server.mValue)->Address(), "key", "caller");
  ProbeOver(link).wait(loop.Scope());
  const stream_traffic before = TotalTraffic();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ProbeOver(link).wait(loop.Scope()));
  }
  const double sent = static_cast<double>(TotalTraffic().mSent - before.mSent);
  aState.counters["bytes_each"] =
    sent / static_cast<double>(aState.iterations());
}
BENCHMARK(ProbeOverLoopback);

} // namespace

BENCHMARK_MAIN();
