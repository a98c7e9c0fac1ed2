/// The promises, against the real processes: kills, pauses, cuts, lost
/// answers and outages.

#include "Fleet.h"

#include "LibModel/LibModel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <filesystem>
#include <fstream>

using namespace primrose;
using namespace primrose::test;

namespace {

/// One loop for the whole program: KJ allows one event loop in a thread.
main_loop&
Loop()
{
  static main_loop loop;
  return loop;
}

tokens
UsedByEngine(fleet& aFleet, const std::string& aEngine)
{
  return aFleet.GetJson(aEngine, "/v1/streams")["used_tokens"].get<tokens>();
}

tokens
UsedByAgent(fleet& aFleet, const std::string& aAgent)
{
  return aFleet.GetJson(aAgent, "/status")["used_tokens"].get<tokens>();
}

/// Waits until one of two has memory in use by this measure; gives its name.
std::string
BusyOne(fleet& aFleet,
        const std::string& aFirst,
        const std::string& aSecond,
        tokens (*aUsed)(fleet&, const std::string&))
{
  std::string busy;
  aFleet.Until("one of two works", [&]() {
    for (const std::string& one : { aFirst, aSecond }) {
      busy = aUsed(aFleet, one) > 0 ? one : busy;
    }
    return !busy.empty();
  });
  return busy;
}

int
Executions(fleet& aFleet, const std::string& aKey)
{
  return aFleet.GetJson("service-1", "/executions").value(aKey, 0);
}

void
ExpectWhole(const http_response& aResponse,
            const std::string& aPrompt,
            tokens aOutput)
{
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aResponse.mBody, 200U, aResponse.mStatus);
  const json body = json::parse(aResponse.mBody);
  CPPUNIT_ASSERT_EQUAL(WholeAnswer(aPrompt, aOutput),
                       body["choices"][0]["text"].get<std::string>());
}

} // namespace

