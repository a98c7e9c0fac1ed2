#pragma once

/// Time types and clocks. Decision code receives the time as an argument. Code
/// that has to query the time takes a `clock_source`, so that tests can pass a
/// manual clock.

#include <chrono>

namespace primrose {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;
using wall_time =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// A clock. `Now` is monotonic and is used for deadlines and leases. `Wall` is
/// the wall-clock time, used only in records for operators.
class clock_source
{
public:
  virtual ~clock_source() = default;
  virtual time_point Now() const = 0;
  virtual wall_time Wall() const = 0;
};

/// The clocks of the operating system.
class system_clock_source final : public clock_source
{
public:
  time_point Now() const override;
  wall_time Wall() const override;
};

/// A clock that only advances through `Advance` and `Set`; for tests and
/// simulations in virtual time.
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

/// A duration as floating-point seconds, for reports and formulas.
constexpr double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// A duration in whole milliseconds, truncated. Every time field on the wire is
/// in milliseconds.
constexpr std::int64_t
Milliseconds(duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/// Converts seconds to a duration, truncated to whole nanoseconds.
constexpr duration
FromSeconds(double aSeconds)
{
  constexpr double kNanosecondsPerSecond = 1e9;
  return duration(static_cast<std::int64_t>(aSeconds * kNanosecondsPerSecond));
}

} // namespace primrose
