#include "LibCore/File.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <spdlog/fmt/fmt.h>
#include <sstream>

namespace primrose {

result<std::string>
ReadFile(const std::string& aPath)
{
  errno = 0;
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  if (file && file.peek() != std::ifstream::traits_type::eof()) {
    text << file.rdbuf();
  }
  if (!file || text.str().empty()) {
    return Fail(error_kind::SettingsInvalid,
                fmt::format("{}: cannot be read: {}",
                            aPath,
                            errno != 0 ? strerror(errno) : "it is empty"));
  }
  return text.str();
}

} // namespace primrose
