#pragma once

/// The commands of primrosectl. Each prints text, or JSON if --json is given,
/// and returns the exit code of the program.

#include "LibDaemon/LibDaemon.h"
#include "LibHttp/LibHttp.h"
#include "LibSettings/LibSettings.h"
#include "LibStore/LibStore.h"

#include <string>
#include <vector>

namespace primrose::control {

/// Addresses of the platform and the gateways, and the key that authorises
/// operators' requests. Read from the file that --settings names.
struct control_settings
{
  std::string mPlatform;
  std::string mOperatorKey;
  std::vector<std::string> mGateways;

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
  std::vector<std::string> mArguments; ///< Without the command's name.
};

using command_handler = result<int> (*)(control_context&);

struct command
{
  std::string_view mName;
  std::string_view mArguments;
  std::string_view mPurpose;
  std::size_t mMinArguments;
  std::size_t mMaxArguments;
  bool mNeedsSettings; ///< True if --settings is required.
  command_handler mHandler;
};

// Commands that read settings files.
result<int>
CheckTree(control_context& aContext);
result<int>
ShowEffective(control_context& aContext);
result<int>
DiffTrees(control_context& aContext);
result<int>
MakeKey(control_context& aContext);

// Commands that read gateways' log files.
result<int>
ShowRequestTimeline(control_context& aContext);

// Commands that query or change a running fleet.
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

/// Prints which data centres a gateway knows to be evacuated, and which
/// endpoints to be cold.
result<int>
ShowRestrictions(control_context& aContext);

/// Sends an HTTP request authorised by the operators' key. Fails if the server
/// cannot be reached or does not answer before the timeout.
result<http_response>
SendOperatorRequest(control_context& aContext,
                    const std::string& aMethod,
                    const std::string& aUrl,
                    const std::string& aBody = "");

} // namespace primrose::control
