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
      // A sound request may be needed to find which part is to blame.
      (void)setup.Send(one.mSound);
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
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(prompt_part_test, "gateway-prompt-parts");
