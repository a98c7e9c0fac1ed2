#pragma once

/// Addresses as the system's calls take them.

#include "LibCore/LibCore.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace primrose {

inline sockaddr_in
ToSockaddr(const ip_address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr);
  return address;
}

} // namespace primrose
