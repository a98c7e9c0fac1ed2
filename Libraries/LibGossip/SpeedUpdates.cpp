#include "LibGossip/SpeedUpdates.h"

namespace primrose {

namespace {

/// Reports in one datagram, at about 9 bytes each.
constexpr std::size_t kMaxSpeedsPerDatagram = 64;

/// The id of the engine with this key; empty if it is not listed.
std::string
EndpointId(const gateway_state& aBoard, engine_key aEngine)
{
  for (const auto& [id, known] : aBoard.mEndpoints.mEndpoints) {
    if (EngineKey(id) == aEngine) {
      return id;
    }
  }
  return {};
}

/// Puts the engine's pace in force. Logs a change by a quarter or more;
/// `aReporter` is the host of the peer that reported it, if one did.
void
PutPaceInForce(const gateway_state& aBoard,
               engine_key aEngine,
               engine_load& aLoad,
               const std::string& aReporter,
               time_point aNow)
{
  engine_speed& speed = aLoad.mSpeed;
  if (!UpdatePace(aLoad, aNow) ||
      !DiffersNotably(aLoad.mPace, speed.mLoggedPace)) {
    return;
  }
  const bool own = FreshMeasurement(speed, aNow).has_value();
  Log(log_level::Info,
      "engine_pace",
      { { "endpoint", EndpointId(aBoard, aEngine) },
        { "pace", aLoad.mPace },
        { "before", speed.mLoggedPace },
        { "samples", speed.mSamples.size() },
        { "reports", speed.mReports.size() },
        { "source",
          own                      ? "own"
          : speed.mReports.empty() ? "decay"
                                   : "peer" },
        { "told_by", aReporter } });
  speed.mLoggedPace = aLoad.mPace;
}

/// True if the key is that of an engine that is listed or has been given work.
bool
IsListed(const gateway_state& aBoard, engine_key aEngine)
{
  return aBoard.mSubsetRing.mEngines.contains(aEngine) ||
         aBoard.mLedger.mEngines.contains(aEngine);
}

} // namespace

std::optional<speed_report>
RecordStreamEvents(gateway_state& aBoard,
                   const std::string& aOwnHost,
                   const std::string& aEndpointId,
                   const engine_timing& aTiming,
                   stream_events& aStream,
                   const events_read& aRead,
                   time_point aNow)
{
  const std::optional<pass_interval> interval =
    RecordEvents(aStream, aRead.mEvents, aNow);
  if (!interval.has_value() && !aRead.mFirstAfter.has_value()) {
    return std::nullopt;
  }
  const engine_key engine = EngineKey(aEndpointId);
  const auto found = aBoard.mLedger.mEngines.find(engine);
  if (found == aBoard.mLedger.mEngines.end()) {
    return std::nullopt;
  }
  const bool isNews =
    interval.has_value()
      ? RecordPass(found->second, aTiming, *interval, aNow)
      : RecordFirstEvent(found->second, aTiming, *aRead.mFirstAfter, aNow);
  if (!isNews) {
    return std::nullopt;
  }
  PutPaceInForce(aBoard, engine, found->second, "", aNow);
  const std::optional<pace_report> due =
    TakeDueReport(found->second.mSpeed, Hash(aOwnHost), aNow);
  return due.has_value()
           ? std::optional(speed_report{ engine, due->mPace, due->mObserved })
           : std::nullopt;
}

void
ApplyPeerSpeeds(gateway_state& aBoard,
                const std::vector<speed_report>& aReports,
                const std::string& aHost,
                time_point aNow)
{
  std::size_t malformed = 0;
  double lastMalformed = 0;
  for (const speed_report& one : aReports) {
    if (!IsValidPace(one.mPace)) {
      ++malformed;
      lastMalformed = one.mPace;
      continue;
    }
    if (!IsListed(aBoard, one.mEngine)) {
      continue;
    }
    engine_load& load = aBoard.mLedger.mEngines[one.mEngine];
    AddPaceReport(load.mSpeed, { Hash(aHost), one.mPace, one.mObserved }, aNow);
    PutPaceInForce(aBoard, one.mEngine, load, aHost, aNow);
  }
  if (malformed > 0) {
    Log(log_level::Warning,
        "engine_pace_malformed",
        { { "host", aHost },
          { "reports", malformed },
          { "pace", lastMalformed } });
  }
}

void
UpdatePaces(gateway_state& aBoard, time_point aNow)
{
  for (auto& [engine, load] : aBoard.mLedger.mEngines) {
    if (load.mPace != 1) {
      PutPaceInForce(aBoard, engine, load, "", aNow);
    }
  }
}

void
ForgetSpeed(gateway_state& aBoard,
            const std::string& aEndpointId,
            time_point aNow)
{
  const engine_key engine = EngineKey(aEndpointId);
  const auto found = aBoard.mLedger.mEngines.find(engine);
  if (found != aBoard.mLedger.mEngines.end()) {
    ResetSpeed(found->second.mSpeed, aNow);
    (void)UpdatePace(found->second, aNow);
  }
}

std::vector<speed_report>
OwnSpeedReports(const gateway_state& aBoard, time_point aNow)
{
  std::vector<speed_report> reports;
  for (const auto& [engine, load] : aBoard.mLedger.mEngines) {
    const std::optional<double> own = FreshMeasurement(load.mSpeed, aNow);
    if (own.has_value() && DiffersNotably(*own, 1) &&
        reports.size() < kMaxSpeedsPerDatagram) {
      reports.push_back({ engine, *own, *load.mSpeed.mMeasuredAt });
    }
  }
  return reports;
}

} // namespace primrose
