#pragma once

/// Reading of small files.

#include "LibCore/Error.h"

#include <string>

namespace primrose {

/// The whole content of a file. Fails with `SettingsInvalid` if it cannot be
/// read or is empty.
result<std::string>
ReadFile(const std::string& aPath);

} // namespace primrose
