#include "LibCore/Address.h"

#include "LibCore/Text.h"

#include <arpa/inet.h>
#include <spdlog/fmt/fmt.h>

namespace primrose {

std::string
ip_address::Text() const
{
  return fmt::format("{}:{}", mHost, mPort);
}

result<ip_address>
ParseAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  const std::string message =
    fmt::format("expected an address like 127.0.0.1:8080, found \"{}\"", aText);
  if (colon == std::string::npos) {
    return Fail(error_kind::BadValue, message);
  }
  const std::string host = aText.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
    return Fail(error_kind::BadValue, message);
  }
  constexpr double kHighestPort = 65535;
  const std::optional<double> port = ParseNumber(aText.substr(colon + 1));
  if (!port || *port < 0 || *port > kHighestPort ||
      *port != static_cast<std::uint16_t>(*port)) {
    return Fail(error_kind::BadValue, message);
  }
  return ip_address{ host, static_cast<std::uint16_t>(*port) };
}

} // namespace primrose
