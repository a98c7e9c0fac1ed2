#include "LibGateway/MemoryReservation.h"

namespace primrose {

namespace {

/// An engine frees memory that nobody renews after this. It has to be shorter
/// than the time that memory may stay set aside without use: an order whose
/// answer is lost may be carried out later, when nobody knows of it any more.
constexpr duration kLease = std::chrono::milliseconds(3400);
/// Three renewals may fail before a lease ends.
constexpr duration kRenewEvery = std::chrono::milliseconds(850);
constexpr duration kOrderTimeout = std::chrono::milliseconds(400);

} // namespace

memory_reservation::memory_reservation(event_loop& aLoop,
                                       const gateway_adapter& aAdapter,
                                       gateway_state& aBoard,
                                       std::string aReservation,
                                       std::vector<endpoint> aHolders,
                                       double aTokensEach)
  : mLoop(aLoop)
  , mAdapter(aAdapter)
  , mBoard(aBoard)
  , mReservation(std::move(aReservation))
  , mTokens(aTokensEach)
{
  for (endpoint& one : aHolders) {
    std::unique_ptr<serial_http_client> caller =
      std::make_unique<serial_http_client>(mLoop, one.mAddress);
    mHolders.push_back({ std::move(one), std::move(caller), false });
  }
}

memory_reservation::~memory_reservation()
{
  mLoop.Cancel(mTimer);
}

void
memory_reservation::Ask(holder& aHolder,
                        bool aRelease,
                        std::function<void(reservation_outcome)> aThen)
{
  reservation_command order;
  order.mEndpointId = aHolder.mEndpoint.mId;
  order.mReservation = mReservation;
  order.mRelease = aRelease;
  order.mTokens = mTokens;
  order.mLease = kLease;
  mBoard.mMetrics.Count("gateway_memory_orders_total");
  // The hold lives until its last order is answered.
  const std::shared_ptr<memory_reservation> self = shared_from_this();
  aHolder.mCaller->Call(
    mAdapter.mWriteReservationCommand(order),
    kOrderTimeout,
    [self, then = std::move(aThen)](const http_answer& aAnswer) {
      self->mLoop.DeleteLater(self);
      then(self->mAdapter.mReadReservationAnswer(aAnswer));
    });
}

void
memory_reservation::Acquire(settled aSettled)
{
  mSettled = std::move(aSettled);
  for (holder& one : mHolders) {
    Ask(one, false, [this, &one](reservation_outcome aOutcome) {
      OnGranted(one, aOutcome);
    });
  }
}

void
memory_reservation::OnGranted(holder& aHolder, reservation_outcome aOutcome)
{
  aHolder.mGranted = aOutcome == reservation_outcome::Done;
  ++mAnswers;
  if (mReleased || mAnswers < mHolders.size()) {
    return;
  }
  bool all = true;
  for (const holder& one : mHolders) {
    all = all && one.mGranted;
  }
  const settled notify = std::move(mSettled);
  if (all) {
    mTimer = mLoop.After(kRenewEvery, [this]() { Renew(); });
  } else {
    // All or nothing: two prompts that each hold a part of what the other
    // needs would wait for each other for ever.
    Release();
  }
  notify(all);
}

void
memory_reservation::Renew()
{
  mTimer = mLoop.After(kRenewEvery, [this]() { Renew(); });
  for (holder& one : mHolders) {
    Ask(one, false, [this, &one](reservation_outcome aOutcome) {
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
  for (holder& one : mHolders) {
    Ask(one, true, [this, &one](reservation_outcome aOutcome) {
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
