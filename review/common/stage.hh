#pragma once

/// Stand-ins for the platform's store, replicas and consumers, and the gateway
/// as a separate process. Blocking sockets, one thread for each connection.
///
/// The store speaks `rows-get`, `rows-feed` and `rows-tx` as the protocol page
/// describes them. What a replica answers is defined by the case.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

inline std::int64_t
NowMs()
{
  static const steady::time_point start = steady::now();
  return std::chrono::duration_cast<milliseconds>(steady::now() - start)
    .count();
}

inline void
Sleep(std::int64_t aMs)
{
  std::this_thread::sleep_for(milliseconds(aMs));
}

/// The record of a run: one event a line, with milliseconds since the start.
class record
{
public:
  explicit record(const std::string& aPath)
    : mFile(aPath)
  {
  }
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[1024];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof(text), aFormat, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(mMutex);
    mFile << "at_ms=" << NowMs() << ' ' << text << '\n';
    mFile.flush();
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline sockaddr_in
Address(const std::string& aHost, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

inline int
Listen(const std::string& aHost, int& aPort, int aReceiveBuffer = 0)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (aReceiveBuffer > 0) {
    setsockopt(
      listener, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
  }
  sockaddr_in address = Address(aHost, aPort);
  if (bind(listener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, 512) != 0) {
    std::perror("listen");
    std::exit(kCouldNotRun);
  }
  socklen_t size = sizeof(address);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  aPort = ntohs(address.sin_port);
  return listener;
}

/// A port of this host that was free a moment ago.
inline int
FreePort(const std::string& aHost)
{
  int port = 0;
  close(Listen(aHost, port));
  return port;
}

inline bool
WriteAll(int aSocket, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t sent =
      send(aSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

struct message
{
  std::string mStart; ///< The first line.
  std::vector<std::pair<std::string, std::string>> mFields;
  std::string mBody;

  std::string Field(std::string_view aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (name.size() == aName.size() &&
          strncasecmp(name.data(), aName.data(), name.size()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Target() const
  {
    const std::size_t first = mStart.find(' ');
    return mStart.substr(first + 1, mStart.rfind(' ') - first - 1);
  }
  std::string Query(const std::string& aName) const
  {
    const std::string target = Target();
    std::size_t at = target.find('?' + aName + '=');
    at = at == std::string::npos ? target.find('&' + aName + '=') : at;
    if (at == std::string::npos) {
      return "";
    }
    at += aName.size() + 2;
    std::string value;
    for (; at < target.size() && target[at] != '&'; ++at) {
      if (target[at] == '%' && at + 2 < target.size()) {
        value +=
          static_cast<char>(std::stoi(target.substr(at + 1, 2), nullptr, 16));
        at += 2;
      } else {
        value += target[at];
      }
    }
    return value;
  }
};

/// Reads messages from a connection, one after another.
class reader
{
public:
  explicit reader(int aSocket)
    : mSocket(aSocket)
  {
  }
  /// Reads more bytes into the buffer; false at the end or after a failure.
  bool Fill(std::size_t aMost = 65536)
  {
    std::string chunk(aMost, '\0');
    const ssize_t received = recv(mSocket, chunk.data(), chunk.size(), 0);
    if (received <= 0) {
      mError = received < 0 ? errno : 0;
      return false;
    }
    mBuffer.append(chunk, 0, static_cast<std::size_t>(received));
    return true;
  }
  bool Head(message& aRead)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) {
        return false;
      }
    }
    const std::string head = mBuffer.substr(0, end + 2);
    mBuffer.erase(0, end + 4);
    aRead = message{};
    std::size_t at = head.find("\r\n");
    aRead.mStart = head.substr(0, at);
    at += 2;
    while (at < head.size()) {
      const std::size_t lineEnd = head.find("\r\n", at);
      const std::string line = head.substr(at, lineEnd - at);
      at = lineEnd + 2;
      const std::size_t colon = line.find(':');
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      aRead.mFields.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return true;
  }
  /// Reads a head and a body with a length.
  bool Message(message& aRead)
  {
    if (!Head(aRead)) {
      return false;
    }
    const std::string length = aRead.Field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (mBuffer.size() < size) {
      if (!Fill()) {
        return false;
      }
    }
    aRead.mBody = mBuffer.substr(0, size);
    mBuffer.erase(0, size);
    return true;
  }

  int mSocket;
  int mError = 0;
  std::string mBuffer;
};

/// Accepts connections on a thread of its own and serves each on another one.
inline int
Serve(const std::string& aHost,
      std::function<void(int)> aServe,
      int aReceiveBuffer = 0)
{
  int port = 0;
  const int listener = Listen(aHost, port, aReceiveBuffer);
  std::thread([listener, serve = std::move(aServe)]() {
    while (true) {
      const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([accepted, serve]() {
        serve(accepted);
        close(accepted);
      }).detach();
    }
  }).detach();
  return port;
}

inline std::string
Base64(const std::string& aBytes)
{
  constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8;
      group |=
        i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0U;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
        i + j <= aBytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return text;
}

/// The platform's store.
class store
{
public:
  explicit store(const std::string& aHost)
    : mHost(aHost)
  {
    mPort = Serve(aHost, [this](int aSocket) { ServeConnection(aSocket); });
  }
  std::string Text() const { return mHost + ':' + std::to_string(mPort); }
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mTables[aTable][aKey] = { Base64(aValue), ++mRevision, false };
    json& known = mWritten[aTable + '/' + aKey];
    known = json::parse(aValue);
    known.erase("seq");
    mChanged.notify_all();
  }
  /// Writes the row unless it differs in this member only; true if it did.
  bool PutUnlessSame(const std::string& aTable,
                     const std::string& aKey,
                     const json& aValue,
                     const std::string& aMember)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    json without = aValue;
    without.erase(aMember);
    json& known = mWritten[aTable + '/' + aKey];
    row& held = mTables[aTable][aKey];
    if (!held.mDeleted && known == without) {
      return false;
    }
    known = without;
    held = { Base64(aValue.dump()), ++mRevision, false };
    mChanged.notify_all();
    return true;
  }
  void Remove(const std::string& aTable, const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mTables[aTable][aKey] = { "", ++mRevision, true };
    mChanged.notify_all();
  }

private:
  struct row
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    bool mDeleted = false;
  };

  static json RowJson(const std::string& aTable,
                      const std::string& aKey,
                      const row& aRow)
  {
    json out = { { "table", aTable },
                 { "part", "" },
                 { "key", aKey },
                 { "schema_ver", aRow.mRevision } };
    if (aRow.mDeleted) {
      out["deleted"] = true;
    } else {
      out["value"] = aRow.mValue;
    }
    return out;
  }

  json Get(const message& aAsked)
  {
    const std::string table = aAsked.Query("table");
    const std::string from = aAsked.Query("from");
    json rows = json::array();
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const auto& [key, one] : mTables[table]) {
      if (!one.mDeleted && key >= from) {
        rows.push_back(RowJson(table, key, one));
      }
    }
    return { { "rows", rows },
             { "truncated", false },
             { "schema_ver", mRevision },
             { "now_ms", NowMs() } };
  }

  json Feed(const message& aAsked)
  {
    const std::string table = aAsked.Query("table");
    const std::uint64_t after = std::stoull(aAsked.Query("after"));
    const milliseconds wait(std::stol(aAsked.Query("wait_ms")));
    const steady::time_point end = steady::now() + wait;
    std::unique_lock<std::mutex> lock(mMutex);
    while (true) {
      std::map<std::uint64_t, json> changed;
      for (const auto& [key, one] : mTables[table]) {
        if (one.mRevision > after) {
          changed[one.mRevision] = RowJson(table, key, one);
        }
      }
      if (!changed.empty() || steady::now() >= end) {
        json rows = json::array();
        for (const auto& [revision, one] : changed) {
          rows.push_back(one);
        }
        return { { "rows", rows },
                 { "schema_ver", mRevision },
                 { "now_ms", NowMs() } };
      }
      mChanged.wait_until(lock, end);
    }
  }

  json Apply(const json& aAsked, int& aStatus)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const json& expected : aAsked.value("expected_rev", json::array())) {
      const row& held = mTables[expected.at("table").get<std::string>()]
                               [expected.at("key").get<std::string>()];
      const std::uint64_t revision = held.mDeleted ? 0 : held.mRevision;
      if (revision != expected.at("schema_ver").get<std::uint64_t>()) {
        aStatus = 412;
        return { { "rows", json::array() },
                 { "schema_ver", mRevision },
                 { "now_ms", NowMs() } };
      }
    }
    ++mRevision;
    for (const json& put : aAsked.value("puts", json::array())) {
      mTables[put.at("table").get<std::string>()]
             [put.at("key").get<std::string>()] = {
               put.at("value").get<std::string>(), mRevision, false
             };
    }
    for (const json& removed : aAsked.value("remove", json::array())) {
      mTables[removed.at("table").get<std::string>()]
             [removed.at("key").get<std::string>()] = { "", mRevision, true };
    }
    mChanged.notify_all();
    return { { "schema_ver", mRevision }, { "now_ms", NowMs() } };
  }

  void ServeConnection(int aSocket)
  {
    reader in(aSocket);
    message asked;
    while (in.Message(asked)) {
      int status = 200;
      json answer;
      const std::string target = asked.Target();
      if (target.starts_with("/rows-get")) {
        answer = Get(asked);
      } else if (target.starts_with("/rows-feed")) {
        answer = Feed(asked);
      } else if (target.starts_with("/rows-tx")) {
        answer = Apply(json::parse(asked.mBody), status);
      } else {
        status = 404;
      }
      Sleep(4);
      const std::string body = answer.dump();
      if (!WriteAll(aSocket,
                    "HTTP/1.1 " + std::to_string(status) +
                      " X\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  std::string mHost;
  int mPort = 0;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, row>> mTables;
  /// The rows without what need not count as a change, as last written.
  std::map<std::string, json> mWritten;
  std::uint64_t mRevision = 0;
};

/// What a customer's sheet states of its machines of the class `front`.
struct sheet
{
  std::string mZone;
  std::string mRegion;
  json mZones;
  double mMemoryMb = 0;
  json mBounds;
};

inline json
Bounds(const json& aOwn)
{
  json bounds = { { "seed_lag_s", 3 },
                  { "addr_reuse_s", 2 },
                  { "grace_s", 8 },
                  { "loss_slack_ms", 200 },
                  { "rollback_slack_ms", 250 },
                  { "strict_revoke", false },
                  { "revoke_ms", 5000 },
                  { "retry_budget_ratio", 0.2 },
                  { "budget_window_s", 10 },
                  { "retry_after_s", 0 },
                  { "stall_ms", 1500 },
                  { "hold_max_ms", 20000 },
                  { "free_ms", 4000 },
                  { "idle_max_ms", 9000 } };
  bounds.update(aOwn);
  return bounds;
}

/// `manntal-lm-grown`; its larger machines have 512 MB.
inline sheet
ManntalSheet()
{
  return { "reykjavik-a",
           "is-sudvestur",
           { { "reykjavik-a", "is-sudvestur" },
             { "hafnarfj-b", "is-sudvestur" },
             { "keflavik-c", "is-sudvestur" } },
           512,
           Bounds({ { "contact_ms", 4000 },
                    { "ack_ms", 6000 },
                    { "catch_up_s", 6 },
                    { "drain_ms", 3000 },
                    { "config_apply_ms", 3000 },
                    { "outer_ms", 6000 },
                    { "budget_extra", 136 },
                    { "cold_over", 1.5 },
                    { "cold_slack", 5 },
                    { "evac_ms", 5000 },
                    { "recover_s", 15 },
                    { "pass_ms", 200 } }) };
}

/// `hanbit-clear`.
inline sheet
HanbitSheet()
{
  return { "mapo-hall",
           "seoul-metro",
           { { "mapo-hall", "seoul-metro" },
             { "gangnam-hall", "seoul-metro" },
             { "pangyo-hall", "seoul-metro" } },
           260,
           Bounds({ { "contact_ms", 3000 },
                    { "ack_ms", 4000 },
                    { "catch_up_s", 4 },
                    { "drain_ms", 2000 },
                    { "config_apply_ms", 2000 },
                    { "outer_ms", 5000 },
                    { "budget_extra", 102 },
                    { "recover_s", 12 },
                    { "pass_ms", 120 } }) };
}

/// A gateway that runs as a process of its own, started as the deploy file
/// says.
class gateway_process
{
public:
  gateway_process(const std::string& aRoot,
                  const std::string& aFolder,
                  const std::string& aName,
                  const std::string& aHost,
                  const std::string& aStore,
                  const sheet& aSheet)
    : mRoot(aRoot)
    , mHost(aHost)
    , mSettings(aFolder + '/' + aName + ".json")
    , mLog(aFolder + '/' + aName + ".log")
  {
    mFront = FreePort(aHost);
    mReady = FreePort(aHost);
    const int peers = FreePort(aHost);
    const json settings = {
      { "node", aName },
      { "role", "gateway" },
      { "machine_class", "front" },
      { "serves", { "front" } },
      { "ip", aHost },
      { "zone", aSheet.mZone },
      { "region", aSheet.mRegion },
      { "zones", aSheet.mZones },
      { "listen",
        { { "front", aHost + ':' + std::to_string(mFront) },
          { "ready", aHost + ':' + std::to_string(mReady) } } },
      { "port_range", { peers, peers } },
      { "seeds", { aHost + ":8229" } },
      { "bootstrap", true },
      { "counts_as_loss", false },
      { "limits",
        { { "cpu_share", 1.0 },
          { "cores", 1 },
          { "memory_mb", aSheet.mMemoryMb },
          { "max_fds", 4200 },
          { "link_mbps", 1000.0 },
          { "disk_mb", 0 } } },
      { "data_dir", nullptr },
      { "discovery", "platform" },
      { "entry", "vip" },
      { "heartbeat_ms", 1200 },
      { "fault_tolerance", { { "machines", 1 }, { "zones", 0 } } },
      { "bounds", aSheet.mBounds },
      { "platform",
        { { "addr", aStore },
          { "form", "table" },
          { "writes_per_s", 1200 },
          { "reads_per_s", 6000 },
          { "tx_ms", 3.0 },
          { "row_bytes", 65536 },
          { "across", true },
          { "history_s", 20 } } }
    };
    std::ofstream(mSettings) << settings.dump(2) << '\n';
  }
  ~gateway_process() { Kill(); }

  void Start()
  {
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      rlimit descriptors{};
      getrlimit(RLIMIT_NOFILE, &descriptors);
      descriptors.rlim_cur =
        std::min<rlim_t>(descriptors.rlim_max, rlim_t{ 4200 });
      setrlimit(RLIMIT_NOFILE, &descriptors);
      const int log = open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      setenv("PRIMROSEWIND_BOOT", mSettings.c_str(), 1);
      if (chdir(mRoot.c_str()) != 0) {
        _exit(127);
      }
      execl(
        "target/bin/primrose-gateway", "target/bin/primrose-gateway", nullptr);
      _exit(127);
    }
  }
  void Signal(int aSignal)
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }
  /// True if the process has ended; its status is kept.
  bool Ended()
  {
    if (mPid > 0) {
      int status = 0;
      if (waitpid(mPid, &status, WNOHANG) != mPid) {
        return false;
      }
      mStatus = status;
      mPid = -1;
    }
    return true;
  }
  void Kill()
  {
    if (!Ended()) {
      kill(mPid, SIGCONT);
      kill(mPid, SIGKILL);
      waitpid(mPid, &mStatus, 0);
      mPid = -1;
    }
  }
  /// Resident memory in megabytes; 0 if the process has ended.
  double MemoryMb() const
  {
    std::ifstream status("/proc/" + std::to_string(mPid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with("VmRSS:")) {
        return std::stod(line.substr(6)) / 1024;
      }
    }
    return 0;
  }
  /// Asks once whether the gateway is ready, as the platform does.
  bool Ready() const
  {
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{ 1, 0 };
    setsockopt(probe, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const sockaddr_in address = Address(mHost, mReady);
    bool ready = false;
    if (connect(probe,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0 &&
        WriteAll(probe, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      reader in(probe);
      message answer;
      ready = in.Head(answer) && answer.mStart.starts_with("HTTP/1.1 200");
    }
    close(probe);
    return ready;
  }
  bool WaitUntilReady(std::int64_t aMs)
  {
    const std::int64_t end = NowMs() + aMs;
    while (NowMs() < end) {
      if (Ended()) {
        return false;
      }
      if (Ready()) {
        return true;
      }
      Sleep(50);
    }
    return false;
  }

  std::string mRoot;
  std::string mHost;
  std::string mSettings;
  std::string mLog;
  int mFront = 0;
  int mReady = 0;
  pid_t mPid = -1;
  int mStatus = 0;
};

struct client_options
{
  int mSegmentBytes = 0;  ///< Largest segment, as on a network of that size.
  int mReceiveBuffer = 0; ///< 0: as the system has it.
};

inline int
Connect(const std::string& aHost, int aPort, const client_options& aOptions)
{
  const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aOptions.mSegmentBytes > 0) {
    setsockopt(caller,
               IPPROTO_TCP,
               TCP_MAXSEG,
               &aOptions.mSegmentBytes,
               sizeof(aOptions.mSegmentBytes));
  }
  if (aOptions.mReceiveBuffer > 0) {
    setsockopt(caller,
               SOL_SOCKET,
               SO_RCVBUF,
               &aOptions.mReceiveBuffer,
               sizeof(aOptions.mReceiveBuffer));
  }
  const sockaddr_in address = Address(aHost, aPort);
  if (connect(caller,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(caller);
    return -1;
  }
  const int on = 1;
  setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return caller;
}

inline bool
Trouble()
{
  const char* const set = std::getenv("TROUBLE");
  return set == nullptr || std::string(set) != "0";
}

} // namespace review
