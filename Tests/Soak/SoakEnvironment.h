#pragma once

/// The processes, stand-ins and callers of a soak. The gateways are real
/// processes, hurt from outside; the platform and the endpoints stand in the
/// soak's own process.

#include "Faults.h"
#include "History.h"
#include "Standin.h"

#include <gio/gio.h>

namespace primrose::soak {

struct soak_size
{
  std::size_t mEntries = 3;
  std::size_t mEngines = 4;
  std::size_t mDesks = 2;
};

/// One gateway process.
struct entry_process
{
  std::string mHost;
  std::string mSettings; ///< Path of its settings file.
  std::string mLog;
  GSubprocess* mHandle = nullptr;
  std::uint16_t mPort = 0; ///< Where callers connect.
  bool mPaused = false;
  bool mEnding = false; ///< Asked to end, or killed; a new start follows.
  time_point mTakesCallersFrom{};
  time_point mTakesCallersTo{};
};

/// One endpoint, with what is wrong with it just now.
struct soak_endpoint
{
  std::string mId;
  std::string mService;
  std::size_t mIncarnation = 0;
  std::optional<fault_kind> mFault;
  bool mCrashed = false; ///< It ended without a word; a new one follows.
  std::unique_ptr<test::standin_server> mServer;
  std::map<std::string, time_point> mReserved; ///< Until when.
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

  /// Load under the faults of a seed, then a quiet time in which all ends.
  void Run(duration aLength, std::uint64_t aSeed);
  const soak_history& History() const { return mHistory; }

private:
  struct call;
  void StartEntry(std::size_t aEntry);
  void Begin(const fault& aFault);
  void End(const fault& aFault);
  void Hurt(std::size_t aEntry, duration aFor);
  void Signal(std::size_t aEntry, int aSignal);
  void Restart(std::size_t aEntry, duration aAfter);
  void MakeEndpoint(std::size_t aEndpoint);
  void Serve(std::size_t aEndpoint,
             test::standin_server::connection& aConnection,
             const http_head& aHead,
             const std::string& aBody);
  void ServeOrder(soak_endpoint& aEndpoint,
                  test::standin_server::connection& aConnection,
                  const std::string& aBody);
  void Write(test::standin_server::connection& aConnection,
             const std::string& aBytes,
             bool aLast);
  void SendRequest();
  /// Asks for what ends each engine that runs it, again and again.
  void SendCrashing();
  void OnCrashing(const std::string& aId);
  /// Ends an endpoint without a word; a new one takes its place.
  void CrashEndpoint(std::size_t aEndpoint);
  /// An entry that callers are sent to now; nothing if there is none.
  std::optional<std::size_t> AnyOpenEntry();
  void Settle(const std::shared_ptr<call>& aCall);
  void Look();
  void PutManifest();
  void CheckManifest(std::uint64_t aVersion);
  void CheckMemory();
  void After(duration aDelay, std::function<void()> aAction);

  event_loop mLoop;
  std::string mProgram;
  std::string mFolder;
  random_engine mRandom;
  test::standin_store mStore;
  std::vector<entry_process> mEntries;
  std::uint16_t mCallersPort = 0; ///< The same on the address of each entry.
  std::uint16_t mReadyPort = 0;
  std::uint16_t mPeersPort = 0;
  std::uint16_t mMetricsPort = 0;
  std::vector<soak_endpoint> mEndpoints;
  std::vector<std::shared_ptr<call>> mCalls;
  soak_history mHistory;
  std::uint64_t mVersion = 1;
  time_point mStoreGoodSince{};
  unsigned mStoreFaults = 0;
  std::size_t mSent = 0;
  std::size_t mCrashingSent = 0;
  std::size_t mCrashingEnds = 0; ///< Engines that ended under it.
  time_point mThirdEnd{};
  bool mSending = false;
};

} // namespace primrose::soak
