#include "LibDaemon/AddressFile.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace primrose {

result<void>
WriteAddressFile(const std::string& aPath,
                 std::map<std::string, std::string> aMembers)
{
  if (aPath.empty()) {
    return {};
  }
  nlohmann::json document = aMembers;
  document["pid"] = getpid();
  const std::string partial = aPath + ".partial";
  std::ofstream file(partial);
  file << document.dump() << "\n";
  file.close();
  if (!file || std::rename(partial.c_str(), aPath.c_str()) != 0) {
    return Fail(error_kind::SettingsInvalid, aPath + ": cannot be written");
  }
  return {};
}

} // namespace primrose
