#pragma once

/// Finds out which endpoints ended, and under which requests; tells the other
/// entries, hears of theirs, and keeps the quarantine (LibFleet/Quarantine).
///
/// A connection that breaks off says little: the network may have reset it, or
/// the endpoint may have spoilt one answer. So each attempt that ends without a
/// whole answer is kept as a case until it is known whether its endpoint ended:
/// the endpoint refuses a connection, another one has its address, or it leaves
/// the list without having said so and cannot be reached.

#include "LibGateway/GossipSender.h"
#include "LibGateway/QuarantineTable.h"
#include "LibGateway/ReachabilityCheck.h"

namespace primrose {

/// How an attempt ended that brought no whole answer.
struct failed_attempt
{
  request_digest mRequest = 0;
  std::string mEndpointId;
  bool mAnswering = false; ///< A part of the answer had come.
  /// It broke off: worth asking at once whether the endpoint is still there.
  bool mConnectionBroke = false;

  bool operator==(const failed_attempt&) const = default;
};

class crash_detector
{
public:
  crash_detector(event_loop& aLoop,
                 const gateway_settings& aSettings,
                 const gateway_adapter& aAdapter,
                 gateway_state& aBoard,
                 endpoint_connection_pool& aConnections,
                 gossip_sender& aOutbox);
  ~crash_detector();
  crash_detector(const crash_detector&) = delete;
  crash_detector& operator=(const crash_detector&) = delete;

  /// Learns from the platform what is held.
  void Start();
  /// The store answers again: what it has not told yet is asked for at once.
  void OnStoreReached();
  /// Calls `aThen` once it is known what is held, mostly at once: a request
  /// that ends endpoints may be the first that comes to an entry that has
  /// started. Where the store does not tell, callers wait for no longer than a
  /// moment after the start.
  void WhenQuarantineLoaded(std::function<void()> aThen);

  void OnAttemptFailed(const failed_attempt& aAttempt);
  /// The endpoint refused a connection, or another one has its address.
  void OnEndpointCrashed(const std::string& aEndpointId,
                         std::string_view aSeenBy);
  /// The platform's list shows it as leaving: it is there, and ends as planned.
  void OnEndpointDraining(const std::string& aEndpointId);
  /// The platform's list dropped an endpoint.
  void OnEndpointUnlisted(const std::string& aEndpointId);
  /// A request was answered whole.
  void OnRequestAnswered(request_digest aRequest);

  void OnPeerCrashReport(const crash_report& aReport, const std::string& aHost);
  void MergeQuarantined(const std::vector<quarantined_request>& aHeld,
                        const std::string& aHost);
  void OnPeerCleared(request_digest aRequest, const std::string& aHost);
  /// What a peer says of all that it holds: if that is not what this entry
  /// holds, the peer gets this entry's.
  void OnPeerQuarantineHash(std::uint64_t aState, const std::string& aHost);

  quarantine_verdict Verdict(request_digest aRequest) const;
  /// Whether this entry may make a trial of a held request. At most one entry
  /// is told so, once for each trial; to find out takes a call of the store.
  void ClaimTrial(request_digest aRequest, std::function<void(bool)> aThen);

  /// Does what is due, and forgets what is old; called several times a second.
  void Tick();

private:
  struct unresolved_failure
  {
    failed_attempt mAttempt;
    ip_address mAddress;
    bool mReached = false; ///< The endpoint took a connection after it.
    time_point mFailedAt{};
  };
  /// What the cases would add if their endpoints turned out to have ended.
  crash_score Pending(request_digest aRequest) const;
  void Check(const std::string& aEndpointId, const ip_address& aAddress);
  void OnReachabilityResult(const std::string& aEndpointId,
                            reachability aResult);
  void Report(const crash_report& aReport);
  void OnQuarantined(request_digest aRequest, const std::string& aToldBy);
  void ScheduleClearedBroadcast(request_digest aRequest);
  void ExpireOldState();
  void RunWaitingCallbacks();

  event_loop& mLoop;
  const gateway_settings& mSettings;
  gateway_state& mBoard;
  endpoint_connection_pool& mConnections;
  gossip_sender& mGossipSender;
  quarantine_table mTable;
  std::map<std::string, std::vector<unresolved_failure>>
    mUnresolvedFailures;                    ///< By endpoint.
  std::map<std::string, time_point> mEnded; ///< Endpoints, when found out.
  std::map<std::string, std::shared_ptr<reachability_check>>
    mReachabilityChecks;
  /// Requests of which this entry reported an end, and when last.
  std::map<request_digest, time_point> mReported;
  std::map<request_digest, time_point> mTableWritesDue;
  std::set<request_digest> mRows; ///< That this entry added to the table.
  std::map<request_digest, time_point> mClearedBroadcastsDue;
  std::set<request_digest> mClaimsInProgress;
  std::vector<std::function<void()>> mWaiting; ///< For what is held.
  time_point mNextClaimAt{};
  std::map<std::string, time_point> mTold; ///< By host, all that is held.
  time_point mLastExpiry{};
};

} // namespace primrose
