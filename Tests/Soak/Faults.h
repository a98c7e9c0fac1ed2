#pragma once

/// The plan of faults of a soak: the same seed gives the same plan.

#include "LibCore/LibCore.h"

#include <string_view>
#include <vector>

namespace primrose::soak {

enum class fault_kind : std::uint8_t
{
  Pause,     ///< SIGSTOP, then SIGCONT.
  Kill,      ///< SIGKILL, then a new start.
  Terminate, ///< SIGTERM, then a new start.
  Reload,    ///< SIGHUP.
  StoreRefuses,
  StoreSilent,
  StoreForgets,
  NewManifest,
  EndpointResets, ///< After it has run the request.
  EndpointHangs,
  EndpointRefuses,
  EndpointBreaksOff, ///< In the middle of a stream or of an answer.
  EndpointAnswersTwice,
  EndpointLeaves, ///< Drains, goes, and comes back as a new one.
};

inline constexpr std::size_t kFaultKinds = 14;

std::string_view
FaultName(fault_kind aKind);

struct fault
{
  duration mAt{};
  fault_kind mKind = fault_kind::Pause;
  std::size_t mTarget = 0; ///< Drawn; taken modulo what there is.
  duration mFor{};

  bool operator==(const fault&) const = default;
};

/// When endpoints end without a word, and which; beside the plan of faults, so
/// that a seed's plan stays what it was.
struct planned_crash
{
  duration mAt{};
  std::size_t mTarget = 0; ///< Drawn; taken modulo what there is.

  bool operator==(const planned_crash&) const = default;
};

std::vector<planned_crash>
PlanCrashes(std::uint64_t aSeed, duration aLength);

std::vector<fault>
PlanFaults(std::uint64_t aSeed, duration aLength);

} // namespace primrose::soak
