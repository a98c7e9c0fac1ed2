#include "LibFleet/LibFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace primrose;

namespace {

struct fake_holder final : answer_holder
{
  explicit fake_holder(std::size_t aBytes)
    : mBytes(aBytes)
  {
  }
  std::size_t HeldAnswerBytes() const override { return mBytes; }
  void EndAnswer() override { mBytes = 0; }

  std::size_t mBytes;
};

} // namespace

class answer_memory_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(answer_memory_test);
  CPPUNIT_TEST(BytesAreCountedAndReleased);
  CPPUNIT_TEST(LargestIsEndedOnlyOverTheLimit);
  CPPUNIT_TEST(BytesThatWereSentUnnoticedAreNotCounted);
  CPPUNIT_TEST_SUITE_END();

public:
  void BytesAreCountedAndReleased()
  {
    answer_memory memory{ 100, 0, {} };
    fake_holder one(30);
    fake_holder other(40);
    UpdateHeldBytes(memory, one);
    UpdateHeldBytes(memory, other);
    CPPUNIT_ASSERT_EQUAL(std::size_t(70), memory.mBytes);
    one.mBytes = 10;
    UpdateHeldBytes(memory, one);
    CPPUNIT_ASSERT_EQUAL(std::size_t(50), memory.mBytes);
    other.mBytes = 0;
    UpdateHeldBytes(memory, other);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), memory.mHeld.size());
    ReleaseHeldBytes(memory, one);
    ReleaseHeldBytes(memory, one);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), memory.mBytes);
    CPPUNIT_ASSERT(memory.mHeld.empty());
  }

  void LargestIsEndedOnlyOverTheLimit()
  {
    answer_memory memory{ 100, 0, {} };
    fake_holder small(20);
    fake_holder large(80);
    UpdateHeldBytes(memory, small);
    UpdateHeldBytes(memory, large);
    CPPUNIT_ASSERT(AnswerToEnd(memory) == nullptr);
    small.mBytes = 21;
    UpdateHeldBytes(memory, small);
    CPPUNIT_ASSERT(AnswerToEnd(memory) == &large);
    large.EndAnswer();
    ReleaseHeldBytes(memory, large);
    CPPUNIT_ASSERT(AnswerToEnd(memory) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t(21), memory.mBytes);
  }

  /// Guards against ending an answer although the system has taken most of the
  /// bytes that were held when it was counted last.
  void BytesThatWereSentUnnoticedAreNotCounted()
  {
    answer_memory memory{ 100, 0, {} };
    fake_holder sent(90);
    fake_holder growing(20);
    UpdateHeldBytes(memory, sent);
    sent.mBytes = 0;
    UpdateHeldBytes(memory, growing);
    CPPUNIT_ASSERT(IsOverLimit(memory));
    CPPUNIT_ASSERT(AnswerToEnd(memory) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), memory.mBytes);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(answer_memory_test, "answer-memory");
