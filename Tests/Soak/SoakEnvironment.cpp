#include "SoakEnvironment.h"

#include "LibObserve/LibObserve.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace primrose::soak {

using json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr duration kTimeLimit = std::chrono::seconds(4);
constexpr int kEventsPerStream = 12;
constexpr duration kEventInterval = milliseconds(25);
constexpr duration kCallDuration = milliseconds(8);
/// Mean seconds between requests, short enough that every fault affects several
/// requests.
constexpr double kMeanRequestInterval = 0.012;
/// As behind a load balancer, callers are sent to a gateway only from
/// kStartupTime after its start until kDrainNotice after its SIGTERM.
constexpr duration kStartupTime = milliseconds(700);
constexpr duration kDrainNotice = std::chrono::seconds(2);
constexpr duration kRestartDelay = milliseconds(300);
constexpr duration kDrainPeriod = std::chrono::seconds(8);
/// Time within which a new manifest is in force on every healthy gateway. Also
/// the time that a gateway may take to recover from a fault.
constexpr duration kPropagationTime = std::chrono::seconds(3);
/// Time for which a draining endpoint still serves.
constexpr duration kDrainTime = std::chrono::seconds(3);
constexpr duration kMemoryLease = std::chrono::seconds(4);
/// Delay after which a crashed endpoint is unlisted and a new one replaces it.
constexpr duration kReplacementDelay = milliseconds(1200);
/// Interval at which the request that crashes engines is sent.
constexpr duration kCrashingRequestInterval = milliseconds(150);
/// Retry-After of an endpoint that asks for rest.
constexpr duration kRest = std::chrono::seconds(1);
/// Number of data centres, and how long endpoints are cold after an evacuation.
constexpr std::size_t kDataCentres = 2;
constexpr duration kColdTime = milliseconds(1000);
constexpr double kColdPerSecond = 20;
/// What the operators allow a cold endpoint to get in a second.
constexpr double kMostColdArrivals = kColdPerSecond * 1.5 + 5;
/// Time within which an evacuation is in force, and a span for its message.
constexpr duration kEvacuationTime = milliseconds(2000);
const std::string kCrashingBody = "this ends whoever runs it";
const std::string kCrashingPart = "dead10";
/// So that few engines have crashed under the part before it is known.
constexpr std::size_t kCrashingRequestsPerPart = 4;
/// Share of new connections that go to one gateway in a surge.
constexpr double kSurgeShare = 0.8;
/// Callers send as many times the usual requests then.
constexpr double kSurgeFactor = 1.2;

/// Time within which a gateway reads a change of the list of endpoints.
constexpr duration kListInterval = milliseconds(1000);

/// True if gateways may send requests to the endpoint.
bool
TakesRequests(const soak_endpoint& aEndpoint,
              const std::string& aEvacuated,
              time_point aNow)
{
  return !aEndpoint.mCrashed && !aEndpoint.mDrains && !aEndpoint.mAsksForRest &&
         aEndpoint.mDataCentre != aEvacuated && aEndpoint.mColdUntil <= aNow;
}

/// True if the endpoint gives a whole answer to each request that it gets.
bool
AnswersAll(const soak_endpoint& aEndpoint)
{
  return aEndpoint.mFault.value_or(fault_kind::EndpointAnswersTwice) ==
           fault_kind::EndpointAnswersTwice &&
         aEndpoint.mUnframed.value_or(unframed_end::Whole) ==
           unframed_end::Whole;
}

std::string
RouteName(std::uint64_t aVersion)
{
  return "v" + std::to_string(aVersion);
}

} // namespace

struct soak_environment::pending_call
{
  request_record mRecord;
  std::unique_ptr<test::standin_caller> mCaller;
};

soak_environment::soak_environment(std::string aProgram,
                                   std::string aFolder,
                                   std::uint64_t aSeed,
                                   const soak_size& aSize)
  : mProgram(std::move(aProgram))
  , mFolder(std::move(aFolder))
  , mRandom(aSeed + 1)
  , mStore(mLoop)
{
  mHistory.mTimeLimit = kTimeLimit;
  mCallersPort = test::FreePort(mLoop);
  mReadyPort = test::FreePort(mLoop);
  mPeersPort = test::FreePort(mLoop);
  mMetricsPort = test::FreePort(mLoop);
  mHistory.mEventsPerStream = kEventsPerStream;
  PutManifest();
  mEndpoints.resize(aSize.mEngines + aSize.mDeskEndpoints);
  for (std::size_t i = 0; i < mEndpoints.size(); ++i) {
    mEndpoints[i].mService = i < aSize.mEngines ? "model" : "desk";
    mEndpoints[i].mDataCentre = i % kDataCentres == 0 ? "a" : "b";
    StartEndpoint(i);
  }
  mGateways.resize(aSize.mGateways);
  for (std::size_t i = 0; i < mGateways.size(); ++i) {
    StartGateway(i);
  }
}

soak_environment::~soak_environment()
{
  for (const gateway_process& one : mGateways) {
    if (one.mHandle != nullptr) {
      g_subprocess_send_signal(one.mHandle, SIGCONT);
      g_subprocess_force_exit(one.mHandle);
      g_subprocess_wait(one.mHandle, nullptr, nullptr);
      g_object_unref(one.mHandle);
    }
  }
}

void
soak_environment::After(duration aDelay, std::function<void()> aAction)
{
  (void)mLoop.After(aDelay, std::move(aAction));
}

