#pragma once

/// Handles one request of a caller, from the complete request to the final
/// answer: admission, choice of an endpoint, retries, and forwarding of the
/// answer.

#include "LibGateway/AnswerLimiter.h"
#include "LibGateway/Attempt.h"
#include "LibGateway/CrashDetector.h"
#include "LibGateway/MemoryReservation.h"
#include "LibGateway/StartupGate.h"
#include "LibGossip/LibGossip.h"

#include <memory>

namespace primrose {

/// Objects that all exchanges of a gateway share.
struct gateway_context
{
  event_loop& mLoop;
  const gateway_settings& mSettings;
  const gateway_adapter& mAdapter;
  gateway_state& mBoard;
  endpoint_connection_pool& mConnections;
  gossip_sender& mGossipSender;
  crash_detector& mCrashDetector;
  startup_gate& mStartupGate;
  std::weak_ptr<answer_limiter> mAnswerLimiter;
};

/// Writes the answer to the caller's connection.
class response_writer
{
public:
  virtual ~response_writer() = default;
  virtual void Write(std::string_view aBytes) = 0;
  virtual std::size_t Pending() const = 0;
  /// States how many bytes of the answer are held that were not written yet.
  virtual void SetUnwritten(std::size_t aBytes) = 0;
  /// Ends a complete answer. With `aKeepAlive`, the connection accepts another
  /// request.
  virtual void Finish(bool aKeepAlive) = 0;
  /// Closes the connection in the middle of an answer that cannot be completed,
  /// so that the caller does not take the part that was written for a complete
  /// answer.
  virtual void Abort() = 0;
};

class exchange final
  : public attempt_owner
  , public std::enable_shared_from_this<exchange>
{
public:
  exchange(const gateway_context& aContext,
           response_writer& aResponse,
           http_head aHead,
           std::string aBody);
  ~exchange() override;
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  void Start();
  /// Cancels all work for this request, because the caller closed its
  /// connection.
  void OnCallerDisconnected();
  /// Ends the answer, because the answers of all requests take too much memory.
  void OnAnswerMemoryExhausted();
  /// Resumes reading from the endpoint once the response buffer is empty.
  void OnResponseDrained();

  void OnAnswerHead(attempt& aAttempt) override;
  void OnAnswerBody(attempt& aAttempt) override;
  bool IsBodyComplete(const attempt& aAttempt) const override;
  void OnAnswerEnd(attempt& aAttempt) override;
  void OnAttemptEnd(attempt& aAttempt,
                    attempt_end aEnd,
                    const std::string& aWhy) override;

private:
  enum class state : std::uint8_t
  {
    Open,
    Ended,
  };
  /// Admits and dispatches the request, once the gateway has read its tables.
  void Begin();
  bool Admit();
  bool Authenticate();
  /// Sets the rank and the organisation that decide under overload.
  void Classify();
  /// True if the gateway is draining and a request with this time limit may not
  /// end before the drain period does.
  bool WouldExceedDrain(duration aLimit) const;
  /// Dispatches the request unless it, or a part of its prompt, is quarantined,
  /// that is, suspected of crashing endpoints. Otherwise refuses it, or claims
  /// a quarantine trial where one is due.
  void DispatchUnlessQuarantined();
  void RefuseQuarantined(const suspects_verdict& aVerdict);
  void Dispatch();
  /// Chooses engines and sends, postpones or refuses the request; false if no
  /// engine can be chosen.
  bool TrySendToEngines();
  /// Chooses an endpoint of a service without engines and sends the request to
  /// it; false if none can be chosen.
  bool TrySendToPlainEndpoint();
  endpoint_scope Scope() const;
  /// What an engine has to do for the request, without what admission decides
  /// by.
  placement_request DescribePrompt() const;
  placement_request DescribeEngineWork() const;
  /// The latency target of the route. A route without one gets the whole time
  /// limit: a target of 0 would make every answer late and every endpoint
  /// unresponsive.
  duration LatencyTarget() const;
  /// Evaluates the placement again after `kReevaluationInterval`.
  void PostponePlacement(const engine_choice& aChoice);
  /// Calls `Dispatch` after `kReevaluationInterval`.
  void DispatchLater();
  void RefuseOverloaded(const engine_choice& aChoice,
                        const placement_request& aWork);
  void RefuseWithoutSlot(const slot_refusal& aRefusal);
  duration MaxRetryAfter() const;
  duration RetryAfterOfSlots(const slot_refusal& aRefusal) const;
  /// Logs the use and the share of the organisation.
  void LogShare() const;
  /// The rank by which the request is placed now: its own, or the most urgent
  /// one of the service while its own is below the floor.
  unsigned PlacementRank() const;
  /// Counts the first decision on the request in the floor of its rank and in
  /// the metrics.
  void CountRankDecision(bool aAdmitted);
  /// The rank as it is logged: empty where ranks take no effect.
  std::string RankText(unsigned aRank) const;
  /// Refuses a request that a full engine has rejected and that cannot be sent
  /// to another one.
  void RefuseAfterRejection();
  /// Slots that have to stay free when this request is admitted; no value if
  /// requests are not refused for want of slots.
  std::optional<slot_reserve> SlotReserve() const;
  /// True if the size of the request affects its admission: unless disabled,
  /// and until it is sent to an engine.
  bool IsDecidedBySize() const;
  /// Counts the request once among those that were offered by size.
  void RecordSizeOffer();
  void RecordSizeOutcome(const placement_request& aWork, bool aAdmitted);
  void RecordPlacement(const engine_choice& aChoice,
                       const placement_request& aWork);
  void ReserveMemory(const engine_choice& aChoice);
  /// True if these engines still accept requests. They may have announced
  /// otherwise while memory was being reserved.
  bool AllAcceptRequests(const endpoint& aDecodeEngine,
                         const std::vector<endpoint>& aHelpers) const;
  /// Sends the prompt to the engine that decodes. The first `aReservedCount`
  /// helpers have reserved memory for it.
  void SendToEngines(const endpoint& aDecodeEngine,
                     const std::vector<endpoint>& aHelpers,
                     std::size_t aReservedCount);
  void StartAttempt(const endpoint& aEndpoint,
                    const std::vector<prefill_helper>& aHelpers);
  void StartResponseTimer(duration aLimit);
  void StartStallTimer(const attempt& aAttempt);
  void OnResponseTimeout();
  /// Starts the response timer again if the engine is known to be busy rather
  /// than unresponsive; true if it is.
  bool WaitForBusyEngine();
  void LogResponseTimeout() const;
  /// The state of the attempt's endpoint; null if it is no longer listed.
  known_endpoint* FindEndpoint(const attempt& aAttempt) const;
  /// The work that is placed on the engine; null if there is none.
  const engine_load* FindEngineLoad(const attempt& aAttempt) const;
  /// True if all slots of the engine are known to be taken and the endpoint
  /// recently sent data for any request of this gateway.
  bool IsFullButResponsive(const attempt& aAttempt) const;
  /// Estimated time that the endpoint needs to finish its queued prefill before
  /// it decodes again. Before the first event of a divided prompt: the longest
  /// such time of its engines.
  duration PrefillBacklog(const attempt& aAttempt) const;
  void OnDeadline();
  /// Takes one retry from the retry budget of the service; false if it is
  /// spent.
  bool ConsumeRetryBudget();
  /// True if the request may be retried and another endpoint is available.
  bool CanRetryElsewhere();
  std::optional<retry_targets> FindTargets() const;
  /// True if the caller has a part of a stream that another engine may resume.
  /// Such a request can neither be refused nor answered with a failure.
  bool HasBegunAndMayResume() const;
  /// True while a stream that is to be resumed waits for an engine with room.
  bool MayWaitForRoom() const;
  /// Resumes the stream as soon as the retry budget and the endpoints allow it.
  /// Gives up if the request has not begun a stream that may be resumed.
  void ResumeOrGiveUp(error_kind aKind, const std::string& aWhy);
  /// The same after an attempt that has ended without the rest of the stream.
  void ResumeAfterFailure(const std::string& aWhy);
  /// Calls `ResumeOrGiveUp` again after `kReevaluationInterval`.
  void PostponeRetry(error_kind aKind, const std::string& aWhy);
  /// Counts and logs a retry that was wanted and not made, once for each reason
  /// in a row.
  void LogRetryDenied(std::string_view aWhy);
  bool IsRetryable() const;
  void Retry(const std::string& aWhy);
  void GiveUp(error_kind aKind, const std::string& aWhy);
  void GiveUp(error_kind aKind, const std::string& aWhy, double aRetryAfter);
  void Refuse(error_kind aKind, const std::string& aWhy, double aRetryAfter);
  void Answer(const failure& aFailure);
  void ForwardCompleteAnswer(attempt& aAttempt);
  void ForwardEvents(attempt& aAttempt);
  /// Forwards an answer that is too large to be kept until it is complete, as
  /// it arrives.
  void ForwardLargeAnswer(attempt& aAttempt);
  /// Begins to forward a large answer; false if the request was ended, or is
  /// retried, instead.
  bool BeginLargeAnswer(attempt& aAttempt);
  void EndLargeAnswer(attempt& aAttempt);
  /// Ends an answer of the endpoint that was forwarded whole.
  void EndForwarded(unsigned aStatus);
  /// Stops reading from the endpoint while the caller reads too slowly; true if
  /// so.
  bool PauseForSlowCaller(attempt& aAttempt);
  void WriteHead(const http_head& aHead, std::optional<std::size_t> aLength);
  /// Ends the current attempt, its memory reservation and its placement.
  void ReleaseAttempt();
  /// Reports an attempt that ends without a complete answer to
  /// `mCrashDetector`, which detects crashes. `aEndpointAtFault` is false where
  /// the caller left or the deadline passed.
  void ReportUnfinishedAttempt(const attempt& aAttempt, bool aEndpointAtFault);
  void RecordReportedLoad(const attempt& aAttempt);
  /// Measures the pace of the engine by the events that were read at once, and
  /// announces it to the peers if they know another.
  void RecordEnginePace(const attempt& aAttempt, std::uint64_t aEvents);
  /// The pace of the attempt's engine; 1 if it is as declared or not known.
  double EnginePace(const attempt& aAttempt) const;
  /// True if the attempt's engine is known to be slower than when the response
  /// timer was started. Starts the timer again for the additional time.
  bool ExtendForSlowEngine();
  /// True if the engine rejected the request because all its slots, and its
  /// queue, are in use.
  bool IsRejectedByFullEngine(const attempt& aAttempt) const;
  /// Records that the engine is full, whatever the ledger knows of it.
  void RecordFullEngine(const attempt& aAttempt);
  /// Applies the rate limit that the endpoint's answer reports and broadcasts
  /// it to the peers.
  void ApplyReportedLimit(const attempt& aAttempt);
  /// Applies what the endpoint's answer announces about the endpoint itself.
  void ApplyEndpointNotice(const attempt& aAttempt);
  /// Why no endpoint can be chosen for the request, as logged.
  std::string_view ReasonForNoEndpoint() const;
  /// Refuses a request for which no endpoint can be chosen.
  void RefuseUnplaced();
  /// Retry-After of a refusal, if all endpoints of the service rest or are
  /// limited: the time until the first of them is admissible.
  std::optional<duration> RetryAfterOfService() const;
  /// Records that the endpoint responded just now.
  void RecordEndpointActivity(const attempt& aAttempt);
  void UpdateEndpointHealth(const attempt& aAttempt,
                            endpoint_health_event aSign);
  void UpdateEndpointHealth(known_endpoint& aEndpoint,
                            endpoint_health_event aSign);
  /// The helper that a refusal names: an engine that refused to prefill a part
  /// of the prompt. Null if the refusal names no other engine than the one that
  /// sent it.
  known_endpoint* FindRefusingHelper(const attempt& aAttempt);
  void RetryWithoutHelper(known_endpoint& aHelper, const std::string& aWhy);
  void End(std::string_view aOutcome, const std::string& aWhy);
  bool KeepAlive() const;
  duration TimeLeft() const;

  gateway_context mContext;
  response_writer* mResponse;
  http_head mHead;
  std::string mBody;
  request_info mRequestInfo;
  manifest_pointer mManifest; ///< As of admission; keeps `mRoute` valid.
  const route* mRoute = nullptr;
  const service* mService = nullptr;
  std::string mOrganisation;
  request_class mClass;
  bool mRanked = false;        ///< Ranks take effect for the service.
  bool mRankCounted = false;   ///< See `CountRankDecision`.
  unsigned mRankForwarded = 0; ///< Of the current attempt, if ranked.
  allowed_regions mRegions;    ///< Of the route and the organisation.
  request_digest mDigest = 0;
  /// What may crash endpoints: the request, and the parts of its prompt that
  /// others may share.
  std::vector<request_digest> mSuspects;
  time_point mStarted{};
  time_point mDeadline{};
  std::shared_ptr<attempt> mAttempt;
  /// Endpoints that the request was sent to, in the order of the attempts.
  std::vector<std::string> mAttemptedEndpoints;
  /// Endpoints not to choose: attempted before, unreachable or refusing.
  std::vector<std::string> mExcludedEndpoints;
  std::optional<placement_key> mPlacement;
  std::shared_ptr<memory_reservation> mMemory;
  std::size_t mMemoryRefusals = 0;
  std::size_t mHelperRefusals = 0;
  /// Endpoints one of which is asked again; see `retry_targets`.
  std::vector<std::string> mAskAgain;
  time_point mAskAgainAt{};
  unsigned mFailedResumptions = 0;  ///< Since the last event.
  bool mRetryPostponed = false;     ///< See `PostponeRetry`.
  std::string_view mLoggedDenial;   ///< See `LogRetryDenied`.
  double mExpectedFirstEventMs = 0; ///< Estimated when the request was placed.
  std::size_t mHelperCount = 0;
  std::optional<duration> mConnectTime; ///< Of the last attempt that ended.
  bool mMayHaveRun = false;             ///< Sent, and not known to be refused.
  bool mNeedsNewConnection = false;
  /// A full engine has rejected the request, and no engine may have run it.
  bool mRejectedByFullEngine = false;
  duration mWaitedBefore{};  ///< See `placement_request`.
  bool mPostponed = false;   ///< See `PostponePlacement`.
  bool mSizeOffered = false; ///< See `RecordSizeOffer`.
  bool mSizeDecided = false; ///< See `RecordSizeOutcome`.
  /// What this request is a quarantine trial of. A trial is sent only once.
  std::vector<request_digest> mTrialOf;
  bool mReachedEndpoint = false;
  bool mStreaming = false;
  bool mAttemptHasEvents = false; ///< The current attempt has sent an event.
  bool mHeadWritten = false;
  /// A large answer is being forwarded as it arrives, so it can't be replaced.
  bool mForwardingLargeAnswer = false;
  bool mReadingPaused = false;
  body_framing mAnswerFraming = body_framing::None; ///< Of the last answer.
  /// Bytes after the last whole event of the stream, at its end.
  std::size_t mTrailingBytes = 0;
  event_cursor mCursor;
  stream_events mEvents; ///< Of the current attempt.
  /// Pace of the engine that the response timer allows for, and the time that
  /// it allows.
  double mTimeoutPace = 1;
  duration mResponseTimeout{};
  /// Head of the first attempt that streamed.
  std::optional<http_head> mStreamHead;
  time_point mFirstEventAt{};
  time_point mLastEventAt{};
  duration mLongestPause{};
  state mState = state::Open;
  timer_id mDeadlineTimer = 0;
  timer_id mResponseTimer = 0;
  timer_id mPlacementTimer = 0;
};

} // namespace primrose
