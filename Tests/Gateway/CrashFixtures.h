#pragma once

/// Fixtures with endpoints that crash under certain requests.

#include "Fixtures.h"

namespace primrose::test {

/// The body of a request that crashes every endpoint that starts to run it.
inline const std::string kCrashingBody = "this ends whoever runs it";
/// Operators allow this many more sends of such a request once it has crashed
/// three endpoints and the reports had time to reach all gateways.
inline constexpr std::size_t kMaxFurtherSends = 3;
inline constexpr std::size_t kCrashesUntilQuarantine = 3;
/// Gateways exchange reports within milliseconds; operators allow seconds.
inline constexpr duration kGossipTime = std::chrono::milliseconds(400);

/// Endpoints of one service, which crash if they run certain requests; by
/// default those with `kCrashingBody`.
struct crashing_pool
{
  crashing_pool(world& aWorld, const std::string& aService, std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      mEndpoints.push_back(std::make_unique<endpoint_fixture>(aWorld.mLoop));
      endpoint_fixture& one = *mEndpoints.back();
      one.mAnswer = [this, &one](connection& aConnection,
                                 const http_head& aHead) {
        OnRequest(one, aConnection, aHead);
      };
      aWorld.List(
        "i-" + aService + std::to_string(i), aService, one.mServer.Address());
    }
  }

  void OnRequest(endpoint_fixture& aEndpoint,
                 connection& aConnection,
                 const http_head& aHead)
  {
    if (!mCrashesEndpoint(aHead, aEndpoint.mBodies.back())) {
      mAnswerSound(aConnection, aHead);
      return;
    }
    ++mSendCount;
    if (mOnCrashingRequest) {
      mOnCrashingRequest(aEndpoint, aConnection, aHead);
      return;
    }
    ++mCrashCount;
    aEndpoint.mServer.End();
  }

  std::vector<std::unique_ptr<endpoint_fixture>> mEndpoints;
  std::function<bool(const http_head&, const std::string& aBody)>
    mCrashesEndpoint = [](const http_head&, const std::string& aBody) {
      return aBody == kCrashingBody;
    };
  std::function<void(connection&, const http_head&)> mAnswerSound = &AnswerOk;
  /// If set, handles the crashing request instead of a crash.
  std::function<void(endpoint_fixture&, connection&, const http_head&)>
    mOnCrashingRequest;
  std::size_t mSendCount = 0; ///< Of requests that crash endpoints.
  std::size_t mCrashCount = 0;
};

/// Two gateways with one pool of endpoints. Requests alternate between them.
struct two_gateways
{
  two_gateways(const std::string& aKind, std::size_t aEndpoints)
    : mKind(aKind)
    , mPool(mWorld, aKind == "stream" ? "model" : "desk", aEndpoints)
  {
    // Otherwise the fixture's own endpoint of this service would answer.
    mWorld.mStore.Remove("servers", "i-desk");
    mWorld.mSettings.mPeers.mPort = mWorld.FreePort();
    mWorld.Start();
    mSecond = StartSecondGateway(mWorld, mWorld.mSettings.mStore);
    mWorld.Until(
      [this]() {
        return mSecond->Board().mEndpointsKnown &&
               mSecond->Board().mQuarantineKnown &&
               mSecond->Board().mPeers.size() == 1 &&
               mWorld.mGateway->Board().mPeers.size() == 1;
      },
      "both entries know each other");
  }

  /// Sends a request to the gateway whose turn it is.
  standin_caller& SendNext(const std::string& aBody,
                           const std::string& aFields = "")
  {
    const gateway& target =
      ++mSentRequests % 2 == 0 ? *mSecond : *mWorld.mGateway;
    const ip_address address{ mSentRequests % 2 == 0 ? "127.0.0.2"
                                                     : "127.0.0.1",
                              target.CallersPort() };
    mCallers.push_back(std::make_unique<standin_caller>(mWorld.mLoop, address));
    standin_caller& caller = *mCallers.back();
    caller.Send(mWorld.Request("r" + std::to_string(mSentRequests),
                               mKind,
                               "Token-Usage: 1000,50\r\n" + aFields,
                               aBody));
    return caller;
  }

  standin_caller& SendAndWait(const std::string& aBody,
                              const std::string& aFields = "")
  {
    standin_caller& caller = SendNext(aBody, aFields);
    mWorld.Until([&caller]() { return caller.Answered() || caller.Ended(); },
                 "an answer");
    return caller;
  }

  /// Sends requests until three endpoints have crashed, then waits until both
  /// gateways have the reports.
  void CrashThreeEndpoints()
  {
    while (mPool.mCrashCount < kCrashesUntilQuarantine) {
      (void)SendAndWait(kCrashingBody);
    }
    mWorld.For(kGossipTime);
  }

  /// From now on endpoints that get a crashing request drain and end as
  /// planned.
  void DrainOnCrashingRequests()
  {
    mPool.mOnCrashingRequest =
      [this](endpoint_fixture& aEndpoint, connection&, const http_head&) {
        const std::string service = mKind == "stream" ? "model" : "desk";
        std::size_t index = 0;
        while (mPool.mEndpoints[index].get() != &aEndpoint) {
          ++index;
        }
        mWorld.List("i-" + service + std::to_string(index),
                    service,
                    aEndpoint.mServer.Address(),
                    "draining");
        mWorld.mLoop.After(std::chrono::milliseconds(1100),
                           [&aEndpoint]() { aEndpoint.mServer.End(); });
      };
  }

  world mWorld;
  std::string mKind;
  crashing_pool mPool;
  std::unique_ptr<gateway> mSecond;
  std::vector<std::unique_ptr<standin_caller>> mCallers;
  std::size_t mSentRequests = 0;
};

} // namespace primrose::test
