#include "LibCore/Identity.h"

#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

namespace primrose {

std::uint64_t
Hash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

id_maker::id_maker(std::string aOwner, std::uint64_t aIncarnation)
  : mPrefix(fmt::format("{}.{:08x}",
                        std::move(aOwner),
                        static_cast<std::uint32_t>(aIncarnation)))
{
}

std::string
id_maker::Next()
{
  ++mCounter;
  return fmt::format("{}.{}", mPrefix, mCounter);
}

std::string_view
OwnerOf(std::string_view aId)
{
  const std::size_t lastDot = aId.rfind('.');
  if (lastDot == std::string_view::npos || lastDot == 0) {
    return {};
  }
  const std::size_t middleDot = aId.rfind('.', lastDot - 1);
  if (middleDot == std::string_view::npos) {
    return {};
  }
  return aId.substr(0, middleDot);
}

std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode)
{
  return Hash(aKey, Hash(aNode));
}

} // namespace primrose
