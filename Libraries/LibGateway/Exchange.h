#pragma once

/// One request of a caller, from its whole reading to its final answer.

#include "LibGateway/Attempt.h"
#include "LibGateway/CrashDetector.h"
#include "LibGateway/GossipSender.h"
#include "LibGateway/MemoryReservation.h"

#include <memory>

namespace primrose {

/// What exchanges share.
struct gateway_context
{
  event_loop& mLoop;
  const gateway_settings& mSettings;
  const gateway_adapter& mAdapter;
  gateway_state& mBoard;
  endpoint_connection_pool& mConnections;
  gossip_sender& mGossipSender;
  crash_detector& mCrashes;
};

/// The caller's connection, as an exchange sees it.
class response_writer
{
public:
  virtual ~response_writer() = default;
  virtual void Write(std::string_view aBytes) = 0;
  virtual std::size_t Pending() const = 0;
  /// The answer is whole; the connection may take another request.
  virtual void Finish(bool aKeepAlive) = 0;
  /// The answer cannot be made whole: the connection is cut, so that what was
  /// written does not look complete.
  virtual void Cut() = 0;
};

class exchange final
  : public attempt_owner
  , public std::enable_shared_from_this<exchange>
{
public:
  exchange(const gateway_context& aContext,
           response_writer& aPort,
           http_head aHead,
           std::string aBody);
  ~exchange() override;
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  void Start();
  /// The caller closed its connection: nothing more is done for it.
  void OnCallerDisconnected();
  /// The caller has taken what was written.
  void OnResponseDrained();

  void OnAnswerHead(attempt& aAttempt) override;
  void OnAnswerBody(attempt& aAttempt) override;
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
  bool Admit();
  bool Authenticate();
  bool WouldExceedDrain(duration aLimit) const;
  /// Refuses a request that ends endpoints, or finds out whether it may be
  /// tried once more; else dispatches it.
  void DispatchUnlessQuarantined();
  void RefuseQuarantined();
  void Dispatch();
  bool TrySendToEngines();
  bool TrySendToPlainEndpoint();
  placement_request DescribeEngineWork() const;
  /// Within which the answer is in time; all of its time where the route
  /// declares none, since 0 would make every answer late and every endpoint
  /// silent.
  duration Objective() const;
  /// Weighs the request again a moment later.
  void PostponePlacement(const engine_choice& aChoice);
  void TurnAway(const engine_choice& aChoice);
  void RecordPlacement(const engine_choice& aChoice,
                       const placement_request& aWork);
  void ReserveMemory(const engine_choice& aChoice);
  void SendToEngines(const endpoint& aWriter,
                     const std::vector<endpoint>& aReaders,
                     std::size_t aHolders);
  void StartAttempt(const endpoint& aEndpoint,
                    const std::vector<prefill_helper>& aHelpers);
  void StartResponseTimer(duration aLimit);
  void StartStallTimer(const attempt& aAttempt);
  void OnResponseTimeout();
  void LogResponseTimeout() const;
  /// What is believed of the attempt's endpoint; null if it is off the list.
  known_endpoint* Known(const attempt& aAttempt) const;
  /// What the engine has been given; null if that is nothing.
  const engine_load* FindEngineLoad(const attempt& aAttempt) const;
  /// All of the engine's slots are taken, as far as is known, and something
  /// came from it lately, for whichever of this entry's requests.
  bool IsFullButResponsive(const attempt& aAttempt) const;
  /// What the endpoint is known to have to read before it writes again.
  duration PrefillBacklog(const attempt& aAttempt) const;
  void OnDeadline();
  bool ConsumeRetryBudget();
  /// True if the request may go to another endpoint and there is one.
  bool CanRetryElsewhere() const;
  bool IsRetryable() const;
  void Retry(const std::string& aWhy);
  void GiveUp(error_kind aKind, const std::string& aWhy);
  void GiveUp(error_kind aKind, const std::string& aWhy, double aRetryAfter);
  void Refuse(error_kind aKind, const std::string& aWhy, double aRetryAfter);
  void Answer(const failure& aFailure);
  void ForwardCompleteAnswer(attempt& aAttempt);
  void ForwardEvents(attempt& aAttempt);
  void WriteHead(const http_head& aHead, std::optional<std::size_t> aLength);
  void ReleaseAttempt();
  /// Tells the crash watch of an attempt that ends without a whole answer.
  void ReportUnfinishedAttempt(const attempt& aAttempt, bool aBrokeOff);
  void RecordReportedLoad(const attempt& aAttempt);
  /// Applies the endpoint's limit from an answer and tells it to other entries.
  void ApplyReportedLimit(const attempt& aAttempt);
  /// Refuses a request for which no endpoint can be chosen.
  void RefuseUnplaced();
  /// The endpoint works: something came from it.
  void RecordEndpointActivity(const attempt& aAttempt);
  void Sign(const attempt& aAttempt, endpoint_health_event aSign);
  void Sign(known_endpoint& aEndpoint, endpoint_health_event aSign);
  /// The engine that a refusal names, if it is another than the one that sent
  /// it: one that was to read a part of the prompt and would not.
  known_endpoint* FindRefusingHelper(const attempt& aAttempt);
  void RetryWithoutHelper(known_endpoint& aHelper, const std::string& aWhy);
  void End(std::string_view aOutcome, const std::string& aWhy);
  bool KeepAlive() const;
  duration Left() const;

  gateway_context mContext;
  response_writer* mPort;
  http_head mHead;
  std::string mBody;
  request_info mFacts;
  manifest_pointer mManifest; ///< As of admission; held for the route.
  const route* mRoute = nullptr;
  const service* mService = nullptr;
  std::string mOrganisation;
  request_digest mDigest = 0;
  time_point mBegan{};
  time_point mDeadline{};
  std::shared_ptr<attempt> mAttempt;
  std::vector<std::string> mTried; ///< Endpoints that it was sent to.
  std::vector<std::string> mExcludedEndpoints; ///< Tried or unreachable.
  std::optional<placement_key> mPlacement;
  std::shared_ptr<memory_reservation> mMemory;
  std::size_t mMemoryRefusals = 0;
  std::size_t mHelperRefusals = 0;
  double mExpectedFirstEventMs =
    0; ///< Until the first event, by this entry's sums.
  std::size_t mHelpers = 0;
  bool mMayHaveRun = false; ///< An endpoint got it and promised nothing.
  bool mNeedsNewConnection = false;
  bool mWaited = false; ///< Not placed at once; see `PostponePlacement`.
  bool mIsQuarantineTrial = false; ///< A held request that is tried once.
  bool mReachedEndpoint = false;
  bool mStreaming = false;
  bool mAttemptHasEvents = false; ///< The current endpoint has sent an event.
  bool mHeadWritten = false;
  bool mPaused = false;
  event_cursor mCursor;
  std::optional<http_head> mStreamHead; ///< Of the first endpoint.
  time_point mFirstEventAt{};
  time_point mLastEventAt{};
  duration mLongestPause{};
  state mState = state::Open;
  timer_id mDeadlineTimer = 0;
  timer_id mResponseTimer = 0;
  timer_id mPlacementTimer = 0;
};

} // namespace primrose
