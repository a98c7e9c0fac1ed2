#pragma once

/// Ends the largest answers of a gateway when all together hold too much
/// memory.

#include "LibGossip/LibGossip.h"

namespace primrose {

class answer_limiter final
{
public:
  answer_limiter(event_loop& aLoop, gateway_state& aState);
  ~answer_limiter();
  answer_limiter(const answer_limiter&) = delete;
  answer_limiter& operator=(const answer_limiter&) = delete;

  /// Counts the bytes of the holder anew. Ends no answer before the next turn
  /// of the event loop, so that a holder may call it at any point.
  void Update(answer_holder& aHolder);
  void Release(answer_holder& aHolder);

private:
  void EndLargest();

  event_loop& mLoop;
  gateway_state& mBoard;
  timer_id mTimer = 0;
};

/// The bytes of answers that one connection of a caller holds: those of its
/// endpoint's answer that are not written yet, and those that the system has
/// not taken yet.
class held_answer final : public answer_holder
{
public:
  held_answer(std::weak_ptr<answer_limiter> aLimiter,
              std::shared_ptr<tcp_channel> aChannel,
              std::function<void()> aOnEnd);
  ~held_answer() override;
  held_answer(const held_answer&) = delete;
  held_answer& operator=(const held_answer&) = delete;

  void SetUnwritten(std::size_t aBytes);
  /// To be called when the channel holds more, or nothing any more.
  void Update();
  /// Replaces what is called to end the answer.
  void SetOnEnd(std::function<void()> aOnEnd);

  std::size_t HeldAnswerBytes() const override;
  void EndAnswer() override;

private:
  /// A channel that is being drained may outlive its gateway.
  std::weak_ptr<answer_limiter> mLimiter;
  std::shared_ptr<tcp_channel> mChannel;
  std::function<void()> mOnEnd;
  std::size_t mUnwritten = 0;
};

} // namespace primrose
