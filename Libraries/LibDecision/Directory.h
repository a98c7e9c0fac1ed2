#pragma once

/// An entry's directory of the endpoints: which exist, which are leaving and
/// which failed recently. The platform's list lags, so a refusal by the agent
/// itself and an observed failure take precedence over it.

#include "LibCore/LibCore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace primrose {

enum class vm_kind : std::uint8_t
{
  Engine,  ///< Runs an agent beside a model's engine.
  Service, ///< Runs an agent beside a plain service.
  Entry,   ///< An entry of this system.
};

std::string_view
VmKindName(vm_kind aKind);
std::optional<vm_kind>
ParseVmKind(std::string_view aName);

/// One row of the platform's list of VMs.
struct listed_endpoint
{
  std::string mName; ///< Unique for a VM's lifetime; a new VM gets a new name.
  std::string mAddress; ///< Address of the agent beside the endpoint.
  std::string mServes;
  std::string mRegion;
  std::string mDataCentre;
  vm_kind mKind = vm_kind::Engine;
  bool mLeaving = false;

  bool operator==(const listed_endpoint&) const = default;
};

struct endpoint_view
{
  listed_endpoint mListed;
  bool mReportedLeaving = false;
  unsigned mFailures = 0; ///< Consecutive failures.
  /// Not probed before this time, unless all endpoints are avoided.
  time_point mAvoidUntil{};
  /// Sort key of the order shared by all entries.
  std::uint64_t mSharedOrder = 0;

  bool operator==(const endpoint_view&) const = default;
};

struct endpoint_directory
{
  std::map<std::string, endpoint_view> mEndpoints; ///< By name.
  time_point mListReceivedAt{};
  bool mHasList = false;
};

/// The changes that a new list brought, for the log.
struct directory_change
{
  std::vector<std::string> mAdded;
  std::vector<std::string> mGone;
  std::vector<std::string> mLeaving;

  bool operator==(const directory_change&) const = default;
};

/// Replaces the directory's contents by a list from the platform. An endpoint
/// that reported that it is leaving stays marked so even if the lagging list
/// does not show it.
directory_change
ApplyList(endpoint_directory& aDirectory,
          const std::vector<listed_endpoint>& aList,
          time_point aNow);

void
MarkLeaving(endpoint_directory& aDirectory, const std::string& aName);
/// Records that the endpoint did not answer or failed. From the second failure
/// in a row it is avoided for a back-off time that doubles with each further
/// failure, with jitter.
void
RecordFailure(endpoint_directory& aDirectory,
              const std::string& aName,
              time_point aNow,
              random_engine& aRandom);
void
RecordSuccess(endpoint_directory& aDirectory, const std::string& aName);

/// The endpoints that may get new requests for this model or service, in the
/// order shared by all entries. If all are avoided, these are returned: when a
/// whole fleet seems down, the fault is more likely on this entry's side.
std::vector<const endpoint_view*>
Usable(const endpoint_directory& aDirectory,
       const std::string& aServes,
       time_point aNow);

/// Number of entries in service, including this one; at least one.
std::size_t
EntryCount(const endpoint_directory& aDirectory);

} // namespace primrose