void
soak_environment::StartGateway(std::size_t aGateway)
{
  gateway_process& one = mGateways[aGateway];
  if (one.mHandle != nullptr) {
    g_object_unref(one.mHandle);
    one.mHandle = nullptr;
  }
  one.mHost = "127.0.0." + std::to_string(aGateway + 1);
  one.mPort = mCallersPort;
  const std::string port = ":" + std::to_string(mCallersPort);
  const json settings = {
    { "node", "entry-" + std::to_string(aGateway + 1) },
    { "zone", "a" },
    { "ip", one.mHost },
    { "listen",
      { { "front", one.mHost + port },
        { "ready", one.mHost + ":" + std::to_string(mReadyPort) } } },
    { "port_range", { mPeersPort, mPeersPort } },
    { "seeds", json::array({ "127.0.0.1:1" }) },
    { "bounds",
      { { "grace_s", Seconds(kDrainPeriod) },
        { "retry_budget_ratio", 0.5 },
        { "budget_extra", 1000 },
        { "budget_window_s", 10 },
        { "config_apply_ms", Milliseconds(kPropagationTime) },
        { "evac_ms", Milliseconds(kEvacuationTime) } } },
    { "zones", { { "a", "r" }, { "b", "r" } } },
    { "platform", { { "addr", mStore.Address().Text() } } }
  };
  one.mSettings = mFolder + "/entry-" + std::to_string(aGateway + 1) + ".json";
  one.mLog = mFolder + "/entry-" + std::to_string(aGateway + 1) + ".log";
  std::ofstream(one.mSettings) << settings.dump();
  GSubprocessLauncher* const launcher =
    g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
  // Each start of a gateway writes its own log file, so that no log is
  // overwritten.
  const std::string log = one.mLog + "." + std::to_string(mRequestsSent);
  g_subprocess_launcher_set_stdout_file_path(launcher, log.c_str());
  const std::string metrics = std::to_string(mMetricsPort);
  one.mHandle = g_subprocess_launcher_spawn(launcher,
                                            nullptr,
                                            mProgram.c_str(),
                                            "--settings",
                                            one.mSettings.c_str(),
                                            "--metrics-port",
                                            metrics.c_str(),
                                            nullptr);
  g_object_unref(launcher);
  one.mPaused = false;
  one.mStopping = false;
  mKnownAnnouncements.erase(aGateway);
  one.mInRotationFrom = mLoop.Now() + kStartupTime;
  one.mInRotationUntil = mLoop.Now() + std::chrono::hours(1);
}

void
soak_environment::StartEndpoint(std::size_t aEndpoint)
{
  soak_endpoint& one = mEndpoints[aEndpoint];
  one.mFault.reset();
  one.mCrashed = false;
  one.mDrains = false;
  one.mSaysLeaving = false;
  one.mAsksForRest = false;
  one.mUnframed.reset();
  one.mUnframedStreams.clear();
  one.mReservations.clear();
  one.mId =
    "i-" + std::to_string(aEndpoint) + "-" + std::to_string(++one.mIncarnation);
  one.mServer = std::make_unique<test::standin_server>(
    mLoop,
    [this, aEndpoint](test::standin_server::connection& aConnection,
                      const http_head& aHead,
                      const std::string& aBody) {
      ServeRequest(aEndpoint, aConnection, aHead, aBody);
    });
  one.mColdUntil = {};
  one.mColdArrivals.clear();
  List(one, duration::zero());
}

void
soak_environment::List(const soak_endpoint& aEndpoint, duration aColdTime)
{
  test::ListEndpoint(mStore,
                     aEndpoint.mId,
                     aEndpoint.mService,
                     aEndpoint.mServer->Address(),
                     "ready",
                     { aEndpoint.mDataCentre, Milliseconds(aColdTime), {} });
}

void
soak_environment::Evacuate(const planned_evacuation& aEvacuation)
{
  mEvacuated = aEvacuation.mDataCentre % kDataCentres == 0 ? "a" : "b";
  mEvacuatedAt = mLoop.Now();
  std::cout << "evacuation at=" << Seconds(aEvacuation.mAt)
            << " data_centre=" << mEvacuated << '\n';
  mStore.Put("op", "evacuate/" + mEvacuated, "{}");
  After(aEvacuation.mDuration,
        [this, dataCentre = mEvacuated]() { EndEvacuation(dataCentre); });
}

void
soak_environment::EndEvacuation(const std::string& aDataCentre)
{
  mEvacuated.clear();
  // The endpoints' rows follow the order, as their reports do.
  mStore.Remove("op", "evacuate/" + aDataCentre);
  for (soak_endpoint& one : mEndpoints) {
    if (one.mDataCentre == aDataCentre && !one.mCrashed && !one.mDrains) {
      one.mColdUntil = mLoop.Now() + kColdTime;
      List(one, kColdTime);
    }
  }
}

bool
soak_environment::IsDisturbed(std::size_t aGateway) const
{
  const time_point now = mLoop.Now();
  return std::any_of(mHistory.mDisturbances.begin(),
                     mHistory.mDisturbances.end(),
                     [aGateway, now](const disturbance_span& aSpan) {
                       return aSpan.mGateway == aGateway &&
                              aSpan.mFrom <= now && now <= aSpan.mTo;
                     });
}

