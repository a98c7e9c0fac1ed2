#include "Control.h"
#include "RequestTimeline.h"

#include <fstream>
#include <iostream>

namespace primrose::control {

result<int>
ShowRequestTimeline(control_context& aContext)
{
  const std::string& request = aContext.mArguments[0];
  std::vector<std::string> lines;
  for (std::size_t i = 1; i < aContext.mArguments.size(); ++i) {
    const std::string& name = aContext.mArguments[i];
    std::ifstream file(name);
    if (!file) {
      return Fail(error_kind::SettingsInvalid, name + " cannot be read");
    }
    std::string line;
    while (std::getline(file, line)) {
      // What collects the logs may have put something before each line.
      const std::size_t begin = line.find("time=");
      if (begin != std::string::npos) {
        lines.push_back(line.substr(begin));
      }
    }
  }
  const std::vector<std::string> story = RequestTimeline(lines, request);
  if (story.empty()) {
    return Fail(error_kind::NotFound,
                "no line of these logs names request " + request);
  }
  if (aContext.mJson) {
    std::cout << json(story).dump() << "\n";
    return kExitSuccess;
  }
  for (const std::string& line : story) {
    std::cout << line << "\n";
  }
  return kExitSuccess;
}

} // namespace primrose::control
