#include "Fixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

namespace {

/// Two endpoints of the service "desk", in data centres "a" and "b" of the
/// regions "north" and "south".
struct two_data_centres : world
{
  two_data_centres()
  {
    mSettings.mRegions = { { "a", "north" }, { "b", "south" } };
    mSettings.mRepeats.mRetriesPerWindow = 1000;
    ListIn("i-second", mSecond, "b");
  }

  void ListIn(const std::string& aId,
              const endpoint_fixture& aEndpoint,
              const std::string& aDataCentre,
              const std::string& aService = "desk")
  {
    ListEndpoint(mStore,
                 aId,
                 aService,
                 aEndpoint.mServer.Address(),
                 "ready",
                 { aDataCentre });
  }

  /// Starts the gateway and waits until it polls for changes, which then arrive
  /// at once.
  void StartFollowing()
  {
    Start();
    Until([this]() { return mStore.RequestsForTable("op") >= 2; },
          "the poll for changes");
  }

  void Evacuate(const std::string& aDataCentre)
  {
    mStore.Put("op", "evacuate/" + aDataCentre, "{}");
    Until(
      [this, &aDataCentre]() {
        return IsEvacuated(mGateway->Board().mEvacuations, aDataCentre);
      },
      "the evacuation");
  }

  void TakeBack(const std::string& aDataCentre)
  {
    mStore.Remove("op", "evacuate/" + aDataCentre);
    Until(
      [this, &aDataCentre]() {
        return !IsEvacuated(mGateway->Board().mEvacuations, aDataCentre);
      },
      "the end of the evacuation");
  }

  standin_caller& Ask(const std::string& aKind = "safe",
                      const std::string& aFields = "")
  {
    return Answered(Request("r" + std::to_string(++mAsked), aKind, aFields));
  }

  /// Sends some requests one after another, which all have to be answered.
  void AskSome()
  {
    constexpr int kRequests = 12;
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT_EQUAL(200U, Ask().Status());
    }
  }

  /// Sends a request without waiting for its answer.
  standin_caller& Begin(const std::string& aKind, const std::string& aFields)
  {
    return world::Ask(Request("r" + std::to_string(++mAsked), aKind, aFields));
  }

  int mAsked = 0;
};

} // namespace

