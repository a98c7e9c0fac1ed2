#pragma once

/// Addresses of processes: IP numbers and ports, as settings and the
/// platform's list give them.

#include "LibCore/Error.h"

#include <string>

namespace primrose {

/// An address in the form `1.2.3.4:5678`; names are not looked up.
struct ip_address
{
  std::string mHost;
  std::uint16_t mPort = 0;

  bool operator==(const ip_address&) const = default;
  std::string Text() const;
};

result<ip_address>
ParseAddress(const std::string& aText);

} // namespace primrose
