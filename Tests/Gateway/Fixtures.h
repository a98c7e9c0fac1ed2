#pragma once

/// A gateway between callers and endpoints that answer as a test says.

#include "Standin.h"

#include <cppunit/TestAssert.h>

namespace primrose::test {

using connection = standin_server::connection;

/// An endpoint that keeps what it was sent and answers as it is told.
struct endpoint_fixture
{
  explicit endpoint_fixture(event_loop& aLoop)
    : mServer(aLoop,
              [this](connection& aConnection,
                     const http_head& aHead,
                     const std::string& aBody) {
                mHeads.push_back(aHead);
                mBodies.push_back(aBody);
                mLast = &aConnection;
                if (mAnswer) {
                  mAnswer(aConnection, aHead);
                }
              })
  {
  }

  std::string Field(std::size_t aIndex, std::string_view aName) const
  {
    return std::string(
      FieldValue(mHeads.at(aIndex).mFields, aName).value_or("(none)"));
  }

  std::vector<http_head> mHeads;
  std::vector<std::string> mBodies;
  connection* mLast = nullptr;
  std::function<void(connection&, const http_head&)> mAnswer;
  standin_server mServer;
};

inline void
AnswerOk(connection& aConnection, const http_head& aHead)
{
  aConnection.mChannel->Write(SuccessHead(aHead, "Content-Length: 2\r\n") +
                              "ok");
  aConnection.Next();
}

/// Names a limit of one request per second for all entries together.
inline void
AnswerLimited(connection& aConnection, const http_head& aHead)
{
  aConnection.mChannel->Write(
    SuccessHead(aHead, "Server-Limit: 1\r\nContent-Length: 2\r\n") + "ok");
  aConnection.Next();
}

inline void
AnswerRefused(connection& aConnection, const http_head& aHead)
{
  aConnection.mChannel->Write(
    "HTTP/1.1 503 X\r\nRequest-Id: " +
    std::string(*FieldValue(aHead.mFields, "request-id")) +
    "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  aConnection.Next();
}

struct world : gateway_fixture
{
  world()
    : mDeskEndpoint(mLoop)
    , mSecond(mLoop)
    , mModel(mLoop)
  {
    mDeskEndpoint.mAnswer = &AnswerOk;
    mSecond.mAnswer = &AnswerOk;
    PutManifest(3);
    List("i-desk", "desk", mDeskEndpoint.mServer.Address());
  }

  standin_caller& Ask(const std::string& aBytes)
  {
    mCallers.push_back(
      std::make_unique<standin_caller>(mLoop, mGateway->CallersPort()));
    mCallers.back()->Send(aBytes);
    return *mCallers.back();
  }

  standin_caller& Answered(const std::string& aBytes)
  {
    standin_caller& caller = Ask(aBytes);
    Until([&caller]() { return caller.Answered() || caller.Ended(); },
          "an answer");
    return caller;
  }

  /// What the metrics address answers.
  std::string Metrics()
  {
    standin_caller reader(mLoop, mGateway->MetricsPort());
    reader.Send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    Until([&reader]() { return reader.Answered() || reader.Ended(); },
          "the metrics");
    return reader.Body();
  }

  endpoint_fixture mDeskEndpoint;
  endpoint_fixture mSecond;
  endpoint_fixture mModel;
  std::vector<std::unique_ptr<standin_caller>> mCallers;
};

/// Where nothing answers.
inline const ip_address kUnreachableStore{ "127.0.0.3", 9 };

/// A second entry, on another loopback address, that knows the first. Both need
/// the same port for peers, which the first one's settings name.
inline std::unique_ptr<gateway>
StartSecondGateway(world& aWorld, const ip_address& aStore)
{
  gateway_settings settings = aWorld.mSettings;
  settings.mName = "entry-2";
  settings.mCallers.mHost = "127.0.0.2";
  settings.mReadiness.mHost = "127.0.0.2";
  settings.mMetrics.mHost = "127.0.0.2";
  settings.mPeers.mHost = "127.0.0.2";
  settings.mSeeds = { "127.0.0.1" };
  settings.mStore = aStore;
  std::unique_ptr<gateway> second =
    std::make_unique<gateway>(aWorld.mLoop, settings, platform::Adapter());
  CPPUNIT_ASSERT(Capture<int>([&second]() -> result<int> {
    BOOST_LEAF_CHECK(second->Start());
    return 0;
  }));
  return second;
}

} // namespace primrose::test
