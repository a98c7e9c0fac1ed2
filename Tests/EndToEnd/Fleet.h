#pragma once

/// Runs a small fleet of the real programs on loopback, for tests that kill and
/// pause processes or cut connections. The system picks the ports. All
/// processes end with the fleet object.

#include "LibDaemon/LibDaemon.h"
#include "LibHttp/LibHttp.h"

#include <functional>
#include <gio/gio.h>
#include <map>
#include <string>
#include <vector>

namespace primrose::test {

struct fleet_size
{
  int mEngines = 2;
  int mServices = 1;
  int mEntries = 2;
};

class fleet
{
public:
  fleet(main_loop& aLoop, const fleet_size& aSize);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// Returns an address of a process: the member aMember of the address file
  /// that the process wrote.
  std::string Address(const std::string& aName,
                      const std::string& aMember = "http") const;
  void Signal(const std::string& aName, int aSignal);
  /// Kills the process and starts it again with the same settings on new ports,
  /// as when a VM is replaced. Updates its address in the platform's list.
  void KillAndReplace(const std::string& aName);
  /// Waits until the process ends and returns its exit code, or -1 if a signal
  /// ended it.
  int WaitForExitCode(const std::string& aName);

  http_response Send(http_request aRequest);
  http_response Get(const std::string& aName, const std::string& aPath);
  json GetJson(const std::string& aName, const std::string& aPath);
  void InjectFaults(const std::string& aName, const json& aFaults);

  http_request Completion(int aEntry,
                          const std::string& aPrompt,
                          int aOutput,
                          bool aStream) const;
  http_request GuardedCall(int aEntry, const std::string& aKey) const;

  /// Waits until the condition holds and fails the test after a minute. The
  /// minute only bounds a test that hangs; no test checks a time by it.
  void WaitUntil(const std::string& aDescription,
                 const std::function<bool()>& aCondition);
  void Sleep(duration aTime);
  main_loop& Loop() { return mLoop; }
  http_client& Http() { return mHttp; }
  const std::string& Folder() const { return mFolder; }

private:
  struct process
  {
    std::vector<std::string> mCommand;
    GSubprocess* mHandle = nullptr;
    json mAddresses;
  };

  void Start(const std::string& aName, std::vector<std::string> aCommand);
  void WriteSettings(const std::string& aName, const json& aSettings);
  void StartAgent(const std::string& aName,
                  const std::string& aStandIn,
                  bool aIsEngine);
  void RegisterVm(const std::string& aName,
                  const std::string& aKind,
                  const std::string& aServes,
                  const std::string& aAddress);
  json MakeNodeSettings(const std::string& aName) const;

  main_loop& mLoop;
  http_client mHttp;
  std::string mFolder;
  std::map<std::string, process> mProcesses;
};

/// Returns the data fields of all server-sent events in the body of a stream.
std::vector<std::string>
ParseEventData(const std::string& aBody);
/// Joins the completion text that the events of an answer carry.
std::string
JoinCompletionText(const std::vector<std::string>& aEvents);
/// Makes a prompt of aTokens tokens (four characters each) that starts with
/// aSeed and is unique to it.
std::string
MakePrompt(std::size_t aTokens, const std::string& aSeed);
/// Return the members "kind" and "ran" of an error answer, or "" if absent.
std::string
ErrorKind(const http_response& aResponse);
std::string
ErrorRan(const http_response& aResponse);

} // namespace primrose::test
