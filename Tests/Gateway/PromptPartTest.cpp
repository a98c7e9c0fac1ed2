#include "CrashFixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;
using namespace primrose::test;
using std::chrono::milliseconds;

namespace {

const std::string kCrashingPart = "dead10";
/// Within this time after the fifth crash requests with the part may still
/// reach endpoints.
constexpr duration kContactTime = std::chrono::seconds(1);
constexpr std::size_t kCrashesUntilBound = 5;

/// Two gateways with engines that crash when they begin to answer a request
/// with `kCrashingPart` in its prompt.
struct part_setup
{
  explicit part_setup(bool aAfterFirstEvent, std::size_t aEndpoints = 120)
    : mGateways("stream", aEndpoints)
  {
    mGateways.mPool.mCrashesEndpoint = [](const http_head& aHead,
                                          const std::string&) {
      return FieldValue(aHead.mFields, "prompt-prefix")
               .value_or("")
               .find(kCrashingPart) != std::string_view::npos;
    };
    mGateways.mPool.mAnswerSound = [](connection& aConnection,
                                      const http_head& aHead) {
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, "id: 1\ndata: x\n\n");
      bytes.append(kLastChunk);
      aConnection.mChannel->Write(bytes);
      aConnection.Next();
    };
    if (!aAfterFirstEvent) {
      return;
    }
    mGateways.mPool.mOnCrashingRequest = [this](endpoint_fixture& aEndpoint,
                                                connection& aConnection,
                                                const http_head& aHead) {
      std::string bytes = SuccessHead(aHead, "Transfer-Encoding: chunked\r\n");
      AppendChunk(bytes, "id: 1\ndata: x\n\n");
      aConnection.mChannel->Write(bytes);
      ++mGateways.mPool.mCrashCount;
      mGateways.mWorld.mLoop.After(milliseconds(10),
                                   [&aEndpoint]() { aEndpoint.mServer.End(); });
    };
  }

  /// Sends a request that is like no other; its prompt begins with these parts.
  standin_caller& Send(const std::string& aSharedParts)
  {
    const std::string number = std::to_string(++mRequests);
    return mGateways.SendAndWait("prompt " + number,
                                 "Prompt-Prefix: " + aSharedParts + ",ee" +
                                   number + ":900\r\n");
  }

  /// Sends requests with the part until five endpoints have crashed, and on for
  /// as long as they may still reach endpoints.
  void Crash(const std::string& aSharedParts)
  {
    while (mGateways.mPool.mCrashCount < kCrashesUntilBound) {
      (void)Send(aSharedParts);
      mGateways.mWorld.For(milliseconds(60));
    }
    const time_point end = mGateways.mWorld.mLoop.Now() + kContactTime;
    while (mGateways.mWorld.mLoop.Now() < end) {
      (void)Send(aSharedParts);
      mGateways.mWorld.For(milliseconds(60));
    }
  }

  std::size_t Sends() const { return mGateways.mPool.mSendCount; }

  two_gateways mGateways;
  std::size_t mRequests = 0;
};

} // namespace