void
soak_environment::CheckDataCentre(soak_endpoint& aEndpoint,
                                  const std::string& aRequest)
{
  const time_point now = mLoop.Now();
  const auto sent = mSentRequests.find(aRequest);
  const bool storeIsHealthy =
    mStoreFaults == 0 && now - mStoreHealthySince > kPropagationTime;
  if (aEndpoint.mDataCentre == mEvacuated && storeIsHealthy &&
      now - mEvacuatedAt > kEvacuationTime + kCallDuration &&
      sent != mSentRequests.end() && !IsDisturbed(sent->second.mGateway)) {
    mHistory.mOtherViolations.push_back(
      "request " + aRequest + " was sent to the evacuated data centre " +
      mEvacuated);
  }
  if (now >= aEndpoint.mColdUntil) {
    aEndpoint.mColdArrivals.clear();
    return;
  }
  std::deque<time_point>& arrivals = aEndpoint.mColdArrivals;
  arrivals.push_back(now);
  while (now - arrivals.front() > std::chrono::seconds(1)) {
    arrivals.pop_front();
  }
  if (static_cast<double>(arrivals.size()) > kMostColdArrivals) {
    mHistory.mOtherViolations.push_back(
      "cold endpoint " + aEndpoint.mId + " got " +
      std::to_string(arrivals.size()) + " requests in a second");
  }
}

void
soak_environment::Write(test::standin_server::connection& aConnection,
                        const std::string& aBytes,
                        bool aLast)
{
  if (aConnection.mEnded || !aConnection.mChannel->Open()) {
    return;
  }
  aConnection.mChannel->Write(aBytes);
  if (aLast) {
    aConnection.Next();
  }
}

void
soak_environment::ServeReservationCommand(
  soak_endpoint& aEndpoint,
  test::standin_server::connection& aConnection,
  const std::string& aBody)
{
  const json order = json::parse(aBody);
  const std::string id = order.at("id").get<std::string>();
  if (order.at("op") == "release") {
    aEndpoint.mReservations.erase(id);
  } else {
    aEndpoint.mReservations[id] =
      mLoop.Now() + milliseconds(order.at("hold_ms").get<std::int64_t>());
  }
  Write(aConnection, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}", true);
}

void
soak_environment::ServeRequest(std::size_t aEndpoint,
                               test::standin_server::connection& aConnection,
                               const http_head& aHead,
                               const std::string& aBody)
{
  soak_endpoint& one = mEndpoints[aEndpoint];
  if (aHead.mTarget == "/order") {
    ServeReservationCommand(one, aConnection, aBody);
    return;
  }
  const std::string id(
    FieldValue(aHead.mFields, "request-id").value_or("(none)"));
  if (FieldValue(aHead.mFields, "expect-instance") != one.mId) {
    Write(aConnection,
          "HTTP/1.1 421 X\r\nInstance-Id: " + one.mId +
            "\r\nContent-Length: 0\r\n\r\n",
          true);
    return;
  }
  CheckAnnouncements(one, id);
  CheckDataCentre(one, id);
  // An endpoint that leaves says so in all its answers, refusals included.
  const std::string leaving = one.mSaysLeaving ? "Server-Leaving: 1\r\n" : "";
  if (one.mAsksForRest || one.mFault == fault_kind::EndpointRefuses) {
    if (one.mAsksForRest || one.mSaysLeaving) {
      RecordAnnouncement(one, id);
    }
    const std::string rest =
      one.mAsksForRest
        ? "Retry-After: " + std::to_string(Seconds(kRest)) + "\r\n"
        : "";
    Write(aConnection,
          "HTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\n" +
            leaving + rest + "Content-Length: 0\r\n\r\n",
          true);
    return;
  }
  const bool hasCrashingPart = FieldValue(aHead.mFields, "prompt-prefix")
                                 .value_or("")
                                 .starts_with(kCrashingPart);
  if (aBody == kCrashingBody || hasCrashingPart) {
    OnCrashingRequest(hasCrashingPart ? mCrashingPart : mCrashingRequest, id);
    CrashEndpoint(aEndpoint);
    return;
  }
  ++mHistory.mExecutions[id];
  if (one.mFault == fault_kind::EndpointHangs) {
    return;
  }
  if (one.mFault == fault_kind::EndpointResets) {
    aConnection.mChannel->Abort();
    return;
  }
  if (one.mSaysLeaving && one.mFault != fault_kind::EndpointCutsAnswer &&
      one.mUnframed.value_or(unframed_end::Whole) == unframed_end::Whole) {
    RecordAnnouncement(one, id);
  }
  if (one.mService == "desk") {
    ServeCall(aEndpoint, aConnection, aHead, leaving);
  } else {
    ServeStream(aEndpoint, aConnection, aHead, leaving);
  }
}

void
soak_environment::WriteLater(std::size_t aEndpoint,
                             test::standin_server::connection& aConnection,
                             duration aDelay,
                             std::string aBytes,
                             after_write aThen)
{
  // The connection object lives as long as its server, and the server as long
  // as the endpoint's incarnation. Timers that fire later see that the
  // incarnation has changed and don't touch the connection.
  const std::size_t incarnation = mEndpoints[aEndpoint].mIncarnation;
  test::standin_server::connection* const connection = &aConnection;
  After(aDelay,
        [this,
         aEndpoint,
         incarnation,
         connection,
         bytes = std::move(aBytes),
         aThen]() {
          if (mEndpoints[aEndpoint].mIncarnation != incarnation) {
            return;
          }
          Write(*connection, bytes, aThen == after_write::ReadNext);
          if (aThen == after_write::Close) {
            connection->mChannel->Close();
          } else if (aThen == after_write::Reset) {
            connection->mChannel->Abort();
          }
        });
}

