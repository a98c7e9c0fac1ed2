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
constexpr int kEventsOfStream = 12;
constexpr duration kEventEvery = milliseconds(25);
constexpr duration kCallWork = milliseconds(8);
/// Mean distance of requests: enough that every fault meets several.
constexpr double kRequestEvery = 0.012;
/// A balancer sends nobody to an entry that started or is about to end.
constexpr duration kStartTime = milliseconds(700);
constexpr duration kNoticeTime = std::chrono::seconds(2);
constexpr duration kRestartAfter = milliseconds(300);
constexpr duration kGrace = std::chrono::seconds(8);
/// A manifest is in force within this on every entry that is well.
constexpr duration kInForce = std::chrono::seconds(3);
constexpr duration kMemoryLease = std::chrono::seconds(4);
/// An endpoint that ended is off the list after this, and back as a new one.
constexpr duration kBackAfter = milliseconds(1200);
/// The request that ends engines comes again as often as this.
constexpr duration kCrashingEvery = milliseconds(150);
const std::string kCrashingBody = "this ends whoever runs it";

std::string
RouteOf(std::uint64_t aVersion)
{
  return "v" + std::to_string(aVersion);
}

} // namespace

struct soak_environment::call
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
  mHistory.mEvents = kEventsOfStream;
  PutManifest();
  mEndpoints.resize(aSize.mEngines + aSize.mDesks);
  for (std::size_t i = 0; i < mEndpoints.size(); ++i) {
    mEndpoints[i].mService = i < aSize.mEngines ? "model" : "desk";
    MakeEndpoint(i);
  }
  mEntries.resize(aSize.mEntries);
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    StartEntry(i);
  }
}

