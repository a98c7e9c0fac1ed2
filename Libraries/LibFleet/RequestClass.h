#pragma once

/// Who a request is for and how urgent it is. Admission and placement under
/// overload decide by these besides the size of the prompt.

#include "LibCore/LibCore.h"

#include <string_view>

namespace primrose {

/// Identifies an organisation in messages between gateways: a hash of its name.
/// 0 stands for requests that belong to no organisation.
using organisation_key = std::uint32_t;

organisation_key
OrganisationKey(std::string_view aName);

/// The least urgent rank; 0 is the most urgent.
inline constexpr unsigned kMaxRank = 9;

struct request_class
{
  /// 0 to `kMaxRank`. The same for all requests of a service whose manifest
  /// does not distinguish ranks.
  unsigned mRank = 0;
  organisation_key mOrganisation = 0;

  bool operator==(const request_class&) const = default;
};

/// Why a request is refused although an engine might take it.
enum class admission_reason : std::uint8_t
{
  None,
  NoFreeSlot,      ///< All slots are in use.
  MoreUrgent,      ///< The free slots are reserved for more urgent requests.
  OverShare,       ///< The free slots are reserved for other organisations.
  AlreadyLate,     ///< The free slots are reserved for requests not yet late.
  CannotStartSoon, ///< Its caller would give up before its first event.
};

/// The share of all engines' slots that has to stay free when a request is
/// admitted, and for whom.
struct slot_reserve
{
  double mShare = 0;
  admission_reason mReason = admission_reason::None;

  bool operator==(const slot_reserve&) const = default;
};

/// Both reserves together, with the reason of the larger one.
slot_reserve
CombinedReserve(const slot_reserve& aOne, const slot_reserve& aOther);

/// The reason as it appears in logs and metrics.
std::string_view
AdmissionReasonName(admission_reason aReason);

} // namespace primrose