void
soak_environment::ServeCall(std::size_t aEndpoint,
                            test::standin_server::connection& aConnection,
                            const http_head& aHead,
                            const std::string& aFields)
{
  const soak_endpoint& one = mEndpoints[aEndpoint];
  const std::string body =
    CallBody(std::string(*FieldValue(aHead.mFields, "request-id")));
  const bool framed = !one.mUnframed.has_value();
  std::string answer =
    test::SuccessHead(aHead,
                      framed ? aFields + "Content-Length: " +
                                 std::to_string(body.size()) + "\r\n"
                             : aFields) +
    body;
  const std::string firstHalf = answer.substr(0, answer.size() / 2);
  if (one.mUnframed == unframed_end::CutByReset) {
    WriteLater(aEndpoint,
               aConnection,
               kCallDuration,
               answer.substr(0, answer.size() - body.size() / 2),
               after_write::Reset);
  } else if (!framed) {
    WriteLater(
      aEndpoint, aConnection, kCallDuration, answer, after_write::Close);
  } else if (one.mFault == fault_kind::EndpointCutsAnswer) {
    WriteLater(
      aEndpoint, aConnection, kCallDuration, firstHalf, after_write::Close);
  } else {
    if (one.mFault == fault_kind::EndpointAnswersTwice) {
      answer += answer;
    }
    WriteLater(
      aEndpoint, aConnection, kCallDuration, answer, after_write::ReadNext);
  }
}

void
soak_environment::ServeStream(std::size_t aEndpoint,
                              test::standin_server::connection& aConnection,
                              const http_head& aHead,
                              const std::string& aFields)
{
  soak_endpoint& one = mEndpoints[aEndpoint];
  const bool framed = !one.mUnframed.has_value();
  if (!framed) {
    one.mUnframedStreams.push_back(&aConnection);
  }
  const std::string id(*FieldValue(aHead.mFields, "request-id"));
  const std::optional<std::string_view> last =
    FieldValue(aHead.mFields, "last-event-id");
  const int first = last.has_value() ? std::stoi(std::string(*last)) + 1 : 1;
  const bool cutsAnswer = framed ? one.mFault == fault_kind::EndpointCutsAnswer
                                 : one.mUnframed != unframed_end::Whole;
  const after_write atCut = one.mUnframed == unframed_end::CutByReset
                              ? after_write::Reset
                              : after_write::Close;
  const after_write atEnd = framed ? after_write::ReadNext : after_write::Close;
  WriteLater(
    aEndpoint,
    aConnection,
    duration::zero(),
    test::SuccessHead(
      aHead, framed ? aFields + "Transfer-Encoding: chunked\r\n" : aFields),
    after_write::KeepOpen);
  if (first > kEventsPerStream && !framed) {
    WriteLater(aEndpoint, aConnection, kEventInterval, "", atEnd);
  }
  for (int event = first; event <= kEventsPerStream; ++event) {
    const duration delay = kEventInterval * (event - first + 1);
    const std::string text = EventText(id, event);
    std::string bytes;
    if (framed) {
      AppendChunk(bytes, text);
    } else {
      bytes = text;
    }
    if (cutsAnswer && event == first + 3) {
      // Without a length anywhere inside the event, at the same byte for the
      // same request.
      bytes.resize(framed ? bytes.size() / 2
                          : 1 + Hash(id) % (bytes.size() - 1));
      WriteLater(aEndpoint, aConnection, delay, bytes, atCut);
      return;
    }
    const bool isLast = event == kEventsPerStream;
    if (isLast && framed) {
      bytes.append(kLastChunk);
    }
    WriteLater(aEndpoint,
               aConnection,
               delay,
               bytes,
               isLast ? atEnd : after_write::KeepOpen);
  }
}

void
soak_environment::ResetUnframedStreams(soak_endpoint& aEndpoint)
{
  for (test::standin_server::connection* const one :
       aEndpoint.mUnframedStreams) {
    one->mChannel->Abort();
  }
  aEndpoint.mUnframedStreams.clear();
}

void
soak_environment::CrashEndpoint(std::size_t aEndpoint)
{
  soak_endpoint& one = mEndpoints[aEndpoint];
  if (one.mCrashed) {
    return;
  }
  one.mCrashed = true;
  ResetUnframedStreams(one);
  one.mServer->End();
  // Makes pending timers of its connections do nothing.
  ++one.mIncarnation;
  After(kReplacementDelay, [this, aEndpoint, id = one.mId]() {
    if (mEndpoints[aEndpoint].mId != id) {
      return;
    }
    mStore.Remove("servers", id);
    mLoop.DeleteLater(std::shared_ptr<test::standin_server>(
      std::move(mEndpoints[aEndpoint].mServer)));
    StartEndpoint(aEndpoint);
  });
}

void
soak_environment::OnCrashingRequest(crash_cause& aCause, const std::string& aId)
{
  // The id contains the index of the gateway that the request was sent to.
  const std::size_t gatewayIndex = std::stoul(aId.substr(1, aId.find('-') - 1));
  const time_point now = mLoop.Now();
  bool healthy =
    mGateways[gatewayIndex].mInRotationFrom <= now - kPropagationTime;
  for (const disturbance_span& span : mHistory.mDisturbances) {
    healthy = healthy && (span.mGateway != gatewayIndex || span.mTo < now);
  }
  if (aCause.mEndpointsCrashed >= aCause.mCrashesUntilLimit &&
      now > aCause.mLimitSince + kPropagationTime && healthy) {
    ++aCause.mLateSends;
  }
  if (++aCause.mEndpointsCrashed == aCause.mCrashesUntilLimit) {
    aCause.mLimitSince = now;
  }
}

