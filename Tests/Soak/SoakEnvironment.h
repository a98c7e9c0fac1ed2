#pragma once

/// The processes, stand-ins and callers of a soak run. The gateways are real
/// processes that are disturbed from outside by signals. The stand-ins of the
/// platform and of the endpoints run in the soak's own process.

#include "Faults.h"
#include "History.h"
#include "Standin.h"

#include <gio/gio.h>

namespace primrose::soak {

struct soak_size
{
  std::size_t mGateways = 3;
  std::size_t mEngines = 4;
  std::size_t mDeskEndpoints = 2;
};

/// One gateway process.
struct gateway_process
{
  std::string mHost;
  std::string mSettings; ///< Path of its settings file.
  std::string mLog;
  GSubprocess* mHandle = nullptr;
  std::uint16_t mPort = 0; ///< Where callers connect.
  bool mPaused = false;
  bool mStopping = false; ///< Got SIGTERM or SIGKILL; a restart follows.
  /// Callers are sent to the gateway only in this span.
  time_point mInRotationFrom{};
  time_point mInRotationUntil{};
};

/// One endpoint and its current fault, if any.
struct soak_endpoint
{
  std::string mId;
  std::string mService;
  std::size_t mIncarnation = 0;
  std::optional<fault_kind> mFault;
  bool mCrashed = false;     ///< Ended without draining; a new one follows.
  bool mDrains = false;      ///< A new one follows.
  bool mSaysLeaving = false; ///< In each of its answers.
  bool mAsksForRest = false; ///< It refuses all requests and asks for rest.
  /// Set while its answers have neither a length nor chunks.
  std::optional<unframed_end> mUnframed;
  /// Connections with a stream that had neither.
  std::vector<test::standin_server::connection*> mUnframedStreams;
  std::string mDataCentre;
  time_point mColdUntil{};
  /// It takes requests, and gateways had the time to read that from the store.
  bool mIsKnown = false;
  /// When it last took no requests, or could not be known to take them again.
  time_point mUnlistedAt{};
  /// When it last was not known, or did not answer all requests.
  time_point mUnsoundAt{};
  /// Times at which requests arrived while it was cold.
  std::deque<time_point> mColdArrivals;
  std::unique_ptr<test::standin_server> mServer;
  /// Expiry times of memory reservations, by the id in their command.
  std::map<std::string, time_point> mReservations;
};

class soak_environment
{
public:
  soak_environment(std::string aProgram,
                   std::string aFolder,
                   std::uint64_t aSeed,
                   const soak_size& aSize);
  ~soak_environment();
  soak_environment(const soak_environment&) = delete;
  soak_environment& operator=(const soak_environment&) = delete;

