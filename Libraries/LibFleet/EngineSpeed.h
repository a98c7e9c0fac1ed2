#pragma once

/// The pace of an engine: measured time over the time that its declared timing
/// implies. 1 is as declared, 3 is three times slower.
///
/// A gateway measures the passes of an engine by the intervals between the
/// events of its own streams (LibFleet/PassIntervals), and hears from peers
/// what they measured. Its own fresh measurement takes precedence. Without
/// news, the pace decays to 1, so that an engine which gets no work because it
/// was slow is tried again.
///
/// One pace applies to decoding and prefill. Only the duration of decode passes
/// can be measured: prefill delays the events of a pass by an amount that
/// depends on which prompts the pass took in, which a gateway does not see.

#include "LibCore/LibCore.h"

#include <optional>
#include <vector>

namespace primrose {

/// Bounds of a pace. A slower engine is as good as unresponsive; a faster one
/// than twice as declared is more likely a wrong measurement.
inline constexpr double kMinPace = 0.5;
inline constexpr double kMaxPace = 10;
/// Paces that differ by less than this factor count as equal. With placements
/// of peers unknown, a pass of a typical engine takes up to 1.2 times as long
/// as expected.
inline constexpr double kNotablePaceRatio = 1.25;

/// The pace of one pass.
struct pace_sample
{
  double mPace = 1;
  time_point mAt{};

  bool operator==(const pace_sample&) const = default;
};

/// A pace that a gateway announced.
struct pace_report
{
  std::uint64_t mReporter = 0; ///< A hash of its host.
  double mPace = 1;
  time_point mObserved{};

  bool operator==(const pace_report&) const = default;
};

/// What a gateway knows of the pace of an engine.
struct engine_speed
{
  std::vector<pace_sample> mSamples; ///< Recent ones, oldest first.
  time_point mSampledAt{};           ///< Time of the last pass that was looked
                                     ///< at, whether or not it gave a sample.
  double mMeasured = 1;              ///< By this gateway.
  std::optional<time_point> mMeasuredAt;
  /// The last report of each gateway, this one included.
  std::vector<pace_report> mReports;
  /// Reports as of before this time concern an earlier instance of the engine.
  time_point mInstanceSince{};
  double mLoggedPace = 1;

  bool operator==(const engine_speed&) const = default;
};

/// True if the paces differ by `kNotablePaceRatio` or more.
bool
DiffersNotably(double aOne, double aOther);

/// True if a peer may state this pace.
bool
IsValidPace(double aPace);

/// Adds the pace of a pass that this gateway measured.
void
AddPaceSample(engine_speed& aSpeed, double aPace, time_point aNow);

/// Keeps this gateway's own measurement fresh, because a pass agreed with it.
/// False if there is none that is fresh.
bool
ConfirmPace(engine_speed& aSpeed, time_point aNow);

/// Adds a peer's report. Ignores one that is older than the peer's last, has
/// expired, or concerns an earlier instance of the engine.
void
AddPaceReport(engine_speed& aSpeed,
              const pace_report& aReport,
              time_point aNow);

/// This gateway's own measurement, if it is fresh.
std::optional<double>
FreshMeasurement(const engine_speed& aSpeed, time_point aNow);

/// The best estimate of the pace.
double
EstimatedPace(const engine_speed& aSpeed, time_point aNow);

/// The pace that decisions use: 1 if the estimate does not differ notably from
/// it.
double
PaceInForce(const engine_speed& aSpeed, time_point aNow);

/// The report that this gateway has to send to its peers now: its own fresh
/// measurement, if that differs notably from what the reports of the last
/// seconds say. Nothing is due for a second after it. Records the report as
/// sent.
std::optional<pace_report>
TakeDueReport(engine_speed& aSpeed, std::uint64_t aReporter, time_point aNow);

/// Forgets what is known; the engine has started again under its id.
void
ResetSpeed(engine_speed& aSpeed, time_point aNow);

} // namespace primrose