void
soak_environment::SendCrashingRequests()
{
  if (!mLoadIsOn) {
    return;
  }
  After(kCrashingRequestInterval, [this]() { SendCrashingRequests(); });
  SendCrashingRequest(mCrashingRequest, "", kCrashingBody);
  if (mCrashingRequest.mRequestsSent % kCrashingRequestsPerPart != 0) {
    return;
  }
  const std::string number = std::to_string(mCrashingPart.mRequestsSent);
  SendCrashingRequest(mCrashingPart,
                      "Prompt-Prefix: " + kCrashingPart + ":40,ee" + number +
                        ":960\r\n",
                      "prompt " + number);
}

void
soak_environment::SendCrashingRequest(crash_cause& aCause,
                                      const std::string& aFields,
                                      const std::string& aBody)
{
  const std::optional<std::size_t> gatewayIndex = PickGatewayInRotation();
  if (!gatewayIndex.has_value()) {
    return;
  }
  const std::shared_ptr<test::standin_caller> caller =
    std::make_shared<test::standin_caller>(
      mLoop,
      ip_address{ mGateways[*gatewayIndex].mHost,
                  mGateways[*gatewayIndex].mPort });
  const std::string id = aCause.mIdPrefix + std::to_string(*gatewayIndex) +
                         "-" + std::to_string(++aCause.mRequestsSent);
  caller->Send(test::RequestText(
    id, "stream", "Token-Usage: 1000,50\r\n" + aFields, aBody));
  After(std::chrono::seconds(1), [caller]() { caller->CloseConnection(); });
}

void
soak_environment::ReportCrashes(const std::string& aName,
                                const crash_cause& aCause)
{
  std::cout << aName << " asked=" << aCause.mRequestsSent
            << " ended=" << aCause.mEndpointsCrashed
            << " late=" << aCause.mLateSends << '\n';
  mHistory.mLateCrashingRequests =
    std::max(mHistory.mLateCrashingRequests, aCause.mLateSends);
}

void
soak_environment::PutManifest()
{
  ++mManifestVersion;
  test::WriteManifest(mStore,
                      mManifestVersion,
                      RouteName(mManifestVersion),
                      0,
                      { {}, {}, kColdPerSecond, Seconds(kColdTime) });
}

std::optional<std::size_t>
soak_environment::PickGatewayInRotation()
{
  const time_point now = mLoop.Now();
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < mGateways.size(); ++i) {
    if (mGateways[i].mInRotationFrom <= now &&
        mGateways[i].mInRotationUntil > now) {
      open.push_back(i);
    }
  }
  if (open.empty()) {
    return std::nullopt;
  }
  return mSurgeTarget.has_value() && Uniform(mRandom) < kSurgeShare
           ? open[*mSurgeTarget % open.size()]
           : open[Below(mRandom, open.size())];
}

void
soak_environment::SendRequest()
{
  if (!mLoadIsOn) {
    return;
  }
  const double factor = mSurgeTarget.has_value() ? kSurgeFactor : 1;
  After(FromSeconds(Exponential(mRandom, kMeanRequestInterval / factor)),
        [this]() { SendRequest(); });
  const time_point now = mLoop.Now();
  const std::optional<std::size_t> gatewayIndex = PickGatewayInRotation();
  if (!gatewayIndex.has_value()) {
    return;
  }
  const std::shared_ptr<pending_call> newCall =
    std::make_shared<pending_call>();
  request_record& record = newCall->mRecord;
  record.mId = "r" + std::to_string(++mRequestsSent);
  record.mKind = static_cast<request_kind>(Below(mRandom, 3));
  record.mGateway = *gatewayIndex;
  record.mSentAt = now;
  const char* const path = record.mKind == request_kind::Safe     ? "safe"
                           : record.mKind == request_kind::Unsafe ? "unsafe"
                                                                  : "stream";
  std::string fields =
    "Deadline-Ms: " + std::to_string(Milliseconds(kTimeLimit)) + "\r\n";
  if (record.mKind == request_kind::Stream) {
    // One stream in twenty needs more tokens than an engine's memory holds.
    const bool exceedsMemory = Below(mRandom, 20) == 0;
    record.mPromptTokens = exceedsMemory ? 400000 : 500 + Below(mRandom, 60000);
    fields +=
      "Token-Usage: " + std::to_string(record.mPromptTokens) + ",50\r\n";
  }
  newCall->mCaller = std::make_unique<test::standin_caller>(
    mLoop,
    ip_address{ mGateways[record.mGateway].mHost,
                mGateways[record.mGateway].mPort });
  mSentRequests[record.mId] = { record.mGateway, now };
  // Callers' prompts differ, so that none is taken for the cause of crashes.
  newCall->mCaller->Send(
    test::RequestText(record.mId, path, fields, "hello " + record.mId));
  mPendingCalls.push_back(newCall);
}

