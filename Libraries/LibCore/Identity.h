#pragma once

/// Identifiers and hashes. A request's id begins with the name of the entry
/// that admitted it, so that anybody can tell who can explain it.

#include <cstdint>
#include <string>
#include <string_view>

namespace primrose {

/// xxHash (XXH3, 64 bits) of a text; stable across processes and versions.
std::uint64_t
Hash(std::string_view aText, std::uint64_t aSeed = 0);

/// Makes ids that are unique across processes and restarts: the owner's name,
/// a random incarnation, a counter.
class id_maker
{
public:
  id_maker(std::string aOwner, std::uint64_t aIncarnation);
  std::string Next();
  const std::string& Prefix() const { return mPrefix; }

private:
  std::string mPrefix;
  std::uint64_t mCounter = 0;
};

/// The owner's name within an id made by `id_maker`; empty if it is not one.
std::string_view
OwnerOf(std::string_view aId);

/// The order in which a key prefers nodes (rendezvous hashing): a node with a
/// higher weight comes first, and when a node goes only its keys move.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode);

} // namespace primrose
