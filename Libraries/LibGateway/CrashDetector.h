#pragma once

/// Detects endpoint crashes and which requests were running there, exchanges
/// crash reports with other gateways, and maintains the quarantine
/// (LibFleet/Quarantine).
///
/// A broken connection is no proof of a crash: the network may have reset it,
/// or the endpoint may have failed a single answer. An attempt without a
/// complete answer is therefore kept as an unresolved failure until there is
/// evidence. The endpoint has crashed if it refuses a connection, if another
/// endpoint now has its address, or if it left the list without draining and
/// cannot be reached.

#include "LibGateway/QuarantineTable.h"
#include "LibGateway/ReachabilityCheck.h"
#include "LibGossip/LibGossip.h"

namespace primrose {

/// An attempt that ended without a complete answer.
struct failed_attempt
{
  /// The request, then the parts of its prompt that others may share.
  std::vector<request_digest> mSuspects;
  std::string mEndpointId;
  bool mAnswering = false; ///< Part of the answer was received.
  /// The connection broke, so the endpoint's reachability is checked at once.
  bool mConnectionBroke = false;

  bool operator==(const failed_attempt&) const = default;
};

class crash_detector final : public crash_report_listener
{
public:
  crash_detector(event_loop& aLoop,
                 const gateway_settings& aSettings,
                 const store_adapter& aAdapter,
                 gateway_state& aBoard,
                 endpoint_connection_pool& aConnections,
                 gossip_sender& aSender);
  ~crash_detector() override;
  crash_detector(const crash_detector&) = delete;
  crash_detector& operator=(const crash_detector&) = delete;

  /// Loads the quarantined requests from the platform's store.
  void Start();
  /// Retries pending store operations at once, since the store answers again.
  void OnStoreReached();
  /// Calls `aCallback` once the quarantine is loaded, mostly at once. This
  /// matters because the first request after a start may be one that crashes
  /// endpoints. If the store does not answer, callers wait at most
  /// `kMaxStartupWait` after the start.
  void WhenQuarantineLoaded(std::function<void()> aCallback);

  void OnAttemptFailed(const failed_attempt& aAttempt);
  /// Evidence of a crash: for example, the endpoint refused a connection, or
  /// another endpoint now has its address.
  void OnEndpointCrashed(const std::string& aEndpointId,
                         std::string_view aEvidence);
  /// The platform's list shows the endpoint as draining, so it is alive and its
  /// end is planned.
  void OnEndpointDraining(const std::string& aEndpointId);
  /// The endpoint started again under its id, so its earlier run has ended.
  void OnEndpointRestarted(const std::string& aEndpointId);
  /// The endpoint was removed from the platform's list.
  void OnEndpointUnlisted(const std::string& aEndpointId);
  /// A request, or one with this part in its prompt, was answered completely.
  void OnAnswered(request_digest aSuspect);

  void OnPeerCrashReport(const crash_report& aReport,
                         const std::string& aHost) override;
  void MergeQuarantined(const std::vector<quarantined_request>& aQuarantined,
                        const std::string& aHost) override;
  void OnPeerCleared(request_digest aRequest,
                     const std::string& aHost) override;
  void OnPeerQuarantineHash(std::uint64_t aPeerHash,
                            const std::string& aHost) override;

  /// `aSuspects` are the digest of a request, then those of its prompt's parts.
  suspects_verdict Verdict(const std::vector<request_digest>& aSuspects) const;
  /// Claims the next trial of each of these in the platform's store, which
  /// grants each trial to at most one gateway. All must be granted.
  void ClaimTrials(std::vector<request_digest> aQuarantined,
                   std::function<void(bool)> aCallback);
  /// The request that made these trials was sent to no endpoint, so this
  /// gateway's next one may make them.
  void ReturnTrials(const std::vector<request_digest>& aQuarantined);

  /// Runs due work and expires old state; called several times a second.
  void Tick();

private:
  void ClaimTrial(request_digest aRequest, std::function<void(bool)> aCallback);
  struct unresolved_failure
  {
    failed_attempt mAttempt;
    ip_address mAddress;
    bool mReached = false; ///< The endpoint has accepted a connection since.
    time_point mFailedAt{};
  };
  /// The crash score that unresolved failures of this request would add if
  /// their endpoints turned out to have crashed.
  crash_score PendingSuspicion(request_digest aRequest) const;
  void CheckReachability(const std::string& aEndpointId,
                         const ip_address& aAddress);
  void OnReachabilityResult(const std::string& aEndpointId,
                            reachability aResult);
  /// Reports a crash under each suspect of the attempt.
  void ReportCrashes(const failed_attempt& aAttempt);
  void ReportCrash(const crash_report& aReport);
  void OnQuarantined(request_digest aRequest, const std::string& aReporter);
  void ScheduleClearedBroadcast(request_digest aRequest);
  void ExpireOldState();
  /// Runs the callbacks that wait for the quarantine to be loaded.
  void RunWaitingCallbacks();

  event_loop& mLoop;
  const gateway_settings& mSettings;
  gateway_state& mBoard;
  endpoint_connection_pool& mConnections;
  gossip_sender& mSender;
  quarantine_table mTable;
  std::map<std::string, std::vector<unresolved_failure>>
    mUnresolvedFailures; ///< By endpoint.
  std::map<std::string, time_point>
    mCrashed; ///< Endpoints, by time of detection.
  std::map<std::string, std::shared_ptr<reachability_check>>
    mReachabilityChecks;
  /// Requests that this gateway has reported for a crash, and when last.
  std::map<request_digest, time_point> mReported;
  std::map<request_digest, time_point> mTableWritesDue;
  std::set<request_digest> mWrittenRows; ///< Rows written by this gateway.
  std::map<request_digest, time_point> mClearedBroadcastsDue;
  std::set<request_digest> mClaimsInProgress;
  std::vector<std::function<void()>> mWaitingCallbacks;
  time_point mNextClaimAt{};
  std::map<std::string, time_point> mLastFullSend; ///< By peer host.
  time_point mLastExpiry{};
};

} // namespace primrose