void
soak_environment::FinishCall(const std::shared_ptr<pending_call>& aCall)
{
  request_record& record = aCall->mRecord;
  record.mEndedAt = mLoop.Now();
  record.mStatus = aCall->mCaller->Status();
  record.mIsComplete = aCall->mCaller->Answered();
  record.mHasSeal = aCall->mCaller->Field("response-seal").has_value();
  record.mAnswerId = aCall->mCaller->Field("request-id").value_or("");
  record.mBody = aCall->mCaller->Body();
  record.mBytesReceived = aCall->mCaller->ReceivedBytes().size();
  ObserveEndpoints();
  record.mSoundEndpoints = CountSoundEndpoints(record);
  aCall->mCaller->CloseConnection();
  if (record.mIsComplete) {
    // Its gateway has processed all answers to it.
    const auto [first, last] = mAnnouncements.equal_range(record.mId);
    for (auto known = first; known != last; ++known) {
      endpoint_announcement announced = known->second;
      announced.mKnownAt = record.mEndedAt;
      mKnownAnnouncements.emplace(record.mGateway, announced);
    }
  }
  mHistory.mRequests.push_back(record);
  mLoop.DeleteLater(
    std::shared_ptr<test::standin_caller>(std::move(aCall->mCaller)));
}

void
soak_environment::CollectFinishedCalls()
{
  for (const std::shared_ptr<pending_call>& one : mPendingCalls) {
    if (one->mCaller->Answered() || one->mCaller->Ended()) {
      FinishCall(one);
    }
  }
  std::erase_if(mPendingCalls, [](const std::shared_ptr<pending_call>& aCall) {
    return aCall->mCaller == nullptr;
  });
}

void
soak_environment::RecordDisturbance(std::size_t aGateway, duration aDuration)
{
  const time_point now = mLoop.Now();
  mHistory.mDisturbances.push_back(
    { aGateway, now, now + aDuration + kPropagationTime });
}

void
soak_environment::Signal(std::size_t aGateway, int aSignal)
{
  g_subprocess_send_signal(mGateways[aGateway].mHandle, aSignal);
}

void
soak_environment::Restart(std::size_t aGateway, duration aAfter)
{
  mGateways[aGateway].mInRotationFrom = mLoop.Now() + std::chrono::hours(1);
  After(aAfter, [this, aGateway]() {
    // The old process has to end first, as it occupies the addresses.
    g_subprocess_force_exit(mGateways[aGateway].mHandle);
    g_subprocess_wait(mGateways[aGateway].mHandle, nullptr, nullptr);
    StartGateway(aGateway);
  });
}

void
soak_environment::BeginFault(const fault& aFault)
{
  std::cout << "fault at=" << Seconds(aFault.mAt)
            << " kind=" << FaultName(aFault.mKind)
            << " target=" << aFault.mTarget
            << " for=" << Seconds(aFault.mDuration) << '\n';
  const std::size_t gatewayIndex = aFault.mTarget % mGateways.size();
  soak_endpoint& endpoint = mEndpoints[aFault.mTarget % mEndpoints.size()];
  const time_point now = mLoop.Now();
  // Gateways that are already ending get no second fault, which would turn
  // their planned exit into an unplanned one.
  const bool canBeDisturbed = mGateways[gatewayIndex].mInRotationFrom <= now &&
                              !mGateways[gatewayIndex].mStopping &&
                              !mGateways[gatewayIndex].mPaused;
  switch (aFault.mKind) {
    case fault_kind::Pause:
      if (canBeDisturbed) {
        mGateways[gatewayIndex].mPaused = true;
        DropUnprocessedAnnouncements(gatewayIndex);
        RecordDisturbance(gatewayIndex, aFault.mDuration);
        Signal(gatewayIndex, SIGSTOP);
      }
      return;
    case fault_kind::Kill:
      if (canBeDisturbed) {
        mGateways[gatewayIndex].mStopping = true;
        RecordDisturbance(gatewayIndex, aFault.mDuration + kRestartDelay);
        Restart(gatewayIndex, kRestartDelay);
        Signal(gatewayIndex, SIGKILL);
      }
      return;
    case fault_kind::Terminate:
      if (canBeDisturbed) {
        mGateways[gatewayIndex].mStopping = true;
        mHistory.mPlannedExits.push_back({ gatewayIndex, now });
        mGateways[gatewayIndex].mInRotationUntil = now + kDrainNotice;
        Signal(gatewayIndex, SIGTERM);
        After(kDrainPeriod,
              [this, gatewayIndex]() { Restart(gatewayIndex, kRestartDelay); });
      }
      return;
    case fault_kind::Reload:
      if (canBeDisturbed) {
        Signal(gatewayIndex, SIGHUP);
      }
      return;
    case fault_kind::StoreRefuses:
    case fault_kind::StoreSilent:
      ++mStoreFaults;
      mStore.SetResponseMode(aFault.mKind == fault_kind::StoreRefuses
                               ? test::standin_store::response_mode::Refusing
                               : test::standin_store::response_mode::Silent);
      return;
    case fault_kind::StoreLosesHistory:
      mStore.LoseHistory();
      return;
    case fault_kind::NewManifest: {
      PutManifest();
      const std::uint64_t version = mManifestVersion;
      After(kPropagationTime, [this, version]() { CheckManifest(version); });
      return;
    }
    case fault_kind::EndpointDrains: {
      if (endpoint.mCrashed) {
        return;
      }
      test::ListEndpoint(mStore,
                         endpoint.mId,
                         endpoint.mService,
                         endpoint.mServer->Address(),
                         "draining",
                         { endpoint.mDataCentre, 0, {} });
      ReplaceLater(aFault.mTarget % mEndpoints.size());
      return;
    }
    default:
      endpoint.mFault = aFault.mKind;
      return;
  }
}

