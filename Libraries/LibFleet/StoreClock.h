#pragma once

/// The clock of the platform's store. Gateways state to each other as of when
/// their copies of tables are current by this clock: an age would not grow
/// while it is on its way, so that peers could keep each other's copies young
/// without any read.
///
/// No I/O, no clock.

#include "LibCore/LibCore.h"

#include <optional>

namespace primrose {

/// Time since the start of the store's clock, which is steady.
using store_time = duration;

struct store_clock
{
  /// The largest lead that the store's clock can have over this gateway's. No
  /// value until the store has answered.
  std::optional<duration> mMaxLead;

  bool operator==(const store_clock&) const = default;
};

/// Applies the time that the store stated in an answer. The shorter the call,
/// the better the lead is known.
store_clock
UpdatedClock(const store_clock& aClock,
             store_time aStated,
             time_point aSentAt,
             time_point aReceivedAt);

/// A time by this gateway's clock that is not later than the store's time, and
/// earlier by no more than the shortest call took.
std::optional<time_point>
ToLocalTime(const store_clock& aClock, store_time aTime);

} // namespace primrose
