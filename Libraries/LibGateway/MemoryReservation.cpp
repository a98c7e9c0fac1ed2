#include "LibGateway/MemoryReservation.h"

#include "LibGossip/LibGossip.h"

namespace primrose {

namespace {

/// The engine frees memory whose lease is not renewed for this time. The lease
/// must be shorter than the time for which memory may stay reserved without
/// use: a command whose answer is lost may still be carried out later, when no
/// gateway tracks it any more.
constexpr duration kLease = std::chrono::milliseconds(3400);
/// Three renewals may fail before a lease ends.
constexpr duration kRenewInterval = std::chrono::milliseconds(850);
constexpr duration kCommandTimeout = std::chrono::milliseconds(400);

} // namespace

memory_reservation::memory_reservation(event_loop& aLoop,
                                       const gateway_adapter& aAdapter,
                                       gateway_state& aState,
                                       std::string aReservation,
                                       std::string aRequestId,
                                       std::vector<endpoint> aEngines,
                                       double aTokensEach)
  : mLoop(aLoop)
  , mAdapter(aAdapter)
  , mBoard(aState)
  , mReservation(std::move(aReservation))
  , mRequestId(std::move(aRequestId))
  , mTokens(aTokensEach)
{
  for (endpoint& one : aEngines) {
    std::unique_ptr<serial_http_client> caller =
      std::make_unique<serial_http_client>(mLoop, one.mAddress);
    mShares.push_back({ std::move(one), std::move(caller), false });
  }
}

memory_reservation::~memory_reservation()
{
  mLoop.Cancel(mTimer);
}

void
memory_reservation::SendCommand(engine_share& aShare,
                                bool aRelease,
                                std::function<void(reservation_outcome)> aThen)
{
  reservation_command command;
  command.mEndpointId = aShare.mEndpoint.mId;
  command.mReservation = mReservation;
  command.mRelease = aRelease;
  command.mTokens = mTokens;
  command.mLease = kLease;
  mBoard.mMetrics.Count("gateway_memory_orders_total");
  // Keep this object alive until the last command is answered.
  const std::shared_ptr<memory_reservation> self = shared_from_this();
  aShare.mCaller->Call(mAdapter.mWriteReservationCommand(command),
                       kCommandTimeout,
                       [self,
                        engine = aShare.mEndpoint,
                        then = std::move(aThen)](const http_answer& aAnswer) {
                         self->mLoop.DeleteLater(self);
                         const reservation_answer answer =
                           self->mAdapter.mReadReservationAnswer(aAnswer);
                         ApplyNotice(self->mBoard,
                                     engine,
                                     answer.mNotice,
                                     self->mRequestId,
                                     self->mLoop.Now());
                         then(answer.mOutcome);
                       });
}

void
memory_reservation::Acquire(acquired_callback aOnAcquired)
{
  mOnAcquired = std::move(aOnAcquired);
  for (engine_share& one : mShares) {
    SendCommand(one, false, [this, &one](reservation_outcome aOutcome) {
      OnReservationAnswer(one, aOutcome);
    });
  }
}

void
memory_reservation::OnReservationAnswer(engine_share& aShare,
                                        reservation_outcome aOutcome)
{
  aShare.mGranted = aOutcome == reservation_outcome::Done;
  ++mAnswerCount;
  if (mReleased || mAnswerCount < mShares.size()) {
    return;
  }
  bool all = true;
  for (const engine_share& one : mShares) {
    all = all && one.mGranted;
  }
  const acquired_callback notify = std::move(mOnAcquired);
  if (all) {
    mTimer = mLoop.After(kRenewInterval, [this]() { Renew(); });
  } else {
    // Two prompts that each keep a part of the memory that the other needs
    // would deadlock.
    Release();
  }
  notify(all);
}

void
memory_reservation::Renew()
{
  mTimer = mLoop.After(kRenewInterval, [this]() { Renew(); });
  for (engine_share& one : mShares) {
    SendCommand(one, false, [this, &one](reservation_outcome aOutcome) {
      if (aOutcome != reservation_outcome::Done && !mReleased) {
        Log(log_level::Warning,
            "memory_not_renewed",
            { { "reservation", mReservation },
              { "endpoint", one.mEndpoint.mId } });
      }
    });
  }
}

void
memory_reservation::Release()
{
  if (mReleased) {
    return;
  }
  mReleased = true;
  mLoop.Cancel(mTimer);
  for (engine_share& one : mShares) {
    SendCommand(one, true, [this, &one](reservation_outcome aOutcome) {
      if (aOutcome != reservation_outcome::Done) {
        Log(log_level::Info,
            "memory_left_to_its_lease",
            { { "reservation", mReservation },
              { "endpoint", one.mEndpoint.mId } });
      }
    });
  }
}

} // namespace primrose
