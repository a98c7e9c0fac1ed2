#include "LibGossip/GatewayMetrics.h"

#include "LibGossip/OrganisationReports.h"

#include <algorithm>

namespace primrose {

namespace {

constexpr double kMsPerSecond = 1e3;
constexpr std::string_view kEvacuatedFamily = "gateway_data_centre_evacuated";
constexpr std::string_view kColdFamily = "gateway_endpoint_cold_seconds";
/// Cold endpoints with a series of their own, each of about 70 bytes.
constexpr std::size_t kMaxColdSeries = 64;

/// How current the copies of the tables are, and which of them this gateway
/// reads from the store.
void
SetFreshnessGauges(gateway_state& aState, time_point aNow)
{
  for (const auto& [table, name] :
       { std::pair(belief::Operator, "operators"),
         std::pair(belief::Endpoints, "endpoints") }) {
    const std::optional<duration> age = CopyAge(aState, table, aNow);
    aState.mMetrics.Set(Labelled("gateway_copy_age_seconds", "table", name),
                        age.has_value() ? Seconds(*age) : -1);
    aState.mMetrics.Set(
      Labelled("gateway_reads_table", "table", name),
      FreshnessOf(aState, table).mReaderRank < kTableReaders ? 1 : 0);
  }
}

/// Which data centres are evacuated, and which endpoints are cold.
void
SetRestrictionGauges(gateway_state& aState, time_point aNow)
{
  metrics& out = aState.mMetrics;
  out.ClearGauges(kEvacuatedFamily);
  for (const std::string& dataCentre :
       EvacuatedDataCentres(aState.mEvacuations)) {
    out.Set(Labelled(kEvacuatedFamily, "data_centre", dataCentre), 1);
  }
  out.ClearGauges(kColdFamily);
  std::size_t cold = 0;
  for (const auto& [id, known] : aState.mEndpoints.mEndpoints) {
    if (IsCold(known.mWarmUp, aNow) && ++cold <= kMaxColdSeries) {
      out.Set(Labelled(kColdFamily, "endpoint", id),
              Seconds(known.mWarmUp.mColdUntil - aNow));
    }
  }
  out.Set("gateway_endpoints_cold", static_cast<double>(cold));
}

void
SetEngineGauges(gateway_state& aState, time_point aNow)
{
  double reading = 0;
  double mostReading = 0;
  double memory = 0;
  double mostMemory = 0;
  double writing = 0;
  double slow = 0;
  double slowest = 1;
  for (const auto& [key, load] : aState.mLedger.mEngines) {
    slow += load.mPace > 1 ? 1 : 0;
    slowest = std::max(slowest, load.mPace);
    const double seconds = BacklogMs(load, aNow) / kMsPerSecond;
    reading += seconds;
    mostReading = std::max(mostReading, seconds);
    memory += load.mTokens;
    mostMemory = std::max(mostMemory, load.mTokens);
    writing += static_cast<double>(load.mDecoding.size());
  }
  metrics& out = aState.mMetrics;
  out.Set("gateway_promised_reading_seconds", reading);
  out.Set("gateway_promised_reading_seconds_most", mostReading);
  out.Set("gateway_engine_memory_tokens", memory);
  out.Set("gateway_engine_memory_tokens_most", mostMemory);
  out.Set("gateway_engine_requests", writing);
  out.Set("gateway_engines_slow", slow);
  out.Set("gateway_engine_pace_most", slowest);
}

std::string_view
NameOf(table_read_result::outcome aOutcome)
{
  switch (aOutcome) {
    case table_read_result::outcome::Good:
      return "good";
    case table_read_result::outcome::HistoryLost:
      return "history_lost";
    case table_read_result::outcome::Refused:
      return "refused";
    case table_read_result::outcome::NoAnswer:
      return "no_answer";
  }
  return "";
}

std::string_view
NameOf(peer_traffic aTraffic)
{
  switch (aTraffic) {
    case peer_traffic::UpdatesSent:
      return "news_sent";
    case peer_traffic::HeartbeatsSent:
      return "beats_sent";
    case peer_traffic::CrashReportsSent:
      return "crashes_sent";
    case peer_traffic::VersionsSent:
      return "versions_sent";
    case peer_traffic::Received:
      return "received";
  }
  return "";
}

std::string
PeerBytesSeries(peer_traffic aTraffic)
{
  return Labelled("gateway_peer_bytes_total", "kind", NameOf(aTraffic));
}

std::string
StoreCallsSeries(table_read_result::outcome aOutcome)
{
  return Labelled("gateway_store_calls_total", "outcome", NameOf(aOutcome));
}

std::int64_t
CounterValue(const metrics& aMetrics, const std::string& aName)
{
  return static_cast<std::int64_t>(aMetrics.Value(aName));
}

/// Time since the last datagram of the peer that has been silent longest.
duration
LongestPeerSilence(const gateway_state& aState, time_point aNow)
{
  duration longest{};
  for (const auto& [host, peer] : aState.mPeers) {
    longest = std::max(longest, aNow - peer.mLastReceivedAt);
  }
  return longest;
}

std::int64_t
CountPreferred(const endpoint_registry& aEndpoints)
{
  return std::count_if(
    aEndpoints.mEndpoints.begin(),
    aEndpoints.mEndpoints.end(),
    [](const auto& aEntry) { return aEntry.second.mPreferred; });
}

} // namespace

void
SetGauges(gateway_state& aState, time_point aNow)
{
  metrics& out = aState.mMetrics;
  out.Set("gateway_open_requests", static_cast<double>(aState.mOpenRequests));
  out.Set("gateway_lateness_seconds", Seconds(aState.mLateness));
  out.Set("gateway_resting", aState.mRotation.mResting ? 1 : 0);
  out.Set("gateway_endpoints",
          static_cast<double>(aState.mEndpoints.mEndpoints.size()));
  out.Set(
    "gateway_endpoints_avoided",
    static_cast<double>(std::count_if(
      aState.mEndpoints.mEndpoints.begin(),
      aState.mEndpoints.mEndpoints.end(),
      [aNow](const auto& aEntry) { return IsAvoided(aEntry.second, aNow); })));
  out.Set("gateway_endpoints_leaving",
          static_cast<double>(std::count_if(
            aState.mEndpoints.mEndpoints.begin(),
            aState.mEndpoints.mEndpoints.end(),
            [](const auto& aEntry) { return IsLeaving(aEntry.second); })));
  out.Set("gateway_endpoints_resting",
          static_cast<double>(std::count_if(
            aState.mEndpoints.mEndpoints.begin(),
            aState.mEndpoints.mEndpoints.end(),
            [aNow](const auto& aEntry) {
              return !IsLeaving(aEntry.second) &&
                     !AcceptsRequests(aEntry.second.mNotice, aNow);
            })));
  out.Set("gateway_requests_held",
          static_cast<double>(aState.mQuarantine.mHeld.size()));
  out.Set("gateway_requests_suspected",
          static_cast<double>(aState.mQuarantine.mSuspects.size()));
  out.Set("gateway_endpoints_preferred",
          static_cast<double>(CountPreferred(aState.mEndpoints)));
  out.Set("gateway_peers", static_cast<double>(aState.mPeers.size()));
  out.Set("gateway_peer_silence_seconds_most",
          Seconds(LongestPeerSilence(aState, aNow)));
  out.Set("gateway_log_lines_dropped_total",
          static_cast<double>(DroppedLogLines()));
  out.Set("gateway_manifest_age_seconds",
          aState.mManifest == nullptr
            ? -1
            : Seconds(aNow - aState.mManifestAppliedAt));
  for (const auto& [table, reached] : aState.mStoreAnsweredAt) {
    out.Set(Labelled("gateway_store_answer_age_seconds", "table", table),
            Seconds(aNow - reached));
  }
  SetFreshnessGauges(aState, aNow);
  for (const auto& [table, since] : aState.mPeersAheadSince) {
    out.Set(Labelled("gateway_behind_seconds", "belief", table),
            since.has_value() ? Seconds(aNow - *since) : 0);
  }
  out.Set("gateway_answer_bytes_held",
          static_cast<double>(aState.mAnswerMemory.mBytes));
  SetEngineGauges(aState, aNow);
  SetOrganisationGauges(aState, aNow);
  SetRestrictionGauges(aState, aNow);
}

void
CountStream(metrics& aMetrics, const stream_times& aTimes)
{
  aMetrics.Observe("gateway_first_event_seconds", Seconds(aTimes.mFirstEvent));
  aMetrics.Observe("gateway_longest_pause_seconds",
                   Seconds(aTimes.mLongestPause));
  if (aTimes.mFirstEvent > aTimes.mObjective) {
    aMetrics.Count(Labelled("gateway_late_total", "what", "first_event"));
  }
  if (aTimes.mAllowedPause > duration::zero() &&
      aTimes.mLongestPause > aTimes.mAllowedPause) {
    aMetrics.Count(Labelled("gateway_late_total", "what", "pause"));
  }
}

void
CountPeerBytes(metrics& aMetrics, peer_traffic aTraffic, std::size_t aBytes)
{
  aMetrics.Count(PeerBytesSeries(aTraffic), static_cast<double>(aBytes));
}

void
LogFleetStatus(const gateway_state& aState, time_point aNow)
{
  const metrics& counters = aState.mMetrics;
  std::int64_t failedCalls = 0;
  for (const table_read_result::outcome failed :
       { table_read_result::outcome::HistoryLost,
         table_read_result::outcome::Refused,
         table_read_result::outcome::NoAnswer }) {
    failedCalls += CounterValue(counters, StoreCallsSeries(failed));
  }
  Log(
    log_level::Info,
    "knowledge",
    { { "peers", aState.mPeers.size() },
      { "peer_silence_most_ms",
        Milliseconds(LongestPeerSilence(aState, aNow)) },
      { "endpoints", aState.mEndpoints.mEndpoints.size() },
      { "endpoints_preferred", CountPreferred(aState.mEndpoints) },
      { "placed", aState.mLastPlacementNumber },
      { "placed_heard",
        CounterValue(counters, "gateway_placements_heard_total") },
      { "placed_missed",
        CounterValue(counters, "gateway_placements_missed_total") },
      { "news_peers_skipped",
        CounterValue(counters, "gateway_news_peers_skipped_total") },
      { "news_sent_bytes",
        CounterValue(counters, PeerBytesSeries(peer_traffic::UpdatesSent)) },
      { "beats_sent_bytes",
        CounterValue(counters, PeerBytesSeries(peer_traffic::HeartbeatsSent)) },
      { "crashes_sent_bytes",
        CounterValue(counters,
                     PeerBytesSeries(peer_traffic::CrashReportsSent)) },
      { "held", aState.mQuarantine.mHeld.size() },
      { "received_bytes",
        CounterValue(counters, PeerBytesSeries(peer_traffic::Received)) },
      { "store_calls",
        CounterValue(counters,
                     StoreCallsSeries(table_read_result::outcome::Good)) },
      { "store_calls_failed", failedCalls } });
}

void
CountStoreCall(metrics& aMetrics, table_read_result::outcome aOutcome)
{
  aMetrics.Count(StoreCallsSeries(aOutcome));
}

} // namespace primrose