class callers_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(callers_test);
  CPPUNIT_TEST(AnswersAreWholeAndOwn);
  CPPUNIT_TEST(WrongInputHasItsKind);
  CPPUNIT_TEST(PromptLargerThanTwoEngines);
  CPPUNIT_TEST(ExplainNamesTheSettings);
  CPPUNIT_TEST(OperatorsFacesNeedTheKey);
  CPPUNIT_TEST(ConnectionsDoNotPileUp);
  CPPUNIT_TEST(StandInFencesOrNot);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnswersAreWholeAndOwn()
  {
    fleet all(Loop(), { 2, 0, 1 });
    const std::string prompt = PromptOf(3000, "own");
    ExpectWhole(all.Send(all.Completion(1, prompt, 20, false)), prompt, 20);
    const http_response streamed =
      all.Send(all.Completion(1, prompt, 20, true));
    const std::vector<std::string> events = EventsOf(streamed.mBody);
    CPPUNIT_ASSERT_EQUAL(std::string("[DONE]"), events.back());
    CPPUNIT_ASSERT_EQUAL(WholeAnswer(prompt, 20), TextOf(events));
    CPPUNIT_ASSERT(streamed.mHeaders.contains("x-request-id"));
  }

  void WrongInputHasItsKind()
  {
    fleet all(Loop(), { 1, 1, 1 });
    const http_request good = all.Completion(1, "hello", 4, false);
    const auto expect = [&](const std::string& aKind,
                            const std::function<void(http_request&)>& aSpoil) {
      http_request spoiled = good;
      aSpoil(spoiled);
      const http_response answer = all.Send(std::move(spoiled));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.mBody, aKind, ErrorKind(answer));
      CPPUNIT_ASSERT_EQUAL(std::string("no"), ErrorRan(answer));
    };
    const auto body = [](const std::string& aText) {
      return [aText](http_request& aRequest) { aRequest.mBody = aText; };
    };
    const auto header = [](const std::string& aName,
                           const std::string& aValue) {
      return [aName, aValue](http_request& aRequest) {
        aRequest.mHeaders[aName] = aValue;
      };
    };
    expect("malformed_json", body("{\"model\":"));
    expect("wrong_type", body("[1]"));
    expect("missing_field", body("{\"model\":\"model\"}"));
    expect("wrong_type", body("{\"model\":\"model\",\"prompt\":7}"));
    expect("bad_value",
           body("{\"model\":\"model\",\"prompt\":\"a\",\"max_tokens\":0}"));
    expect("unknown_model", body("{\"model\":\"no\",\"prompt\":\"a\"}"));
    expect("unauthenticated", header("Authorization", "Bearer wrong"));
    expect("body_too_large", body(std::string(13 << 20, 'a')));
    expect(
      "prompt_too_long",
      body(json{ { "model", "model" }, { "prompt", std::string(4100000, 'a') } }
             .dump()));
    for (const char* const wrong : { "0", "-1", "soon", "nan", "1e9", "" }) {
      expect("bad_time_limit", header("Request-Timeout", wrong));
    }
    const std::string desk = "http://" + all.Address("entry-1") + "/services/";
    expect("missing_idempotency_key", [&](http_request& aRequest) {
      aRequest.mUrl = desk + "desk/check-in";
    });
    expect("unknown_service", [&](http_request& aRequest) {
      aRequest.mUrl = desk + "none/check-in";
    });
  }

  void PromptLargerThanTwoEngines()
  {
    fleet all(Loop(), { 3, 0, 1 });
    const std::string prompt = PromptOf(1000000, "million");
    ExpectWhole(all.Send(all.Completion(1, prompt, 8, false)), prompt, 8);
    for (const char* const engine : { "engine-1", "engine-2", "engine-3" }) {
      all.Until("all memory is given back",
                [&]() { return UsedByEngine(all, engine) == 0; });
    }
  }

  void ExplainNamesTheSettings()
  {
    fleet all(Loop(), { 1, 0, 1 });
    const http_response answer =
      all.Send(all.Completion(1, "explain me", 4, false));
    const std::string id = answer.mHeaders.at("x-request-id");
    const json explained = all.GetJson("entry-1", "/explain/" + id);
    std::set<std::string> settings;
    for (const json& decision : explained["decisions"]) {
      for (const json& cause : decision["settings"]) {
        settings.insert(cause["setting"].get<std::string>() + " from " +
                        cause["from"].get<std::string>());
      }
    }
    CPPUNIT_ASSERT(settings.contains("time_limit_s from fleet"));
    CPPUNIT_ASSERT(settings.contains("probes from default"));
  }

  void OperatorsFacesNeedTheKey()
  {
    fleet all(Loop(), { 1, 0, 1 });
    for (const char* const path : { "/status", "/drain", "/explain/x" }) {
      const http_response answer =
        all.Send({ "GET", "http://" + all.Address("entry-1") + path });
      CPPUNIT_ASSERT_EQUAL(std::string("forbidden"), ErrorKind(answer));
    }
    CPPUNIT_ASSERT_EQUAL(200U, all.Get("entry-1", "/healthz").mStatus);
    const std::string metrics = all.Get("entry-1", "/metrics").mBody;
    CPPUNIT_ASSERT(metrics.find("# TYPE") != std::string::npos);
  }

  /// The stand-in must be able to be either kind of engine that users have.
  void StandInFencesOrNot()
  {
    fleet all(Loop(), { 1, 0, 0 });
    const auto order = [&](int aFencing) {
      http_request request{
        "POST", "http://" + all.Address("engine-1") + "/v1/orders"
      };
      request.mBody = json{
        { "order", "adapter" }, { "value", "a" }, { "fencing", aFencing }
      }.dump();
      return all.Send(std::move(request)).mStatus;
    };
    CPPUNIT_ASSERT_EQUAL(200U, order(5));
    CPPUNIT_ASSERT_EQUAL(409U, order(4));
    all.Fault("engine-1", { { "ignore_fencing", true } });
    CPPUNIT_ASSERT_EQUAL(200U, order(4));
  }

  /// Symptom: the entry's processor time for a request grows with the number
  /// of requests before it (1.8 ms at first, 4.4 ms after three thousand).
  /// Sequence: many requests, each on a connection of its own.
  /// Cause: those connections stayed open, idle, on both sides.
  void ConnectionsDoNotPileUp()
  {
    fleet all(Loop(), { 1, 0, 1 });
    const int pid =
      json::parse(std::ifstream(all.Folder() + "/entry-1.address"))["pid"]
        .get<int>();
    const std::filesystem::path open("/proc/" + std::to_string(pid) + "/fd");
    const auto count = [&]() {
      return std::distance(std::filesystem::directory_iterator(open),
                           std::filesystem::directory_iterator());
    };
    all.Send(all.Completion(1, "first", 1, false));
    const auto before = count();
    for (int i = 0; i < 60; ++i) {
      all.Send(all.Completion(1, "again", 1, false));
    }
    all.Until("the connections are closed",
              [&]() { return count() < before + 20; });
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(callers_test, "callers");

class streams_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(streams_test);
  CPPUNIT_TEST(CutStreamIsResumed);
  CPPUNIT_TEST(HangupFreesTheEngine);
  CPPUNIT_TEST(DeadlineFreesTheEngine);
  CPPUNIT_TEST(DeadEngineIsRetriedElsewhere);
  CPPUNIT_TEST(BrokenStreamSaysSo);
  CPPUNIT_TEST(DeadEntryLeavesNothing);
  CPPUNIT_TEST(RestartedAgentFreesStrangers);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Symptom: an answer with a part missing, or one that begins anew.
  /// Sequence: the engine's connection is cut half-way; the engine goes on.
  /// Cause: treating the end of a connection as the end of the answer.
  void CutStreamIsResumed()
  {
    fleet all(Loop(), { 1, 0, 1 });
    all.Fault("engine-1", { { "cut_streams", 1 } });
    const std::string prompt = PromptOf(1000, "cut");
    const std::vector<std::string> events =
      EventsOf(all.Send(all.Completion(1, prompt, 30, true)).mBody);
    CPPUNIT_ASSERT_EQUAL(WholeAnswer(prompt, 30), TextOf(events));
    CPPUNIT_ASSERT_EQUAL(std::string("[DONE]"), events.back());
  }

  /// Symptom: engines work for callers that have gone.
  /// Sequence: a caller hangs up in mid-answer, or while it waits for a whole
  /// answer, when nothing is written to it that could fail.
  /// Cause: nobody looks at the caller's connection.
  void HangupFreesTheEngine()
  {
    fleet all(Loop(), { 1, 0, 1 });
    for (const bool streamed : { true, false }) {
      {
        kj::Promise<void> held =
          all.Http()
            .Send(all.Completion(1, PromptOf(1000, "hangup"), 5000, streamed))
            .ignoreResult()
            .eagerlyEvaluate(nullptr);
        all.Until("the engine works",
                  [&]() { return UsedByEngine(all, "engine-1") > 0; });
      }
      all.Until("the engine is free",
                [&]() { return UsedByEngine(all, "engine-1") == 0; });
      all.Until("the agent's ledger is empty",
                [&]() { return UsedByAgent(all, "agent-1") == 0; });
    }
    // Both were noticed, not just waited for to end by themselves.
    const std::string metrics = all.Get("entry-1", "/metrics").mBody;
    CPPUNIT_ASSERT(metrics.find("primrose_hangups_total 2\n") !=
                   std::string::npos);
  }

  void DeadlineFreesTheEngine()
  {
    fleet all(Loop(), { 1, 0, 1 });
    http_request request =
      all.Completion(1, PromptOf(1000, "late"), 5000, false);
    request.mHeaders["Request-Timeout"] = "0.5";
    const http_response answer = all.Send(std::move(request));
    CPPUNIT_ASSERT_EQUAL(std::string("deadline_exceeded"), ErrorKind(answer));
    CPPUNIT_ASSERT_EQUAL(std::string("yes"), ErrorRan(answer));
    all.Until("the engine is free",
              [&]() { return UsedByEngine(all, "engine-1") == 0; });
  }

  /// Symptom: a request fails although other engines are well.
  /// Sequence: the engine dies under it before the caller got anything.
  /// Cause: no retry where one is safe; or retries that all go to the dead
  /// engine, whose agent has not noticed yet (seen in one run of four).
  void DeadEngineIsRetriedElsewhere()
  {
    fleet all(Loop(), { 2, 0, 1 });
    const std::string prompt = PromptOf(1000, "death");
    kj::Promise<http_response> answer =
      all.Http().Send(all.Completion(1, prompt, 300, false));
    const std::string victim =
      BusyOne(all, "engine-1", "engine-2", &UsedByEngine);
    all.Signal(victim, SIGKILL);
    ExpectWhole(answer.wait(Loop().Scope()), prompt, 300);
  }

  /// Symptom: a cut answer that looks whole.
  /// Sequence: the agent and its engine die after the first chunks.
  /// Cause: ending the caller's stream as if all had come.
  void BrokenStreamSaysSo()
  {
    fleet all(Loop(), { 1, 0, 1 });
    kj::Promise<http_response> answer =
      all.Http().Send(all.Completion(1, PromptOf(1000, "broken"), 3000, true));
    all.Until("chunks flow", [&]() {
      return all.GetJson("agent-1", "/status")["work"][0]["stage"] == "writing";
    });
    all.Sleep(std::chrono::milliseconds(200));
    all.Signal("engine-1", SIGKILL);
    all.Signal("agent-1", SIGKILL);
    const std::vector<std::string> events =
      EventsOf(answer.wait(Loop().Scope()).mBody);
    CPPUNIT_ASSERT(events.back() != "[DONE]");
    const json last = json::parse(events.back());
    CPPUNIT_ASSERT_EQUAL(std::string("stream_broken"),
                         last["error"]["kind"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("yes"),
                         last["error"]["ran"].get<std::string>());
  }

  /// Symptom: memory held for an entry that is no more.
  /// Sequence: the entry is killed in mid-answer.
  /// Cause: reservations that only their entry ends.
  void DeadEntryLeavesNothing()
  {
    fleet all(Loop(), { 1, 0, 1 });
    kj::Promise<void> lost =
      all.Http()
        .Send(all.Completion(1, PromptOf(1000, "entry"), 5000, false))
        .ignoreResult()
        .catch_([](kj::Exception&&) {})
        .eagerlyEvaluate(nullptr);
    all.Until("the engine works",
              [&]() { return UsedByEngine(all, "engine-1") > 0; });
    all.Signal("entry-1", SIGKILL);
    all.Until("the engine is free",
              [&]() { return UsedByEngine(all, "engine-1") == 0; });
    all.Until("the ledger is empty",
              [&]() { return UsedByAgent(all, "agent-1") == 0; });
  }

  /// Symptom: an engine's memory is lost until the engine restarts.
  /// Sequence: the agent is killed while a stream runs; the engine goes on
  /// with it, as engines do, so that it could be resumed; a new agent comes.
  /// Cause: the new agent not asking the engine what it holds.
  void RestartedAgentFreesStrangers()
  {
    fleet all(Loop(), { 1, 0, 1 });
    kj::Promise<void> lost =
      all.Http()
        .Send(all.Completion(1, PromptOf(1000, "stranger"), 20000, false))
        .ignoreResult()
        .catch_([](kj::Exception&&) {})
        .eagerlyEvaluate(nullptr);
    all.Until("the engine works",
              [&]() { return UsedByEngine(all, "engine-1") > 0; });
    all.Signal("entry-1", SIGKILL);
    all.Replace("agent-1");
    all.Until("the engine is free",
              [&]() { return UsedByEngine(all, "engine-1") == 0; });
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(streams_test, "streams");

class guarded_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(guarded_test);
  CPPUNIT_TEST(RepeatsMeetAtOneExecution);
  CPPUNIT_TEST(LostStoreAnswerRunsOnce);
  CPPUNIT_TEST(StoreOutageIsNotRun);
  CPPUNIT_TEST(LostServiceAnswerIsUnknown);
  CPPUNIT_TEST(KilledAgentDoesNotRunTwice);
  CPPUNIT_TEST(PausedAgentDoesNotRunLate);
  CPPUNIT_TEST(KeyWithAnotherRequest);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Symptom: a check-in runs twice.
  /// Sequence: the caller's repeat comes in through another entry at the same
  /// time, and once more later.
  /// Cause: entries that do not know of each other's calls.
  void RepeatsMeetAtOneExecution()
  {
    fleet all(Loop(), { 0, 1, 2 });
    kj::Promise<http_response> first = all.Http().Send(all.Guarded(1, "k1"));
    kj::Promise<http_response> second = all.Http().Send(all.Guarded(2, "k1"));
    const http_response one = first.wait(Loop().Scope());
    const http_response two = second.wait(Loop().Scope());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(one.mBody, 200U, one.mStatus);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(two.mBody, 200U, two.mStatus);
    CPPUNIT_ASSERT_EQUAL(one.mBody, two.mBody);
    const http_response third = all.Send(all.Guarded(1, "k1"));
    CPPUNIT_ASSERT_EQUAL(one.mBody, third.mBody);
    CPPUNIT_ASSERT_EQUAL(std::string("true"),
                         third.mHeaders.at("idempotent-replayed"));
    CPPUNIT_ASSERT_EQUAL(1, Executions(all, "k1"));
  }

  /// Symptom: a call runs twice, or is refused although it was claimed.
  /// Sequence: the claim's write takes effect and its answer is lost.
  /// Cause: taking silence for a no, or for a yes.
  void LostStoreAnswerRunsOnce()
  {
    fleet all(Loop(), { 0, 1, 2 });
    all.Fault("platform", { { "lose_answers", 1 } });
    const http_response answer = all.Send(all.Guarded(1, "k2"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.mBody, 200U, answer.mStatus);
    CPPUNIT_ASSERT_EQUAL(1, Executions(all, "k2"));
  }

  /// Symptom: "not run" was said, and it ran; or it ran unclaimed.
  /// Sequence: the store is away for longer than the time limit, then back.
  /// Cause: running without the claim, or after giving up.
  void StoreOutageIsNotRun()
  {
    fleet all(Loop(), { 0, 1, 1 });
    all.Fault("platform", { { "down", true } });
    http_request request = all.Guarded(1, "k3");
    request.mHeaders["Request-Timeout"] = "1";
    const http_response answer = all.Send(request);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      answer.mBody, std::string("no"), ErrorRan(answer));
    CPPUNIT_ASSERT_EQUAL(0, Executions(all, "k3"));
    all.Fault("platform", { { "down", false } });
    all.Sleep(std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, Executions(all, "k3"));
    const http_response again = all.Send(all.Guarded(1, "k3"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(again.mBody, 200U, again.mStatus);
    CPPUNIT_ASSERT_EQUAL(1, Executions(all, "k3"));
  }

  /// Symptom: a call that ran is reported as not run, and its repeat runs.
  /// Sequence: the service executes, its answer is lost; the caller repeats.
  /// Cause: taking a lost answer for a failure.
  void LostServiceAnswerIsUnknown()
  {
    fleet all(Loop(), { 0, 1, 2 });
    all.Fault("service-1", { { "lose_answers", 1 } });
    http_request request = all.Guarded(1, "k4");
    request.mHeaders["Request-Timeout"] = "1";
    const http_response answer = all.Send(request);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      answer.mBody, std::string("unknown"), ErrorRan(answer));
    const http_response again = all.Send(all.Guarded(2, "k4"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      again.mBody, std::string("unknown"), ErrorRan(again));
    CPPUNIT_ASSERT_EQUAL(1, Executions(all, "k4"));
  }

  /// Symptom: a call runs a second time after its agent was replaced.
  /// Sequence: the agent is killed while the call runs; the caller repeats to
  /// another agent of the same service, which remembers nothing.
  /// Cause: keeping the claim in the agent's memory only.
  void KilledAgentDoesNotRunTwice()
  {
    fleet all(Loop(), { 0, 2, 1 });
    for (const char* const service : { "service-1", "service-2" }) {
      all.Fault(service, { { "lose_answers", 1 } });
    }
    const auto executions = [&]() {
      int count = 0;
      for (const char* const service : { "service-1", "service-2" }) {
        count += all.GetJson(service, "/executions").value("k5", 0);
      }
      return count;
    };
    http_request request = all.Guarded(1, "k5");
    request.mHeaders["Request-Timeout"] = "20";
    kj::Promise<http_response> answer = all.Http().Send(request);
    all.Until("it has run once", [&]() { return executions() == 1; });
    const json first = all.GetJson("service-1", "/executions");
    all.Signal(first.contains("k5") ? "desk-agent-1" : "desk-agent-2", SIGKILL);
    const http_response ended = answer.wait(Loop().Scope());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      ended.mBody, std::string("unknown"), ErrorRan(ended));
    const http_response again = all.Send(all.Guarded(1, "k5"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      again.mBody, std::string("unknown"), ErrorRan(again));
    CPPUNIT_ASSERT_EQUAL(1, executions());
  }

  /// Symptom: a call runs minutes after its caller was told it had failed.
  /// Sequence: the store is away, the call waits at the agent; the agent is
  /// paused; the time limit passes; the store comes back; the agent resumes.
  /// Cause: acting on the belief from before the pause.
  void PausedAgentDoesNotRunLate()
  {
    fleet all(Loop(), { 0, 1, 1 });
    all.Fault("platform", { { "down", true } });
    http_request request = all.Guarded(1, "k6");
    request.mHeaders["Request-Timeout"] = "1.5";
    kj::Promise<http_response> answer = all.Http().Send(request);
    kj::Promise<http_response> begun = answer.eagerlyEvaluate(nullptr);
    all.Sleep(std::chrono::milliseconds(500));
    all.Signal("desk-agent-1", SIGSTOP);
    const http_response ended = begun.wait(Loop().Scope());
    CPPUNIT_ASSERT_EQUAL(504U, ended.mStatus);
    all.Fault("platform", { { "down", false } });
    all.Signal("desk-agent-1", SIGCONT);
    all.Sleep(std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, Executions(all, "k6"));
  }

  void KeyWithAnotherRequest()
  {
    fleet all(Loop(), { 0, 1, 1 });
    CPPUNIT_ASSERT_EQUAL(200U, all.Send(all.Guarded(1, "k7")).mStatus);
    http_request other = all.Guarded(1, "k7");
    other.mBody = "{\"office\":8}";
    CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_reused"),
                         ErrorKind(all.Send(std::move(other))));
    CPPUNIT_ASSERT_EQUAL(1, Executions(all, "k7"));
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(guarded_test, "guarded");

class drain_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(drain_test);
  CPPUNIT_TEST(DrainingAgentFinishesAndEnds);
  CPPUNIT_TEST(DrainingEntryFinishesAndEnds);
  CPPUNIT_TEST(PausedAgentIsPassedOver);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Symptom: a shutdown cuts answers, or work still arrives after it began.
  /// Sequence: SIGTERM while a stream runs; more requests come.
  /// Cause: leaving before the work is done, or taking more of it.
  void DrainingAgentFinishesAndEnds()
  {
    fleet all(Loop(), { 2, 0, 1 });
    const std::string prompt = PromptOf(1000, "drain");
    kj::Promise<http_response> running =
      all.Http().Send(all.Completion(1, prompt, 300, false));
    const std::string busy = BusyOne(all, "agent-1", "agent-2", &UsedByAgent);
    all.Signal(busy, SIGTERM);
    for (int i = 0; i < 5; ++i) {
      const std::string other = PromptOf(500, "other" + std::to_string(i));
      ExpectWhole(all.Send(all.Completion(1, other, 4, false)), other, 4);
    }
    ExpectWhole(running.wait(Loop().Scope()), prompt, 300);
    CPPUNIT_ASSERT_EQUAL(0, all.ExitCode(busy));
  }

  void DrainingEntryFinishesAndEnds()
  {
    fleet all(Loop(), { 1, 0, 1 });
    const std::string prompt = PromptOf(1000, "leaving");
    kj::Promise<http_response> running =
      all.Http().Send(all.Completion(1, prompt, 300, false));
    all.Until("the agent works",
              [&]() { return UsedByAgent(all, "agent-1") > 0; });
    all.Signal("entry-1", SIGTERM);
    all.Until("the entry refuses", [&]() {
      return ErrorKind(all.Send(all.Completion(1, "more", 4, false))) ==
             "shutting_down";
    });
    ExpectWhole(running.wait(Loop().Scope()), prompt, 300);
    CPPUNIT_ASSERT_EQUAL(0, all.ExitCode("entry-1"));
  }

  /// Symptom: requests wait for an agent that does not answer.
  /// Sequence: an agent is paused; its connections stay open.
  /// Cause: waiting for an answer without a limit.
  void PausedAgentIsPassedOver()
  {
    fleet all(Loop(), { 2, 0, 1 });
    all.Signal("agent-1", SIGSTOP);
    for (int i = 0; i < 3; ++i) {
      const std::string prompt = PromptOf(500, "paused" + std::to_string(i));
      ExpectWhole(all.Send(all.Completion(1, prompt, 4, false)), prompt, 4);
    }
    all.Signal("agent-1", SIGCONT);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(drain_test, "drain");
