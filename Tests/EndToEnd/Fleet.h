#pragma once

/// A small fleet of the real programs on loopback, for tests that kill, pause
/// and cut. Ports are picked by the system; everything ends with the object.

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

  /// The address under which a process wrote this member of its address file.
  std::string Address(const std::string& aName,
                      const std::string& aMember = "http") const;
  void Signal(const std::string& aName, int aSignal);
  /// Starts the process again with its old settings but new ports, under a
  /// new name in the platform's list, as a VM that was replaced.
  void Replace(const std::string& aName);
  /// The exit code of a process that is expected to end.
  int ExitCode(const std::string& aName);

  http_response Send(http_request aRequest);
  http_response Get(const std::string& aName, const std::string& aPath);
  json GetJson(const std::string& aName, const std::string& aPath);
  void Fault(const std::string& aName, const json& aFaults);

  http_request Completion(int aEntry,
                          const std::string& aPrompt,
                          int aOutput,
                          bool aStream) const;
  http_request Guarded(int aEntry, const std::string& aKey) const;

  /// Waits until the condition holds; fails the test after a minute, which no
  /// verdict depends on: it only bounds a run that hangs.
  void Until(const std::string& aWhat, const std::function<bool()>& aHolds);
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
  void ListVm(const std::string& aName,
              const std::string& aKind,
              const std::string& aServes,
              const std::string& aAddress);
  json NodeSettings(const std::string& aName) const;

  main_loop& mLoop;
  http_client mHttp;
  std::string mFolder;
  std::map<std::string, process> mProcesses;
};

/// The data of all events of a stream's body.
std::vector<std::string>
EventsOf(const std::string& aBody);
/// The text that the events of a whole answer carry.
std::string
TextOf(const std::vector<std::string>& aEvents);
std::string
PromptOf(std::size_t aTokens, const std::string& aSeed);
std::string
ErrorKind(const http_response& aResponse);
std::string
ErrorRan(const http_response& aResponse);

} // namespace primrose::test
