#pragma once

/// The address file: a process writes its listen addresses there, so that the
/// program that started it with port 0 learns the actual ports.

#include "LibCore/LibCore.h"

#include <map>
#include <string>

namespace primrose {

/// Writes the members and the process id as one JSON object. The file is
/// replaced atomically by a rename. Does nothing if the path is empty.
result<void>
WriteAddressFile(const std::string& aPath,
                 std::map<std::string, std::string> aMembers);

} // namespace primrose