class prompt_part_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(prompt_part_test);
  CPPUNIT_TEST(RequestsWithCrashingPartAreQuarantined);
  CPPUNIT_TEST(SoundRequestsWithTheOtherPartsAreServed);
  CPPUNIT_TEST(QuarantinedPartOutlivesAllGateways);
  CPPUNIT_TEST(StartedGatewayLearnsQuarantinedPartFromPeer);
  CPPUNIT_TEST(ResetsQuarantineNoPart);
  CPPUNIT_TEST(PlannedShutdownsQuarantineNoPart);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a part of prompts that crashes one endpoint after the
  /// other, since no two requests with it are alike.
  void RequestsWithCrashingPartAreQuarantined()
  {
    constexpr std::size_t kFurtherRequests = 10;
    std::string failures;
    for (const bool afterFirstEvent : { false, true }) {
      for (const std::string parts :
           { "dead10:40", "aa01:40,dead10:40", "aa01:40,dead10:40,aa02:40" }) {
        part_setup setup(afterFirstEvent);
        setup.Crash(parts);
        const std::size_t sends = setup.Sends();
        for (std::size_t i = 0; i < kFurtherRequests; ++i) {
          (void)setup.Send(parts);
        }
        const std::size_t more = setup.Sends() - sends;
        if (more > kMaxFurtherSends) {
          failures += parts + ": " + std::to_string(more) + " more sends; ";
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  /// Guards against refusing sound requests that share their other parts with
  /// requests that crash endpoints, also where none was answered before.
  void SoundRequestsWithTheOtherPartsAreServed()
  {
    constexpr std::size_t kRequests = 20;
    struct scenario
    {
      std::string mCrashing;
      std::string mSound;
    };
    std::string failures;
    for (const scenario& one :
         { scenario{ "aa01:40,dead10:40", "aa01:40" },
           scenario{ "dead10:40,aa01:40", "aa01:40" },
           scenario{ "aa01:40,dead10:40,aa02:40", "aa01:40,aa02:40" },
           scenario{ "aa01:40,aa02:40,dead10:40", "aa01:40,aa02:40" } }) {
      part_setup setup(false);
      setup.Crash(one.mCrashing);
      // Sound requests are needed to find which part is to blame.
      const time_point end = setup.mGateways.mWorld.mLoop.Now() + kContactTime;
      while (setup.Send(one.mSound).Status() != 200 &&
             setup.mGateways.mWorld.mLoop.Now() < end) {
        setup.mGateways.mWorld.For(milliseconds(60));
      }
      setup.mGateways.mWorld.For(kGossipTime);
      std::size_t served = 0;
      for (std::size_t i = 0; i < kRequests; ++i) {
        (void)setup.Send(one.mCrashing);
        served += setup.Send(one.mSound).Status() == 200 ? 1 : 0;
      }
      if (served < kRequests) {
        failures += one.mCrashing + ": " + std::to_string(served) + " served; ";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  /// Guards against five more crashes under a part after all gateways were
  /// lost.
  void QuarantinedPartOutlivesAllGateways()
  {
    part_setup setup(false);
    setup.Crash("aa01:40,dead10:40");
    const std::size_t sends = setup.Sends();
    world& w = setup.mGateways.mWorld;
    const std::string row = QuarantineRowKey(DigestOfPromptPart(kCrashingPart));
    w.Until([&w, &row]() { return w.mStore.Has("quarantine", row); },
            "the platform's row");
    setup.mGateways.mSecond = nullptr;
    w.mGateway = nullptr;
    w.Start();
    setup.mGateways.mSecond = StartSecondGateway(w, w.mStore.Address());
    for (int i = 0; i < 6; ++i) {
      (void)setup.Send("aa01:40,dead10:40");
    }
    CPPUNIT_ASSERT_EQUAL(sends, setup.Sends());
  }

  /// Guards against a gateway that starts while the store is away, and forwards
  /// requests with a part that its peers have quarantined.
  void StartedGatewayLearnsQuarantinedPartFromPeer()
  {
    part_setup setup(false);
    setup.Crash("aa01:40,dead10:40");
    const std::size_t sends = setup.Sends();
    std::unique_ptr<gateway>& second = setup.mGateways.mSecond;
    second = nullptr;
    second = StartSecondGateway(setup.mGateways.mWorld, kUnreachableStore);
    setup.mGateways.mWorld.Until(
      [&second]() {
        const gateway_state& board = second->Board();
        return board.mManifest != nullptr && board.mEndpointsKnown &&
               board.mQuarantine.mHeld.contains(
                 DigestOfPromptPart(kCrashingPart));
      },
      "what the peer has quarantined");
    for (int i = 0; i < 6; ++i) {
      (void)setup.Send("aa01:40,dead10:40");
    }
    CPPUNIT_ASSERT_EQUAL(sends, setup.Sends());
  }

  static bool HasSuspects(const part_setup& aSetup)
  {
    const quarantine& state =
      aSetup.mGateways.mWorld.mGateway->Board().mQuarantine;
    return !state.mSuspects.empty() || !state.mHeld.empty();
  }

  /// Guards against quarantining a part because the network reset connections
  /// on which requests with it ran.
  void ResetsQuarantineNoPart()
  {
    part_setup setup(false);
    setup.mGateways.mPool.mOnCrashingRequest =
      [](endpoint_fixture&, connection& aConnection, const http_head&) {
        aConnection.mChannel->Abort();
      };
    for (int i = 0; i < 8; ++i) {
      (void)setup.Send("aa01:40,dead10:40");
      setup.mGateways.mWorld.For(milliseconds(220));
    }
    CPPUNIT_ASSERT(!HasSuspects(setup));
  }

  /// Guards against the same after endpoints were drained and ended as planned.
  void PlannedShutdownsQuarantineNoPart()
  {
    part_setup setup(false, 5);
    two_gateways& gateways = setup.mGateways;
    gateways.DrainOnCrashingRequests();
    for (int i = 0; i < 4; ++i) {
      (void)setup.Send("aa01:40,dead10:40");
    }
    CPPUNIT_ASSERT(gateways.mPool.mSendCount >= kCrashesUntilQuarantine);
    CPPUNIT_ASSERT(!HasSuspects(setup));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(prompt_part_test, "gateway-prompt-parts");
