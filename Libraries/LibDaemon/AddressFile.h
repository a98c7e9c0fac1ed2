#pragma once

/// The file in which a process says where it listens, for whoever started it
/// with port 0.

#include "LibCore/LibCore.h"

#include <map>
#include <string>

namespace primrose {

/// Writes the members, the process id among them, as one JSON object. The file
/// appears whole or not at all. Nothing is done if the path is empty.
result<void>
WriteAddressFile(const std::string& aPath,
                 std::map<std::string, std::string> aMembers);

} // namespace primrose
