#pragma once

/// Reservation of memory on several engines for one prompt that does not fit
/// into the memory of a single engine. Either all engines grant their share or
/// everything is released. The reservation is a lease that is renewed while the
/// request lasts, so a gateway that crashes leaves memory reserved for at most
/// one lease.

#include "LibGateway/Adapter.h"

namespace primrose {

class memory_reservation final
  : public std::enable_shared_from_this<memory_reservation>
{
public:
  using acquired_callback = std::function<void(bool aGranted)>;

  memory_reservation(event_loop& aLoop,
                     const gateway_adapter& aAdapter,
                     gateway_state& aState,
                     std::string aReservation,
                     std::string aRequestId,
                     std::vector<endpoint> aEngines,
                     double aTokensEach);
  ~memory_reservation();
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;

  /// Sends the reservation to all engines at once. `aOnAcquired` is called
  /// once, unless `Release` is called first.
  void Acquire(acquired_callback aOnAcquired);
  /// Releases all memory. The object stays alive until each engine has answered
  /// the release command or the command has timed out.
  void Release();
  const std::string& Reservation() const { return mReservation; }

private:
  struct engine_share
  {
    endpoint mEndpoint;
    std::unique_ptr<serial_http_client> mCaller;
    bool mGranted = false;
  };
  void SendCommand(engine_share& aShare,
                   bool aRelease,
                   std::function<void(reservation_outcome)>);
  void Renew();
  void OnReservationAnswer(engine_share& aShare, reservation_outcome aOutcome);

  event_loop& mLoop;
  const gateway_adapter& mAdapter;
  gateway_state& mBoard;
  std::string mReservation;
  std::string mRequestId; ///< The request that the memory is for.
  std::vector<engine_share> mShares;
  double mTokens = 0;
  acquired_callback mOnAcquired;
  std::size_t mAnswerCount = 0;
  bool mReleased = false;
  timer_id mTimer = 0;
};

} // namespace primrose