void
soak_environment::ReplaceLater(std::size_t aEndpoint)
{
  const std::string id = mEndpoints[aEndpoint].mId;
  mEndpoints[aEndpoint].mDrains = true;
  After(kDrainTime, [this, aEndpoint, id]() {
    if (mEndpoints[aEndpoint].mId == id) {
      mStore.Remove("servers", id);
      ResetUnframedStreams(mEndpoints[aEndpoint]);
      mLoop.DeleteLater(std::shared_ptr<test::standin_server>(
        std::move(mEndpoints[aEndpoint].mServer)));
      StartEndpoint(aEndpoint);
    }
  });
}

bool
soak_environment::AnotherServes(std::size_t aEndpoint) const
{
  const soak_endpoint& own = mEndpoints[aEndpoint];
  return std::any_of(mEndpoints.begin(),
                     mEndpoints.end(),
                     [this, &own](const soak_endpoint& aOther) {
                       return aOther.mService == own.mService &&
                              aOther.mId != own.mId && !aOther.mCrashed &&
                              !aOther.mDrains && !aOther.mAsksForRest &&
                              aOther.mDataCentre != mEvacuated &&
                              !aOther.mFault.has_value();
                     });
}

void
soak_environment::ObserveEndpoints()
{
  const time_point now = mLoop.Now();
  for (soak_endpoint& one : mEndpoints) {
    const bool takesRequests = TakesRequests(one, mEvacuated, now);
    if (!takesRequests || (mStoreFaults > 0 && !one.mIsKnown)) {
      one.mUnlistedAt = now;
    }
    one.mIsKnown =
      takesRequests && (one.mIsKnown || now - one.mUnlistedAt > kListInterval);
    if (!one.mIsKnown || !AnswersAll(one)) {
      one.mUnsoundAt = now;
    }
  }
}

std::size_t
soak_environment::CountSoundEndpoints(const request_record& aRequest) const
{
  const std::string service =
    aRequest.mKind == request_kind::Stream ? "model" : "desk";
  return static_cast<std::size_t>(
    std::count_if(mEndpoints.begin(),
                  mEndpoints.end(),
                  [&aRequest, &service](const soak_endpoint& aEndpoint) {
                    return aEndpoint.mService == service &&
                           aEndpoint.mUnsoundAt < aRequest.mSentAt;
                  }));
}

void
soak_environment::BeginNotice(const planned_notice& aNotice)
{
  const std::size_t index = aNotice.mTarget % mEndpoints.size();
  soak_endpoint& endpoint = mEndpoints[index];
  std::cout << "notice at=" << Seconds(aNotice.mAt)
            << " endpoint=" << endpoint.mId << " leaves=" << aNotice.mLeaves
            << '\n';
  // Notices of the last endpoint that serves would leave too few requests to
  // judge the run by.
  if (endpoint.mCrashed || endpoint.mDrains || !AnotherServes(index)) {
    return;
  }
  if (aNotice.mLeaves) {
    endpoint.mSaysLeaving = true;
    ReplaceLater(index);
  } else {
    endpoint.mAsksForRest = true;
  }
}

void
soak_environment::EndNotice(const planned_notice& aNotice)
{
  if (!aNotice.mLeaves) {
    mEndpoints[aNotice.mTarget % mEndpoints.size()].mAsksForRest = false;
  }
}

void
soak_environment::RecordAnnouncement(const soak_endpoint& aEndpoint,
                                     const std::string& aRequest)
{
  mAnnouncements.emplace(aRequest,
                         endpoint_announcement{ aEndpoint.mId,
                                                aEndpoint.mSaysLeaving
                                                  ? time_point::max()
                                                  : mLoop.Now() + kRest });
}

void
soak_environment::DropUnprocessedAnnouncements(std::size_t aGateway)
{
  std::erase_if(mAnnouncements, [this, aGateway](const auto& aEntry) {
    const auto sent = mSentRequests.find(aEntry.first);
    return sent != mSentRequests.end() && sent->second.mGateway == aGateway;
  });
}

void
soak_environment::CheckAnnouncements(const soak_endpoint& aEndpoint,
                                     const std::string& aRequest)
{
  const auto sent = mSentRequests.find(aRequest);
  if (sent == mSentRequests.end()) {
    return;
  }
  const auto [first, last] =
    mKnownAnnouncements.equal_range(sent->second.mGateway);
  for (auto known = first; known != last; ++known) {
    const endpoint_announcement& one = known->second;
    if (one.mEndpoint == aEndpoint.mId && one.mKnownAt < sent->second.mAt &&
        mLoop.Now() < one.mUntil) {
      mHistory.mIgnoredAnnouncements.push_back(
        "request " + aRequest + " reached " + one.mEndpoint + ", which " +
        (one.mUntil == time_point::max() ? "leaves" : "rests") +
        " and had told entry " + std::to_string(sent->second.mGateway + 1));
    }
  }
}

