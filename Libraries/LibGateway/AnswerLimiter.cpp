#include "LibGateway/AnswerLimiter.h"

namespace primrose {

answer_limiter::answer_limiter(event_loop& aLoop, gateway_state& aState)
  : mLoop(aLoop)
  , mBoard(aState)
{
}

answer_limiter::~answer_limiter()
{
  mLoop.Cancel(mTimer);
}

void
answer_limiter::Update(answer_holder& aHolder)
{
  UpdateHeldBytes(mBoard.mAnswerMemory, aHolder);
  if (mTimer == 0 && IsOverLimit(mBoard.mAnswerMemory)) {
    mTimer = mLoop.After(duration::zero(), [this]() {
      mTimer = 0;
      EndLargest();
    });
  }
}

void
answer_limiter::Release(answer_holder& aHolder)
{
  ReleaseHeldBytes(mBoard.mAnswerMemory, aHolder);
}

void
answer_limiter::EndLargest()
{
  answer_memory& memory = mBoard.mAnswerMemory;
  while (answer_holder* const largest = AnswerToEnd(memory)) {
    Log(log_level::Warning,
        "answer_memory_exhausted",
        { { "ended_bytes", largest->HeldAnswerBytes() },
          { "held_bytes", memory.mBytes },
          { "limit_bytes", memory.mLimit },
          { "answers", memory.mHeld.size() } });
    mBoard.mMetrics.Count("gateway_answers_ended_for_memory_total");
    ReleaseHeldBytes(memory, *largest);
    largest->EndAnswer();
  }
}

held_answer::held_answer(std::weak_ptr<answer_limiter> aLimiter,
                         std::shared_ptr<tcp_channel> aChannel,
                         std::function<void()> aOnEnd)
  : mLimiter(std::move(aLimiter))
  , mChannel(std::move(aChannel))
  , mOnEnd(std::move(aOnEnd))
{
}

held_answer::~held_answer()
{
  if (const std::shared_ptr<answer_limiter> limiter = mLimiter.lock()) {
    limiter->Release(*this);
  }
}

void
held_answer::SetUnwritten(std::size_t aBytes)
{
  mUnwritten = aBytes;
  Update();
}

void
held_answer::Update()
{
  if (const std::shared_ptr<answer_limiter> limiter = mLimiter.lock()) {
    limiter->Update(*this);
  }
}

void
held_answer::SetOnEnd(std::function<void()> aOnEnd)
{
  mOnEnd = std::move(aOnEnd);
}

std::size_t
held_answer::HeldAnswerBytes() const
{
  return mUnwritten + (mChannel->Open() ? mChannel->BufferedOutput() : 0);
}

void
held_answer::EndAnswer()
{
  const std::function<void()> end = mOnEnd;
  end();
}

} // namespace primrose
