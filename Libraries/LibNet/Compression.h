#pragma once

/// Compression of messages between processes of this project, in zlib's format.

#include "LibCore/LibCore.h"

#include <string>
#include <string_view>

namespace primrose {

std::string
Compress(std::string_view aBytes);

/// True if the bytes begin like a compressed message.
bool
IsCompressed(std::string_view aBytes);

/// Fails if the bytes are damaged or would become larger than `aMaxBytes`.
result<std::string>
Decompress(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace primrose
