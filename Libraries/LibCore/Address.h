#pragma once

/// IPv4 addresses with ports, as they are written in the settings and in the
/// platform's list of endpoints.

#include "LibCore/Error.h"

#include <string>

namespace primrose {

/// An address of the form `1.2.3.4:5678`. Host names are not resolved.
struct ip_address
{
  std::string mHost;
  std::uint16_t mPort = 0;

  bool operator==(const ip_address&) const = default;
  std::string Text() const;
};

/// Fails with `BadValue` if the text is not of that form.
result<ip_address>
ParseAddress(const std::string& aText);

} // namespace primrose