  /// Sends load under the faults of a seed. Then runs without load and faults
  /// until all requests have ended and reservations have expired.
  void Run(duration aLength, std::uint64_t aSeed);
  const soak_history& History() const { return mHistory; }

private:
  struct pending_call;
  /// What an endpoint's answer to a request announced.
  struct endpoint_announcement
  {
    std::string mEndpoint;
    time_point mUntil{};   ///< It gets no requests before then.
    time_point mKnownAt{}; ///< When the gateway had processed the answer.
  };
  struct sent_request
  {
    std::size_t mGateway = 0;
    time_point mAt{};
  };
  void BeginNotice(const planned_notice& aNotice);
  void EndNotice(const planned_notice& aNotice);
  /// Evacuates a data centre, and later takes it back with cold endpoints.
  void Evacuate(const planned_evacuation& aEvacuation);
  void EndEvacuation(const std::string& aDataCentre);
  /// Lists the endpoint as ready.
  void List(const soak_endpoint& aEndpoint, duration aColdTime);
  /// Checks that the endpoint may get this request now: its data centre is not
  /// evacuated, and it is not cold or gets no more than it bears.
  void CheckDataCentre(soak_endpoint& aEndpoint, const std::string& aRequest);
  /// True while the gateway is disturbed or recovers.
  bool IsDisturbed(std::size_t aGateway) const;
  /// True if another endpoint of the same service serves requests.
  bool AnotherServes(std::size_t aEndpoint) const;
  /// Unlists an endpoint that drains, and starts its replacement.
  void ReplaceLater(std::size_t aEndpoint);
  /// Records what the endpoint's answer to this request announces.
  void RecordAnnouncement(const soak_endpoint& aEndpoint,
                          const std::string& aRequest);
  /// Drops announcements that a gateway may never process: its timeouts can
  /// expire in a pause, and it then cancels attempts without reading the
  /// answer.
  void DropUnprocessedAnnouncements(std::size_t aGateway);
  /// Checks that the request was not sent to its gateway after that gateway had
  /// passed on, or acted on, an announcement of this endpoint.
  void CheckAnnouncements(const soak_endpoint& aEndpoint,
                          const std::string& aRequest);
  void StartGateway(std::size_t aGateway);
  void BeginFault(const fault& aFault);
  void EndFault(const fault& aFault);
  /// Records that a gateway is disturbed for aDuration and the time to
  /// recover after it.
  void RecordDisturbance(std::size_t aGateway, duration aDuration);
  void Signal(std::size_t aGateway, int aSignal);
  void Restart(std::size_t aGateway, duration aAfter);
  void StartEndpoint(std::size_t aEndpoint);
  void ServeRequest(std::size_t aEndpoint,
                    test::standin_server::connection& aConnection,
                    const http_head& aHead,
                    const std::string& aBody);
  /// Answers a request of the service "desk".
  void ServeCall(std::size_t aEndpoint,
                 test::standin_server::connection& aConnection,
                 const http_head& aHead,
                 const std::string& aFields);
  /// Answers a stream. `aFields` are written into the head.
  void ServeStream(std::size_t aEndpoint,
                   test::standin_server::connection& aConnection,
                   const http_head& aHead,
                   const std::string& aFields);
  /// What happens to a connection after bytes were written.
  enum class after_write : std::uint8_t
  {
    KeepOpen,
    ReadNext, ///< The answer is complete; the next request may follow.
    Close,
    Reset,
  };
  /// Writes unless the endpoint has crashed by then.
  void WriteLater(std::size_t aEndpoint,
                  test::standin_server::connection& aConnection,
                  duration aDelay,
                  std::string aBytes,
                  after_write aThen);
  void ServeReservationCommand(soak_endpoint& aEndpoint,
                               test::standin_server::connection& aConnection,
                               const std::string& aBody);
  void Write(test::standin_server::connection& aConnection,
             const std::string& aBytes,
             bool aLast);
  void SendRequest();
  /// Crashes of engines by one cause, which the operators' limit is for.
  struct crash_cause
  {
    char mIdPrefix = 0; ///< Of its requests.
    std::size_t mCrashesUntilLimit = 0;
    std::size_t mRequestsSent = 0;
    std::size_t mEndpointsCrashed = 0;
    std::size_t mLateSends = 0;
    time_point mLimitSince{};
  };
  /// Sends the request that crashes each engine that runs it, and one that is
  /// like no other but for a part of its prompt that does the same. Repeats
  /// this at a fixed interval.
  void SendCrashingRequests();
  void SendCrashingRequest(crash_cause& aCause,
                           const std::string& aFields,
                           const std::string& aBody);
  /// Counts a crash, and whether the send came too late.
  void OnCrashingRequest(crash_cause& aCause, const std::string& aId);
  void ReportCrashes(const std::string& aName, const crash_cause& aCause);
  /// Resets the streams that have neither a length nor chunks, before their
  /// endpoint ends: an orderly end between two events can't be told from that
  /// of the stream (docs/PROMISES.md).
  static void ResetUnframedStreams(soak_endpoint& aEndpoint);
  /// Ends an endpoint without draining; a new one replaces it.
  void CrashEndpoint(std::size_t aEndpoint);
  /// Returns a random gateway among those that take callers now.
  std::optional<std::size_t> PickGatewayInRotation();
  /// Records the result of a call and closes its connection.
  void FinishCall(const std::shared_ptr<pending_call>& aCall);
  /// Finishes the calls that are answered or whose connection has ended.
  void CollectFinishedCalls();
  /// Updates since when endpoints are known and answer all requests.
  void ObserveEndpoints();
  /// Counts the endpoints of the request's service that have been sound since
  /// its arrival.
  std::size_t CountSoundEndpoints(const request_record& aRequest) const;
  void PutManifest();
  /// Checks that every healthy gateway serves this version of the manifest.
  void CheckManifest(std::uint64_t aVersion);
  /// Checks that no reservation is left on an endpoint.
  void CheckReservations();
  void After(duration aDelay, std::function<void()> aAction);

  event_loop mLoop;
  std::string mProgram;
  std::string mFolder;
  random_engine mRandom;
  test::standin_store mStore;
  std::vector<gateway_process> mGateways;
  std::uint16_t mCallersPort = 0; ///< The same on each gateway's address.
  std::uint16_t mReadyPort = 0;
  std::uint16_t mPeersPort = 0;
  std::uint16_t mMetricsPort = 0;
  std::vector<soak_endpoint> mEndpoints;
  std::vector<std::shared_ptr<pending_call>> mPendingCalls;
  std::map<std::string, sent_request> mSentRequests; ///< By id.
  /// By request; its gateway may not have processed the answer yet.
  std::multimap<std::string, endpoint_announcement> mAnnouncements;
  /// By gateway; what its present process has processed.
  std::multimap<std::size_t, endpoint_announcement> mKnownAnnouncements;
  soak_history mHistory;
  std::string mEvacuated; ///< The evacuated data centre, if any.
  time_point mEvacuatedAt{};
  std::uint64_t mManifestVersion = 1;
  time_point mStoreHealthySince{};
  unsigned mStoreFaults = 0;
  std::size_t mRequestsSent = 0;
  crash_cause mCrashingRequest{ 'c', 3 };
  crash_cause mCrashingPart{ 'p', 5 };
  /// Most new connections go to this gateway.
  std::optional<std::size_t> mSurgeTarget;
  bool mLoadIsOn = false;
};

} // namespace primrose::soak
