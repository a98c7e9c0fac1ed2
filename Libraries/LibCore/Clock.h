#pragma once

/// Time: standard types only. Decisions receive the time as an argument; what
/// must ask for it takes a `clock_source`, so that tests hand in a manual one.

#include <chrono>

namespace primrose {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;
using wall_time =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// A source of time. `Now` is monotonic and is what deadlines and leases are
/// measured with; `Wall` is only for records that people read.
class clock_source
{
public:
  virtual ~clock_source() = default;
  virtual time_point Now() const = 0;
  virtual wall_time Wall() const = 0;
};

/// The machine's own clocks.
class system_clock_source final : public clock_source
{
public:
  time_point Now() const override;
  wall_time Wall() const override;
};

/// A clock that moves only when told to; for tests and virtual time.
class manual_clock_source final : public clock_source
{
public:
  time_point Now() const override { return mNow; }
  wall_time Wall() const override;
  void Advance(duration aStep) { mNow += aStep; }
  void Set(time_point aNow) { mNow = aNow; }

private:
  time_point mNow{};
};

/// Seconds as a floating number, for reports and formulas.
constexpr double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Milliseconds, rounded down; the unit of every wire field that is a time.
constexpr std::int64_t
Milliseconds(duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/// The nearest whole nanosecond of a number of seconds.
constexpr duration
FromSeconds(double aSeconds)
{
  constexpr double kNanosecondsPerSecond = 1e9;
  return duration(static_cast<std::int64_t>(aSeconds * kNanosecondsPerSecond));
}

} // namespace primrose