class data_centre_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(data_centre_test);
  CPPUNIT_TEST(EvacuatedDataCentreGetsNoRequests);
  CPPUNIT_TEST(StartedGatewayHeedsEarlierEvacuation);
  CPPUNIT_TEST(EvacuationReachesGatewayThroughPeer);
  CPPUNIT_TEST(EvacuationTakenBackInALostHistoryEnds);
  CPPUNIT_TEST(RequestIsRefusedIfAllDataCentresAreEvacuated);
  CPPUNIT_TEST(RunningStreamOutlivesEvacuation);
  CPPUNIT_TEST(BrokenStreamDoesNotResumeInEvacuatedDataCentre);
  CPPUNIT_TEST(ReservedMemoryIsNotUsedAfterEvacuation);
  CPPUNIT_TEST(OddEvacuationsAreHarmless);
  CPPUNIT_TEST(RequestStaysInAllowedRegions);
  CPPUNIT_TEST(RouteAndOrganisationBothRestrictRegions);
  CPPUNIT_TEST(HelpersAreInAllowedRegions);
  CPPUNIT_TEST(EndpointOfUnknownDataCentreIsOutsideAllRegions);
  CPPUNIT_TEST(ForeignRowNamesNoEndpoint);
  CPPUNIT_TEST(ForeignRowReplacesAnEndpoint);
  CPPUNIT_TEST(RestartUnderTheSameIdForgetsTheEarlierRun);
  CPPUNIT_TEST(ColdEndpointGetsItsShareOnly);
  CPPUNIT_TEST(ColdEndpointIsAvoidedBeforeAnEvacuationEnds);
  CPPUNIT_TEST(WarmEndpointStaysWarmWhenItsRowIsReadAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against requests to endpoints of a data centre that operators have
  /// evacuated.
  void EvacuatedDataCentreGetsNoRequests()
  {
    two_data_centres w;
    w.Start();
    w.Evacuate("a");
    const std::size_t before = w.mDeskEndpoint.mHeads.size();
    w.AskSome();
    CPPUNIT_ASSERT_EQUAL(before, w.mDeskEndpoint.mHeads.size());
    w.TakeBack("a");
    w.Until(
      [&w, before]() {
        (void)w.Ask();
        return w.mDeskEndpoint.mHeads.size() > before;
      },
      "a request to the data centre that was taken back");
  }

  /// Guards against a gateway that learns evacuations from changes only, and
  /// not when it starts.
  void StartedGatewayHeedsEarlierEvacuation()
  {
    two_data_centres w;
    w.mStore.Put("op", "evacuate/a", "");
    w.Start();
    w.AskSome();
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
  }

  /// Guards against a gateway that the store turns away and that therefore
  /// sends to an evacuated data centre, or never uses it again.
  void EvacuationReachesGatewayThroughPeer()
  {
    two_data_centres w;
    w.mSettings.mPeers.mPort = w.FreePort();
    w.Start();
    const std::unique_ptr<gateway> second =
      StartSecondGateway(w, kUnreachableStore);
    w.Until([&second]() { return second->Board().mEndpointsKnown; },
            "the peer's rows");
    w.Evacuate("a");
    w.Until(
      [&second]() { return IsEvacuated(second->Board().mEvacuations, "a"); },
      "the evacuation through the peer");
    w.TakeBack("a");
    w.Until(
      [&second]() { return !IsEvacuated(second->Board().mEvacuations, "a"); },
      "the end of the evacuation through the peer");
  }

  /// Guards against a data centre that stays unused because the removal of the
  /// row was in a history that the store lost.
  void EvacuationTakenBackInALostHistoryEnds()
  {
    two_data_centres w;
    w.Start();
    w.Evacuate("a");
    w.mStore.SetResponseMode(standin_store::response_mode::Refusing);
    w.mStore.Remove("op", "evacuate/a");
    w.mStore.LoseHistory();
    w.mStore.SetResponseMode(standin_store::response_mode::Good);
    w.Until(
      [&w]() { return !IsEvacuated(w.mGateway->Board().mEvacuations, "a"); },
      "the end of the evacuation");
  }

  /// Guards against requests that wait for their deadline, or are sent all the
  /// same, while there is no data centre to send them to.
  void RequestIsRefusedIfAllDataCentresAreEvacuated()
  {
    two_data_centres w;
    w.Start();
    w.Evacuate("a");
    w.Evacuate("b");
    const time_point asked = w.mLoop.Now();
    const standin_caller& refused = w.Ask();
    CPPUNIT_ASSERT_EQUAL(503U, refused.Status());
    CPPUNIT_ASSERT(refused.Field("retry-after").has_value());
    CPPUNIT_ASSERT(w.mLoop.Now() - asked < milliseconds(500));
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
    CPPUNIT_ASSERT(w.mSecond.mHeads.empty());
    w.TakeBack("b");
    CPPUNIT_ASSERT_EQUAL(200U, w.Ask().Status());
  }

  /// Answers with one event and leaves the stream open.
  static void BeginStream(connection& aConnection, const http_head& aHead)
  {
    std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
    AppendChunk(bytes, "id: 1\ndata: x\n\n");
    aConnection.mChannel->Write(bytes);
  }

  static void EndStream(connection& aConnection)
  {
    std::string bytes;
    AppendChunk(bytes, "id: 2\ndata: x\n\n");
    bytes.append(kLastChunk);
    aConnection.mChannel->Write(bytes);
  }

  /// Guards against an evacuation that interrupts what runs.
  void RunningStreamOutlivesEvacuation()
  {
    two_data_centres w;
    w.ListIn("i-model", w.mModel, "a", "model");
    w.mModel.mAnswer = &BeginStream;
    w.StartFollowing();
    standin_caller& caller = w.Begin("stream", "Token-Usage: 4000,50\r\n");
    w.Until([&w]() { return w.mModel.mHeads.size() == 1; }, "the stream");
    w.Evacuate("a");
    EndStream(*w.mModel.mLast);
    w.Until([&caller]() { return caller.Answered(); }, "the answer");
    CPPUNIT_ASSERT(caller.Body().find("id: 2") != std::string::npos);
  }

  /// Guards against a stream that goes on at an endpoint of a data centre that
  /// was evacuated since it began.
  void BrokenStreamDoesNotResumeInEvacuatedDataCentre()
  {
    two_data_centres w;
    endpoint_fixture other(w.mLoop);
    w.ListIn("i-model", w.mModel, "a", "model");
    w.ListIn("i-other", other, "a", "model");
    w.mModel.mAnswer = &BeginStream;
    other.mAnswer = &BeginStream;
    w.StartFollowing();
    standin_caller& caller = w.Begin("stream", "Token-Usage: 4000,50\r\n");
    w.Until(
      [&w, &other]() {
        return w.mModel.mHeads.size() + other.mHeads.size() == 1;
      },
      "the stream");
    w.Evacuate("a");
    connection* const running =
      w.mModel.mLast != nullptr ? w.mModel.mLast : other.mLast;
    running->mChannel->Close();
    w.Until([&caller]() { return caller.Ended(); }, "the end of the stream");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         w.mModel.mHeads.size() + other.mHeads.size());
  }

  /// Guards against a large prompt that is sent to engines which granted memory
  /// just before their data centre was evacuated.
  void ReservedMemoryIsNotUsedAfterEvacuation()
  {
    two_data_centres w;
    std::vector<std::unique_ptr<endpoint_fixture>> engines;
    std::vector<connection*> waiting;
    std::size_t requests = 0;
    constexpr int kEngines = 4;
    for (int i = 0; i < kEngines; ++i) {
      engines.push_back(std::make_unique<endpoint_fixture>(w.mLoop));
      engines.back()->mAnswer = [&waiting, &requests](connection& aConnection,
                                                      const http_head& aHead) {
        if (aHead.mTarget == "/order") {
          waiting.push_back(&aConnection);
        } else {
          ++requests;
        }
      };
      w.ListIn("i-" + std::to_string(i), *engines.back(), "a", "model");
    }
    w.StartFollowing();
    const standin_caller& caller =
      w.Begin("stream", "Token-Usage: 400000,50\r\n");
    w.Until([&waiting]() { return !waiting.empty(); }, "an order");
    w.Evacuate("a");
    for (connection* const one : waiting) {
      one->mChannel->Write("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}");
      one->Next();
    }
    w.Until([&caller]() { return caller.Answered(); }, "the refusal");
    CPPUNIT_ASSERT_EQUAL(503U, caller.Status());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requests);
  }

  /// Guards against an order for a data centre that nobody has, or with a value
  /// that cannot be read, that stops a gateway or affects other data centres.
  void OddEvacuationsAreHarmless()
  {
    two_data_centres w;
    w.Start();
    w.Evacuate("nowhere");
    w.mStore.Put("op", "evacuate/", std::string("\xff\x00{", 3));
    w.mStore.Put("op", "evacuation/a", "{}");
    w.mStore.Put("op", "evacuate", "{}");
    w.AskSome();
    w.mStore.Put("op", "evacuate/b", std::string("\xff\x00{", 3));
    w.Until(
      [&w]() { return IsEvacuated(w.mGateway->Board().mEvacuations, "b"); },
      "the evacuation");
    const std::size_t before = w.mSecond.mHeads.size();
    w.AskSome();
    CPPUNIT_ASSERT_EQUAL(before, w.mSecond.mHeads.size());
  }

  /// Guards against a request that leaves the regions of its route, also when
  /// its endpoint refuses it and another one would take it.
  void RequestStaysInAllowedRegions()
  {
    two_data_centres w;
    WriteManifest(w.mStore, 4, "", 0, { { "north" }, {} });
    w.Start();
    w.AskSome();
    CPPUNIT_ASSERT(w.mSecond.mHeads.empty());
    w.mDeskEndpoint.mAnswer = &AnswerRefused;
    CPPUNIT_ASSERT_EQUAL(503U, w.Ask().Status());
    w.Evacuate("a");
    CPPUNIT_ASSERT_EQUAL(503U, w.Ask().Status());
    CPPUNIT_ASSERT(w.mSecond.mHeads.empty());
  }

  /// Guards against the regions of only one of route and organisation counting.
  void RouteAndOrganisationBothRestrictRegions()
  {
    {
      two_data_centres w;
      WriteManifest(w.mStore, 4, "", 0, { { "north", "south" }, { "south" } });
      w.Start();
      w.AskSome();
      CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
    }
    {
      two_data_centres w;
      endpoint_fixture third(w.mLoop);
      w.mSettings.mRegions["c"] = "east";
      w.ListIn("i-third", third, "c");
      third.mAnswer = &AnswerOk;
      WriteManifest(
        w.mStore, 4, "", 0, { { "north", "east" }, { "east", "south" } });
      w.Start();
      w.AskSome();
      CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
      CPPUNIT_ASSERT(w.mSecond.mHeads.empty());
      CPPUNIT_ASSERT(third.mHeads.size() > 1);
    }
    two_data_centres w;
    WriteManifest(w.mStore, 4, "", 0, { { "north" }, { "south" } });
    w.Start();
    CPPUNIT_ASSERT_EQUAL(503U, w.Ask().Status());
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
    CPPUNIT_ASSERT(w.mSecond.mHeads.empty());
  }

  /// Guards against a part of a prompt that is read in another region.
  void HelpersAreInAllowedRegions()
  {
    two_data_centres w;
    endpoint_fixture south(w.mLoop);
    endpoint_fixture north(w.mLoop);
    w.ListIn("i-model", w.mModel, "a", "model");
    w.ListIn("i-north", north, "a", "model");
    w.ListIn("i-south", south, "b", "model");
    WriteManifest(w.mStore, 4, "", 0, { { "north" }, {} });
    w.mModel.mAnswer = &BeginStream;
    north.mAnswer = &BeginStream;
    w.Start();
    (void)w.Begin("stream", "Token-Usage: 60000,50\r\n");
    w.Until(
      [&w, &north]() {
        return w.mModel.mHeads.size() + north.mHeads.size() == 1;
      },
      "the stream");
    const endpoint_fixture& used = w.mModel.mHeads.empty() ? north : w.mModel;
    const std::string helpers = used.Field(0, "Helpers");
    CPPUNIT_ASSERT(helpers != "(none)");
    CPPUNIT_ASSERT(helpers.find(south.mServer.Address().Text()) ==
                   std::string::npos);
  }

  /// Guards against a request with restricted regions that is sent to an
  /// endpoint whose region the settings do not name.
  void EndpointOfUnknownDataCentreIsOutsideAllRegions()
  {
    two_data_centres w;
    w.mSettings.mRegions = { { "b", "south" } };
    WriteManifest(w.mStore, 4, "", 0, { { "south", "" }, {} });
    w.Start();
    w.AskSome();
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
  }

  /// Guards against rows of another writer that stop the reading of the list.
  void ForeignRowNamesNoEndpoint()
  {
    two_data_centres w;
    const std::string address = w.mModel.mServer.Address().Text();
    for (const std::string& row : std::vector<std::string>{
           std::string("\xff\xfe\x00 not JSON", 12),
           std::string("[]"),
           std::string("7"),
           std::string(R"({"service":"desk"})"),
           R"({"service":7,"addr":")" + address + R"(","state":"ready"})",
           R"({"service":"desk","addr":")" + address + R"(","state":"odd"})",
           R"({"service":"desk","addr":")" + address + R"(","state":1})",
           R"({"service":"desk","addr":")" + address + R"(","zone":[]})",
           R"({"service":"desk","addr":")" + address + R"(","slots":"x"})",
           R"({"service":"desk","addr":")" + address + R"(","slots":-4})",
           R"({"service":"desk","addr":")" + address + R"(","born":"x"})",
           R"({"service":"desk","addr":")" + address + R"(","born":1.5})",
           R"({"service":"desk","addr":"nowhere"})",
         }) {
      w.mStore.Put("servers", "i-foreign-" + std::to_string(++w.mAsked), row);
    }
    w.Start();
    w.AskSome();
    CPPUNIT_ASSERT(w.mModel.mHeads.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         w.mGateway->Board().mEndpoints.mEndpoints.size());
  }

  /// Guards against requests to an endpoint whose row was replaced by one that
  /// names none.
  void ForeignRowReplacesAnEndpoint()
  {
    two_data_centres w;
    w.Start();
    w.mStore.Put("servers", "i-desk", "{}");
    w.Until(
      [&w]() {
        return !w.mGateway->Board().mEndpoints.mEndpoints.contains("i-desk");
      },
      "the change of the list");
    w.AskSome();
    CPPUNIT_ASSERT(w.mDeskEndpoint.mHeads.empty());
    w.ListIn("i-desk", w.mDeskEndpoint, "a");
    w.Until(
      [&w]() {
        return w.mGateway->Board().mEndpoints.mEndpoints.contains("i-desk");
      },
      "the endpoint's return");
  }

  /// Guards against an endpoint that started again under its id and gets
  /// nothing because its earlier run said that it leaves.
  void RestartUnderTheSameIdForgetsTheEarlierRun()
  {
    two_data_centres w;
    const auto list = [&w](std::int64_t aBorn) {
      ListEndpoint(w.mStore,
                   "i-desk",
                   "desk",
                   w.mDeskEndpoint.mServer.Address(),
                   "ready",
                   { "a", 0, aBorn });
    };
    list(1000);
    w.mDeskEndpoint.mAnswer = [](connection& aConnection,
                                 const http_head& aHead) {
      aConnection.mChannel->Write(
        SuccessHead(aHead, "Server-Leaving: 1\r\nContent-Length: 2\r\n") +
        "ok");
      aConnection.Next();
    };
    w.Start();
    w.Until(
      [&w]() {
        (void)w.Ask();
        return !w.mDeskEndpoint.mHeads.empty();
      },
      "the notice");
    w.mDeskEndpoint.mAnswer = &AnswerOk;
    const std::size_t before = w.mDeskEndpoint.mHeads.size();
    // A row of the same run changes nothing.
    list(1000);
    w.For(milliseconds(100));
    w.AskSome();
    CPPUNIT_ASSERT_EQUAL(before, w.mDeskEndpoint.mHeads.size());
    list(2000);
    w.Until(
      [&w, before]() {
        (void)w.Ask();
        return w.mDeskEndpoint.mHeads.size() > before;
      },
      "a request to the endpoint that started again");
  }

  /// Guards against a gateway that sends a cold endpoint its usual load.
  void ColdEndpointGetsItsShareOnly()
  {
    two_data_centres w;
    constexpr double kColdPerSecond = 10;
    constexpr std::int64_t kColdMs = 1500;
    WriteManifest(w.mStore, 4, "", 0, { {}, {}, kColdPerSecond, 3 });
    ListEndpoint(w.mStore,
                 "i-desk",
                 "desk",
                 w.mDeskEndpoint.mServer.Address(),
                 "ready",
                 { "a", kColdMs });
    w.Start();
    const time_point start = w.mLoop.Now();
    while (w.mLoop.Now() - start < milliseconds(1000)) {
      CPPUNIT_ASSERT_EQUAL(200U, w.Ask().Status());
      w.For(milliseconds(2));
    }
    CPPUNIT_ASSERT(static_cast<double>(w.mDeskEndpoint.mHeads.size()) <=
                   kColdPerSecond);
    CPPUNIT_ASSERT(w.mSecond.mHeads.size() > 40);
  }

  /// Guards against the full load for a data centre in the moment in which its
  /// evacuation ends, while its endpoints are cold and their rows do not say
  /// so.
  void ColdEndpointIsAvoidedBeforeAnEvacuationEnds()
  {
    two_data_centres w;
    constexpr double kColdPerSecond = 10;
    WriteManifest(w.mStore, 4, "", 0, { {}, {}, kColdPerSecond, 3 });
    w.Start();
    w.Evacuate("a");
    w.TakeBack("a");
    const std::size_t before = w.mDeskEndpoint.mHeads.size();
    const time_point start = w.mLoop.Now();
    while (w.mLoop.Now() - start < milliseconds(1000)) {
      CPPUNIT_ASSERT_EQUAL(200U, w.Ask().Status());
      w.For(milliseconds(2));
    }
    CPPUNIT_ASSERT(static_cast<double>(w.mDeskEndpoint.mHeads.size() -
                                       before) <= kColdPerSecond);
  }

  /// Guards against the limit of a cold endpoint for one that has become warm,
  /// as soon as the whole list is read again.
  void WarmEndpointStaysWarmWhenItsRowIsReadAgain()
  {
    two_data_centres w;
    constexpr std::int64_t kColdMs = 2000;
    WriteManifest(w.mStore, 4, "", 0, { {}, {}, 10, 3 });
    ListEndpoint(w.mStore,
                 "i-desk",
                 "desk",
                 w.mDeskEndpoint.mServer.Address(),
                 "ready",
                 { "a", kColdMs });
    w.StartFollowing();
    const auto isCold = [&w]() {
      return IsCold(
        w.mGateway->Board().mEndpoints.mEndpoints.at("i-desk").mWarmUp,
        w.mLoop.Now());
    };
    CPPUNIT_ASSERT(isCold());
    w.Until([&isCold]() { return !isCold(); }, "the end of the cold time");
    const std::uint64_t before = w.mGateway->Board().mEndpointListRevision;
    w.mStore.LoseHistory();
    w.Until(
      [&w, before]() {
        return w.mGateway->Board().mEndpointListRevision > before;
      },
      "the list that is read again");
    CPPUNIT_ASSERT(!isCold());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(data_centre_test, "data-centres");
