#pragma once

/// The commands of primrosectl. Each prints for a person, or with --json for a
/// program, and gives the exit code.

#include "LibDaemon/LibDaemon.h"
#include "LibHttp/LibHttp.h"
#include "LibSettings/LibSettings.h"
#include "LibStore/LibStore.h"

#include <string>
#include <vector>

namespace primrose::control {

/// Where the operators' tool finds the fleet.
struct control_settings
{
  std::string mPlatform;
  std::string mOperatorKey;
  std::vector<std::string> mEntries;

  bool operator==(const control_settings&) const = default;
};

result<control_settings>
LoadControlSettings(const std::string& aFile);

struct control_context
{
  control_settings mSettings;
  main_loop& mLoop;
  http_client& mHttp;
  bool mJson = false;
  std::vector<std::string> mArguments; ///< After the command's name.
};

using command_function = result<int> (*)(control_context&);

struct command
{
  std::string_view mName;
  std::string_view mArguments;
  std::string_view mPurpose;
  std::size_t mLeast;  ///< Arguments that it needs.
  std::size_t mMost;   ///< Arguments that it takes.
  bool mNeedsSettings; ///< False: works without --settings.
  command_function mFunction;
};

// Settings files.
result<int>
CheckTree(control_context& aContext);
result<int>
ShowEffective(control_context& aContext);
result<int>
DiffTrees(control_context& aContext);
result<int>
MakeKey(control_context& aContext);

// Logs of gateways.
result<int>
ShowRequestTimeline(control_context& aContext);

// A running fleet.
result<int>
ShowStatus(control_context& aContext);
result<int>
ExplainRequest(control_context& aContext);
result<int>
DrainNode(control_context& aContext);
result<int>
ListVm(control_context& aContext);
result<int>
WaitFor(control_context& aContext);
result<int>
ShowMetric(control_context& aContext);

/// Sends a request with the operators' key; fails if nobody answers.
result<http_response>
Ask(control_context& aContext,
    const std::string& aMethod,
    const std::string& aUrl,
    const std::string& aBody = "");

} // namespace primrose::control