soak_environment::~soak_environment()
{
  for (const entry_process& one : mEntries) {
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
soak_environment::StartEntry(std::size_t aEntry)
{
  entry_process& one = mEntries[aEntry];
  if (one.mHandle != nullptr) {
    g_object_unref(one.mHandle);
    one.mHandle = nullptr;
  }
  one.mHost = "127.0.0." + std::to_string(aEntry + 1);
  one.mPort = mCallersPort;
  const std::string port = ":" + std::to_string(mCallersPort);
  const json settings = {
    { "node", "entry-" + std::to_string(aEntry + 1) },
    { "zone", "a" },
    { "ip", one.mHost },
    { "listen",
      { { "front", one.mHost + port },
        { "ready", one.mHost + ":" + std::to_string(mReadyPort) } } },
    { "port_range", { mPeersPort, mPeersPort } },
    { "seeds", json::array({ "127.0.0.1:1" }) },
    { "bounds",
      { { "grace_s", Seconds(kGrace) },
        { "retry_budget_ratio", 0.5 },
        { "budget_extra", 1000 },
        { "budget_window_s", 10 } } },
    { "platform", { { "addr", mStore.Address().Text() } } }
  };
  one.mSettings = mFolder + "/entry-" + std::to_string(aEntry + 1) + ".json";
  one.mLog = mFolder + "/entry-" + std::to_string(aEntry + 1) + ".log";
  std::ofstream(one.mSettings) << settings.dump();
  GSubprocessLauncher* const launcher =
    g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
  // Each start has a log of its own, so that none overwrites another's.
  const std::string log = one.mLog + "." + std::to_string(mSent);
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
  one.mEnding = false;
  one.mTakesCallersFrom = mLoop.Now() + kStartTime;
  one.mTakesCallersTo = mLoop.Now() + std::chrono::hours(1);
}

void
soak_environment::MakeEndpoint(std::size_t aEndpoint)
{
  soak_endpoint& one = mEndpoints[aEndpoint];
  one.mFault.reset();
  one.mCrashed = false;
  one.mReserved.clear();
  one.mId =
    "i-" + std::to_string(aEndpoint) + "-" + std::to_string(++one.mIncarnation);
  one.mServer = std::make_unique<test::standin_server>(
    mLoop,
    [this, aEndpoint](test::standin_server::connection& aConnection,
                      const http_head& aHead,
                      const std::string& aBody) {
      Serve(aEndpoint, aConnection, aHead, aBody);
    });
  test::ListEndpoint(
    mStore, one.mId, one.mService, one.mServer->Address(), "ready");
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
soak_environment::ServeOrder(soak_endpoint& aEndpoint,
                             test::standin_server::connection& aConnection,
                             const std::string& aBody)
{
  const json order = json::parse(aBody);
  const std::string id = order.at("id").get<std::string>();
  if (order.at("op") == "release") {
    aEndpoint.mReserved.erase(id);
  } else {
    aEndpoint.mReserved[id] =
      mLoop.Now() + milliseconds(order.at("hold_ms").get<std::int64_t>());
  }
  Write(aConnection, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}", true);
}

void
soak_environment::Serve(std::size_t aEndpoint,
                        test::standin_server::connection& aConnection,
                        const http_head& aHead,
                        const std::string& aBody)
{
  soak_endpoint& one = mEndpoints[aEndpoint];
  if (aHead.mTarget == "/order") {
    ServeOrder(one, aConnection, aBody);
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
  if (one.mFault == fault_kind::EndpointRefuses) {
    Write(aConnection,
          "HTTP/1.1 503 X\r\nRequest-Id: " + id +
            "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
          true);
    return;
  }
  if (aBody == kCrashingBody) {
    OnCrashing(id);
    CrashEndpoint(aEndpoint);
    return;
  }
  ++mHistory.mRuns[id];
  if (one.mFault == fault_kind::EndpointHangs) {
    return;
  }
  if (one.mFault == fault_kind::EndpointResets) {
    aConnection.mChannel->Abort();
    return;
  }
  // The connection object lives as long as its server, which lives as long as
  // the incarnation: a timer that comes later finds another incarnation.
  const std::size_t incarnation = one.mIncarnation;
  test::standin_server::connection* const connection = &aConnection;
  const bool breaks = one.mFault == fault_kind::EndpointBreaksOff;
  const auto later =
    [this, aEndpoint, incarnation, connection](
      duration aDelay, std::string aBytes, bool aLast, bool aCut) {
      After(aDelay,
            [this,
             aEndpoint,
             incarnation,
             connection,
             bytes = std::move(aBytes),
             aLast,
             aCut]() {
              if (mEndpoints[aEndpoint].mIncarnation != incarnation) {
                return;
              }
              Write(*connection, bytes, aLast);
              if (aCut) {
                connection->mChannel->Close();
              }
            });
    };
  if (one.mService == "desk") {
    const std::string body = CallBody(id);
    std::string answer =
      test::SuccessHead(
        aHead, "Content-Length: " + std::to_string(body.size()) + "\r\n") +
      body;
    if (one.mFault == fault_kind::EndpointAnswersTwice) {
      answer += answer;
    }
    later(kCallWork,
          breaks ? answer.substr(0, answer.size() / 2) : answer,
          !breaks,
          breaks);
    return;
  }
  const std::optional<std::string_view> last =
    FieldValue(aHead.mFields, "last-event-id");
  const int first = last.has_value() ? std::stoi(std::string(*last)) + 1 : 1;
  later(duration::zero(),
        test::SuccessHead(aHead, "Transfer-Encoding: chunked\r\n"),
        false,
        false);
  for (int event = first; event <= kEventsOfStream; ++event) {
    std::string chunk;
    AppendChunk(chunk, EventText(id, event));
    const bool cut = breaks && event == first + 3;
    if (event == kEventsOfStream) {
      chunk.append(kLastChunk);
    }
    later(kEventEvery * (event - first + 1),
          cut ? chunk.substr(0, chunk.size() / 2) : chunk,
          event == kEventsOfStream,
          cut);
    if (cut) {
      return;
    }
  }
}

void
soak_environment::CrashEndpoint(std::size_t aEndpoint)
{
  soak_endpoint& one = mEndpoints[aEndpoint];
  if (one.mCrashed) {
    return;
  }
  one.mCrashed = true;
  one.mServer->End();
  // What is under way on its connections finds another incarnation.
  ++one.mIncarnation;
  After(kBackAfter, [this, aEndpoint, id = one.mId]() {
    if (mEndpoints[aEndpoint].mId != id) {
      return;
    }
    mStore.Remove("servers", id);
    mLoop.DeleteLater(std::shared_ptr<test::standin_server>(
      std::move(mEndpoints[aEndpoint].mServer)));
    MakeEndpoint(aEndpoint);
  });
}

void
soak_environment::OnCrashing(const std::string& aId)
{
  // Named after the entry that it was sent to.
  const std::size_t entry = std::stoul(aId.substr(1, aId.find('-') - 1));
  const time_point now = mLoop.Now();
  bool well = mEntries[entry].mTakesCallersFrom <= now - kInForce;
  for (const disturbance_span& span : mHistory.mDisturbances) {
    well = well && (span.mEntry != entry || span.mTo < now);
  }
  if (mCrashingEnds >= 3 && now > mThirdEnd + kInForce && well) {
    ++mHistory.mCrashingLate;
  }
  if (++mCrashingEnds == 3) {
    mThirdEnd = now;
  }
}

void
soak_environment::SendCrashing()
{
  if (!mSending) {
    return;
  }
  After(kCrashingEvery, [this]() { SendCrashing(); });
  const std::optional<std::size_t> entry = AnyOpenEntry();
  if (!entry.has_value()) {
    return;
  }
  const std::shared_ptr<test::standin_caller> caller =
    std::make_shared<test::standin_caller>(
      mLoop, ip_address{ mEntries[*entry].mHost, mEntries[*entry].mPort });
  caller->Send(test::RequestText("c" + std::to_string(*entry) + "-" +
                                   std::to_string(++mCrashingSent),
                                 "stream",
                                 "Token-Usage: 1000,50\r\n",
                                 kCrashingBody));
  After(std::chrono::seconds(1), [caller]() { caller->CloseConnection(); });
}

void
soak_environment::PutManifest()
{
  ++mVersion;
  test::WriteManifest(mStore, mVersion, RouteOf(mVersion));
}

std::optional<std::size_t>
soak_environment::AnyOpenEntry()
{
  const time_point now = mLoop.Now();
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    if (mEntries[i].mTakesCallersFrom <= now &&
        mEntries[i].mTakesCallersTo > now) {
      open.push_back(i);
    }
  }
  if (open.empty()) {
    return std::nullopt;
  }
  return open[Below(mRandom, open.size())];
}

void
soak_environment::SendRequest()
{
  if (!mSending) {
    return;
  }
  After(FromSeconds(Exponential(mRandom, kRequestEvery)),
        [this]() { SendRequest(); });
  const time_point now = mLoop.Now();
  const std::optional<std::size_t> entry = AnyOpenEntry();
  if (!entry.has_value()) {
    return;
  }
  const std::shared_ptr<call> made = std::make_shared<call>();
  request_record& record = made->mRecord;
  record.mId = "r" + std::to_string(++mSent);
  record.mKind = static_cast<request_kind>(Below(mRandom, 3));
  record.mEntry = *entry;
  record.mSent = now;
  const char* const path = record.mKind == request_kind::Safe     ? "safe"
                           : record.mKind == request_kind::Unsafe ? "unsafe"
                                                                  : "stream";
  std::string fields =
    "Deadline-Ms: " + std::to_string(Milliseconds(kTimeLimit)) + "\r\n";
  if (record.mKind == request_kind::Stream) {
    // One in twenty is over an engine's memory.
    const bool giant = Below(mRandom, 20) == 0;
    fields +=
      giant ? "Token-Usage: 400000,50\r\n"
            : "Token-Usage: " + std::to_string(500 + Below(mRandom, 60000)) +
                ",50\r\n";
  }
  made->mCaller = std::make_unique<test::standin_caller>(
    mLoop,
    ip_address{ mEntries[record.mEntry].mHost, mEntries[record.mEntry].mPort });
  made->mCaller->Send(test::RequestText(record.mId, path, fields, "hello"));
  mCalls.push_back(made);
}

void
soak_environment::Settle(const std::shared_ptr<call>& aCall)
{
  request_record& record = aCall->mRecord;
  record.mEnded = mLoop.Now();
  record.mStatus = aCall->mCaller->Status();
  record.mWhole = aCall->mCaller->Answered();
  record.mProven = aCall->mCaller->Field("response-seal").has_value();
  record.mAnswerId = aCall->mCaller->Field("request-id").value_or("");
  record.mBody = aCall->mCaller->Body();
  record.mBytes = aCall->mCaller->ReceivedBytes().size();
  aCall->mCaller->CloseConnection();
  mHistory.mRequests.push_back(record);
  mLoop.DeleteLater(
    std::shared_ptr<test::standin_caller>(std::move(aCall->mCaller)));
}

void
soak_environment::Look()
{
  for (const std::shared_ptr<call>& one : mCalls) {
    if (one->mCaller->Answered() || one->mCaller->Ended()) {
      Settle(one);
    }
  }
  std::erase_if(mCalls, [](const std::shared_ptr<call>& aCall) {
    return aCall->mCaller == nullptr;
  });
}

void
soak_environment::Hurt(std::size_t aEntry, duration aFor)
{
  const time_point now = mLoop.Now();
  mHistory.mDisturbances.push_back({ aEntry, now, now + aFor + kInForce });
}

void
soak_environment::Signal(std::size_t aEntry, int aSignal)
{
  g_subprocess_send_signal(mEntries[aEntry].mHandle, aSignal);
}

void
soak_environment::Restart(std::size_t aEntry, duration aAfter)
{
  mEntries[aEntry].mTakesCallersFrom = mLoop.Now() + std::chrono::hours(1);
  After(aAfter, [this, aEntry]() {
    // Until it is gone its addresses are taken.
    g_subprocess_force_exit(mEntries[aEntry].mHandle);
    g_subprocess_wait(mEntries[aEntry].mHandle, nullptr, nullptr);
    StartEntry(aEntry);
  });
}

void
soak_environment::Begin(const fault& aFault)
{
  std::cout << "fault at=" << Seconds(aFault.mAt)
            << " kind=" << FaultName(aFault.mKind)
            << " target=" << aFault.mTarget << " for=" << Seconds(aFault.mFor)
            << '\n';
  const std::size_t entry = aFault.mTarget % mEntries.size();
  soak_endpoint& endpoint = mEndpoints[aFault.mTarget % mEndpoints.size()];
  const time_point now = mLoop.Now();
  // One that is already on its way to an end is left alone: a second fault
  // would make its planned end an unplanned one.
  const bool up = mEntries[entry].mTakesCallersFrom <= now &&
                  !mEntries[entry].mEnding && !mEntries[entry].mPaused;
  switch (aFault.mKind) {
    case fault_kind::Pause:
      if (up) {
        mEntries[entry].mPaused = true;
        Hurt(entry, aFault.mFor);
        Signal(entry, SIGSTOP);
      }
      return;
    case fault_kind::Kill:
      if (up) {
        mEntries[entry].mEnding = true;
        Hurt(entry, aFault.mFor + kRestartAfter);
        Restart(entry, kRestartAfter);
        Signal(entry, SIGKILL);
      }
      return;
    case fault_kind::Terminate:
      if (up) {
        mEntries[entry].mEnding = true;
        mHistory.mPlannedExits.push_back({ entry, now });
        mEntries[entry].mTakesCallersTo = now + kNoticeTime;
        Signal(entry, SIGTERM);
        After(kGrace, [this, entry]() { Restart(entry, kRestartAfter); });
      }
      return;
    case fault_kind::Reload:
      if (up) {
        Signal(entry, SIGHUP);
      }
      return;
    case fault_kind::StoreRefuses:
    case fault_kind::StoreSilent:
      ++mStoreFaults;
      mStore.SetResponseMode(aFault.mKind == fault_kind::StoreRefuses
                               ? test::standin_store::response_mode::Refusing
                               : test::standin_store::response_mode::Silent);
      return;
    case fault_kind::StoreForgets:
      mStore.LoseHistory();
      return;
    case fault_kind::NewManifest: {
      PutManifest();
      const std::uint64_t version = mVersion;
      After(kInForce, [this, version]() { CheckManifest(version); });
      return;
    }
    case fault_kind::EndpointLeaves: {
      if (endpoint.mCrashed) {
        return;
      }
      test::ListEndpoint(mStore,
                         endpoint.mId,
                         endpoint.mService,
                         endpoint.mServer->Address(),
                         "draining");
      const std::size_t index = aFault.mTarget % mEndpoints.size();
      const std::string id = endpoint.mId;
      After(std::chrono::seconds(3), [this, index, id]() {
        if (mEndpoints[index].mId == id) {
          mStore.Remove("servers", id);
          mLoop.DeleteLater(std::shared_ptr<test::standin_server>(
            std::move(mEndpoints[index].mServer)));
          MakeEndpoint(index);
        }
      });
      return;
    }
    default:
      endpoint.mFault = aFault.mKind;
      return;
  }
}

void
soak_environment::End(const fault& aFault)
{
  const std::size_t entry = aFault.mTarget % mEntries.size();
  soak_endpoint& endpoint = mEndpoints[aFault.mTarget % mEndpoints.size()];
  switch (aFault.mKind) {
    case fault_kind::Pause:
      if (mEntries[entry].mPaused) {
        mEntries[entry].mPaused = false;
        Signal(entry, SIGCONT);
      }
      return;
    case fault_kind::StoreRefuses:
    case fault_kind::StoreSilent:
      if (--mStoreFaults == 0) {
        mStore.SetResponseMode(test::standin_store::response_mode::Good);
        mStoreGoodSince = mLoop.Now();
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
  if (aVersion != mVersion || mStoreFaults > 0 ||
      now - mStoreGoodSince < kInForce + std::chrono::seconds(1)) {
    return;
  }
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    bool well = mEntries[i].mTakesCallersFrom <= now - kInForce &&
                mEntries[i].mTakesCallersTo > now && !mEntries[i].mPaused;
    for (const disturbance_span& span : mHistory.mDisturbances) {
      well = well && (span.mEntry != i || span.mTo < now);
    }
    if (!well) {
      continue;
    }
    const std::shared_ptr<test::standin_caller> caller =
      std::make_shared<test::standin_caller>(
        mLoop, ip_address{ mEntries[i].mHost, mEntries[i].mPort });
    caller->Send(test::RequestText("look-" + std::to_string(aVersion) + "-" +
                                     std::to_string(i),
                                   RouteOf(aVersion),
                                   "",
                                   ""));
    After(std::chrono::seconds(2), [this, caller, i, aVersion]() {
      if (caller->Status() == 404 && aVersion == mVersion) {
        mHistory.mOtherViolations.push_back("entry " + std::to_string(i + 1) +
                                            " does not serve version " +
                                            std::to_string(aVersion));
      }
      caller->CloseConnection();
    });
  }
}

void
soak_environment::CheckMemory()
{
  for (const soak_endpoint& one : mEndpoints) {
    for (const auto& [id, until] : one.mReserved) {
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
  const auto turnUntil = [this](time_point aEnd) {
    time_point looked{};
    while (mLoop.Now() < aEnd) {
      timer_id wake = mLoop.After(milliseconds(10), []() {});
      mLoop.Turn();
      mLoop.Cancel(wake);
      if (mLoop.Now() - looked > milliseconds(10)) {
        looked = mLoop.Now();
        Look();
      }
    }
  };
  turnUntil(begin + kStartTime);
  mSending = true;
  SendRequest();
  SendCrashing();
  for (const planned_crash& one : PlanCrashes(aSeed, aLength)) {
    After(one.mAt, [this, one]() {
      std::cout << "crash at=" << Seconds(one.mAt) << '\n';
      CrashEndpoint(one.mTarget % mEndpoints.size());
    });
  }
  for (const fault& one : PlanFaults(aSeed, aLength)) {
    After(one.mAt, [this, one]() { Begin(one); });
    After(one.mAt + one.mFor, [this, one]() { End(one); });
  }
  turnUntil(begin + kStartTime + aLength);
  mSending = false;
  // All faults have ended; what was sent ends, and memory is freed.
  turnUntil(mLoop.Now() + kTimeLimit + kMemoryLease + std::chrono::seconds(1));
  CheckMemory();
  std::cout << "crashing_request asked=" << mCrashingSent
            << " ended=" << mCrashingEnds << " late=" << mHistory.mCrashingLate
            << '\n';
  for (const std::shared_ptr<call>& one : mCalls) {
    Settle(one);
  }
  mCalls.clear();
  turnUntil(mLoop.Now() + milliseconds(50));
}

} // namespace primrose::soak