void
soak_environment::EndFault(const fault& aFault)
{
  const std::size_t gatewayIndex = aFault.mTarget % mGateways.size();
  soak_endpoint& endpoint = mEndpoints[aFault.mTarget % mEndpoints.size()];
  switch (aFault.mKind) {
    case fault_kind::Pause:
      if (mGateways[gatewayIndex].mPaused) {
        mGateways[gatewayIndex].mPaused = false;
        DropUnprocessedAnnouncements(gatewayIndex);
        Signal(gatewayIndex, SIGCONT);
      }
      return;
    case fault_kind::StoreRefuses:
    case fault_kind::StoreSilent:
      if (--mStoreFaults == 0) {
        mStore.SetResponseMode(test::standin_store::response_mode::Good);
        mStoreHealthySince = mLoop.Now();
      }
      return;
    default:
      if (endpoint.mFault == aFault.mKind) {
        endpoint.mFault.reset();
      }
      return;
  }
}

void
soak_environment::CheckManifest(std::uint64_t aVersion)
{
  const time_point now = mLoop.Now();
  if (aVersion != mManifestVersion || mStoreFaults > 0 ||
      now - mStoreHealthySince < kPropagationTime + std::chrono::seconds(1)) {
    return;
  }
  for (std::size_t i = 0; i < mGateways.size(); ++i) {
    bool healthy = mGateways[i].mInRotationFrom <= now - kPropagationTime &&
                   mGateways[i].mInRotationUntil > now && !mGateways[i].mPaused;
    for (const disturbance_span& span : mHistory.mDisturbances) {
      healthy = healthy && (span.mGateway != i || span.mTo < now);
    }
    if (!healthy) {
      continue;
    }
    const std::shared_ptr<test::standin_caller> caller =
      std::make_shared<test::standin_caller>(
        mLoop, ip_address{ mGateways[i].mHost, mGateways[i].mPort });
    caller->Send(test::RequestText("look-" + std::to_string(aVersion) + "-" +
                                     std::to_string(i),
                                   RouteName(aVersion),
                                   "",
                                   ""));
    After(std::chrono::seconds(2), [this, caller, i, aVersion]() {
      if (caller->Status() == 404 && aVersion == mManifestVersion) {
        mHistory.mOtherViolations.push_back("entry " + std::to_string(i + 1) +
                                            " does not serve version " +
                                            std::to_string(aVersion));
      }
      caller->CloseConnection();
    });
  }
}

void
soak_environment::CheckReservations()
{
  for (const soak_endpoint& one : mEndpoints) {
    for (const auto& [id, until] : one.mReservations) {
      if (until > mLoop.Now()) {
        mHistory.mOtherViolations.push_back("memory " + id +
                                            " stays set aside at " + one.mId);
      }
    }
  }
}

void
soak_environment::Run(duration aLength, std::uint64_t aSeed)
{
  const time_point begin = mLoop.Now();
  const auto runUntil = [this](time_point aEnd) {
    time_point collectedAt{};
    while (mLoop.Now() < aEnd) {
      timer_id wake = mLoop.After(milliseconds(10), []() {});
      mLoop.Turn();
      mLoop.Cancel(wake);
      if (mLoop.Now() - collectedAt > milliseconds(10)) {
        collectedAt = mLoop.Now();
        ObserveEndpoints();
        CollectFinishedCalls();
      }
    }
  };
  runUntil(begin + kStartupTime);
  mLoadIsOn = true;
  SendRequest();
  SendCrashingRequests();
  for (const planned_surge& one : PlanSurges(aSeed, aLength)) {
    After(one.mAt, [this, one]() { mSurgeTarget = one.mTarget; });
    After(one.mAt + one.mDuration, [this]() { mSurgeTarget.reset(); });
  }
  for (const planned_crash& one : PlanCrashes(aSeed, aLength)) {
    After(one.mAt, [this, one]() {
      std::cout << "crash at=" << Seconds(one.mAt) << '\n';
      CrashEndpoint(one.mTarget % mEndpoints.size());
    });
  }
  for (const planned_notice& one : PlanNotices(aSeed, aLength)) {
    After(one.mAt, [this, one]() { BeginNotice(one); });
    After(one.mAt + one.mDuration, [this, one]() { EndNotice(one); });
  }
  for (const planned_evacuation& one : PlanEvacuations(aSeed, aLength)) {
    After(one.mAt, [this, one]() { Evacuate(one); });
  }
  for (const planned_unframed_answers& one :
       PlanUnframedAnswers(aSeed, aLength)) {
    soak_endpoint& endpoint = mEndpoints[one.mTarget % mEndpoints.size()];
    After(one.mAt, [&endpoint, one]() { endpoint.mUnframed = one.mEnd; });
    After(one.mAt + one.mDuration,
          [&endpoint]() { endpoint.mUnframed.reset(); });
  }
  for (const fault& one : PlanFaults(aSeed, aLength)) {
    After(one.mAt, [this, one]() { BeginFault(one); });
    After(one.mAt + one.mDuration, [this, one]() { EndFault(one); });
  }
  runUntil(begin + kStartupTime + aLength);
  mLoadIsOn = false;
  // Lets the remaining faults and requests end and the memory leases expire.
  runUntil(mLoop.Now() + kTimeLimit + kMemoryLease + std::chrono::seconds(1));
  CheckReservations();
  std::cout << "announcements_known=" << mKnownAnnouncements.size() << '\n';
  ReportCrashes("crashing_request", mCrashingRequest);
  ReportCrashes("crashing_part", mCrashingPart);
  for (const std::shared_ptr<pending_call>& one : mPendingCalls) {
    FinishCall(one);
  }
  mPendingCalls.clear();
  runUntil(mLoop.Now() + milliseconds(50));
}

} // namespace primrose::soak
