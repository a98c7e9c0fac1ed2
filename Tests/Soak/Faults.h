#pragma once

/// The plan of faults of a soak run. The same seed gives the same plan.

#include "LibCore/LibCore.h"

#include <string_view>
#include <vector>

namespace primrose::soak {

enum class fault_kind : std::uint8_t
{
  Pause,     ///< SIGSTOP, then SIGCONT.
  Kill,      ///< SIGKILL, then a restart.
  Terminate, ///< SIGTERM, then a restart.
  Reload,    ///< SIGHUP.
  StoreRefuses,
  StoreSilent,
  StoreLosesHistory,
  NewManifest,
  EndpointResets, ///< Resets the connection after it has run the request.
  EndpointHangs,
  EndpointRefuses,
  EndpointCutsAnswer, ///< Closes the connection in the middle of an answer.
  EndpointAnswersTwice,
  EndpointDrains, ///< Drains, is unlisted, and is replaced by a new one.
};

inline constexpr std::size_t kFaultKindCount = 14;

std::string_view
FaultName(fault_kind aKind);

struct fault
{
  duration mAt{};
  fault_kind mKind = fault_kind::Pause;
  std::size_t mTarget = 0; ///< Random; taken modulo the number of targets.
  duration mDuration{};

  bool operator==(const fault&) const = default;
};

/// A crash of an endpoint: it ends without draining. Crashes are planned apart
/// from the faults so that the plan of faults of a given seed doesn't change.
struct planned_crash
{
  duration mAt{};
  std::size_t mTarget = 0; ///< Random; taken modulo the number of targets.

  bool operator==(const planned_crash&) const = default;
};

/// A span in which an endpoint's answers announce something: that it leaves,
/// after which a new one replaces it, or that it accepts no requests for a
/// while. It then refuses all. Planned apart, as crashes are.
struct planned_notice
{
  duration mAt{};
  std::size_t mTarget = 0; ///< Random; taken modulo the number of targets.
  bool mLeaves = false;
  duration mDuration{};

  bool operator==(const planned_notice&) const = default;
};

/// How an answer without a length ends.
enum class unframed_end : std::uint8_t
{
  Whole,
  CutByClose, ///< Streams only: the connection closes inside an event.
  CutByReset, ///< The connection is reset inside an event or a body.
};

/// A span in which an endpoint's answers have neither a length nor chunks.
/// Planned apart, as crashes are.
struct planned_unframed_answers
{
  duration mAt{};
  std::size_t mTarget = 0; ///< Random; taken modulo the number of targets.
  unframed_end mEnd = unframed_end::Whole;
  duration mDuration{};

  bool operator==(const planned_unframed_answers&) const = default;
};

/// An evacuation of a data centre, whose endpoints are cold when it ends.
/// Planned apart, as crashes are.
struct planned_evacuation
{
  duration mAt{};
  std::size_t mDataCentre = 0;
  duration mDuration{};

  bool operator==(const planned_evacuation&) const = default;
};

/// A span in which most new connections go to one gateway, and callers open
/// more of them. Planned apart, as crashes are.
struct planned_surge
{
  duration mAt{};
  std::size_t mTarget = 0; ///< Random; taken modulo the number of targets.
  duration mDuration{};

  bool operator==(const planned_surge&) const = default;
};

std::vector<planned_surge>
PlanSurges(std::uint64_t aSeed, duration aLength);

std::vector<planned_unframed_answers>
PlanUnframedAnswers(std::uint64_t aSeed, duration aLength);

/// One evacuation at a time.
std::vector<planned_evacuation>
PlanEvacuations(std::uint64_t aSeed, duration aLength);

std::vector<planned_notice>
PlanNotices(std::uint64_t aSeed, duration aLength);

std::vector<planned_crash>
PlanCrashes(std::uint64_t aSeed, duration aLength);

std::vector<fault>
PlanFaults(std::uint64_t aSeed, duration aLength);

} // namespace primrose::soak
