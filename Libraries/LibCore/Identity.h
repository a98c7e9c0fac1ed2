#pragma once

/// Identifiers and hashes. A request's id starts with the name of the process
/// that admitted it, so the id alone shows which process has the records to
/// explain that request.

#include <cstdint>
#include <string>
#include <string_view>

namespace primrose {

/// xxHash (XXH3, 64 bits) of a text. The value is the same in all processes and
/// versions.
std::uint64_t
Hash(std::string_view aText, std::uint64_t aSeed = 0);

/// Makes ids that are unique across processes and restarts. An id consists of
/// the owner's name, a random incarnation number of the process and a counter,
/// separated by dots.
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

/// The owner's name in an id made by `id_maker`; empty if the text is not such
/// an id.
std::string_view
OwnerOf(std::string_view aId);

/// The weight of a node for a key in rendezvous hashing: the key is assigned to
/// the node with the highest weight. When a node is removed, only its own keys
/// are reassigned.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode);

} // namespace primrose
