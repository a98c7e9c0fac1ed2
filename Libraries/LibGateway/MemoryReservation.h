#pragma once

/// Memory of several engines, set aside for one prompt that no engine can hold
/// alone: all of it or nothing, under leases that are renewed while the request
/// lasts. An entry that dies leaves nothing set aside for longer than a lease.

#include "LibGateway/GatewayState.h"

namespace primrose {

class memory_reservation final
  : public std::enable_shared_from_this<memory_reservation>
{
public:
  using settled = std::function<void(bool aGranted)>;

  memory_reservation(event_loop& aLoop,
                     const gateway_adapter& aAdapter,
                     gateway_state& aBoard,
                     std::string aReservation,
                     std::vector<endpoint> aHolders,
                     double aTokensEach);
  ~memory_reservation();
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;

  /// Asks all holders at once; `aSettled` is called once, unless `Release`
  /// comes first.
  void Acquire(settled aSettled);
  /// Gives everything back. Goes on by itself until each holder has answered
  /// or its lease has ended.
  void Release();
  const std::string& Reservation() const { return mReservation; }

private:
  struct holder
  {
    endpoint mEndpoint;
    std::unique_ptr<serial_http_client> mCaller;
    bool mGranted = false;
  };
  void Ask(holder& aHolder,
           bool aRelease,
           std::function<void(reservation_outcome)>);
  void Renew();
  void OnGranted(holder& aHolder, reservation_outcome aOutcome);

  event_loop& mLoop;
  const gateway_adapter& mAdapter;
  gateway_state& mBoard;
  std::string mReservation;
  std::vector<holder> mHolders;
  double mTokens = 0;
  settled mSettled;
  std::size_t mAnswers = 0;
  bool mReleased = false;
  timer_id mTimer = 0;
};

} // namespace primrose
