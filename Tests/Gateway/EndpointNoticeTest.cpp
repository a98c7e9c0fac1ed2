#include "Fixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;

namespace {

void
AnswerLeaving(connection& aConnection, const http_head& aHead)
{
  aConnection.mChannel->Write(
    SuccessHead(aHead, "Server-Leaving: 1\r\nContent-Length: 2\r\n") + "ok");
  aConnection.Next();
}

void
AnswerStream(connection& aConnection, const http_head& aHead)
{
  std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
  AppendChunk(bytes, "id: 1\ndata: x\n\n");
  bytes.append(kLastChunk);
  aConnection.mChannel->Write(bytes);
  aConnection.Next();
}

void
AnswerLeavingStream(connection& aConnection, const http_head& aHead)
{
  std::string bytes =
    SuccessHead(aHead, "Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n");
  AppendChunk(bytes, "id: 1\ndata: x\n\n");
  bytes.append(kLastChunk);
  aConnection.mChannel->Write(bytes);
  aConnection.Next();
}

/// Two endpoints of the service "desk", of which the first is observed.
struct two_desks : world
{
  two_desks()
  {
    List("i-second", "desk", mSecond.mServer.Address());
    mSettings.mRepeats.mRetriesPerWindow = 1000;
  }

  /// Sends requests until the first endpoint has received one.
  void AskUntilFirstIsReached()
  {
    const std::size_t before = mDeskEndpoint.mHeads.size();
    while (mDeskEndpoint.mHeads.size() == before) {
      Ask();
    }
  }

  standin_caller& Ask(const std::string& aKind = "safe")
  {
    return Answered(Request("r" + std::to_string(++mAsked), aKind));
  }

  int mAsked = 0;
};

} // namespace

class endpoint_notice_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(endpoint_notice_test);
  CPPUNIT_TEST(EndpointThatSaysItLeavesGetsNoMoreRequests);
  CPPUNIT_TEST(EngineThatSaysItLeavesIsNoHelper);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against requests to an endpoint that leaves while the store, which
  /// lists it as leaving, can't be reached.
  void EndpointThatSaysItLeavesGetsNoMoreRequests()
  {
    two_desks w;
    w.Start();
    w.mStore.StopAnswering();
    w.mDeskEndpoint.mAnswer = &AnswerLeaving;
    w.AskUntilFirstIsReached();
    for (int i = 0; i < 30; ++i) {
      CPPUNIT_ASSERT_EQUAL(200U,
                           w.Ask(i % 2 == 0 ? "safe" : "unsafe").Status());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mDeskEndpoint.mHeads.size());
  }

  /// Guards against parts of a long prompt for an engine that leaves.
  void EngineThatSaysItLeavesIsNoHelper()
  {
    two_desks w;
    w.List("i-model", "model", w.mModel.mServer.Address());
    w.List("i-model-2", "model", w.mSecond.mServer.Address());
    w.mModel.mAnswer = &AnswerLeavingStream;
    w.mSecond.mAnswer = &AnswerStream;
    w.Start();
    const std::string tokens = "Token-Usage: 1000,50\r\n";
    int asked = 0;
    while (w.mModel.mHeads.empty()) {
      w.Answered(w.Request("s" + std::to_string(asked++), "stream", tokens));
    }
    for (int i = 0; i < 5; ++i) {
      const std::size_t before = w.mSecond.mHeads.size();
      CPPUNIT_ASSERT_EQUAL(200U,
                           w.Answered(w.Request("l" + std::to_string(i),
                                                "stream",
                                                "Token-Usage: 100000,50\r\n"))
                             .Status());
      CPPUNIT_ASSERT_EQUAL(std::string("(none)"),
                           w.mSecond.Field(before, "helpers"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), w.mModel.mHeads.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(endpoint_notice_test, "notices");
