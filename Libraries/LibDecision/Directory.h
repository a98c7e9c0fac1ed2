#pragma once

/// An entry's view of the endpoints: which there are, which are leaving, which
/// did not answer lately. The platform's list lags, so what an agent itself
/// said (a refusal) and what was seen (a failure) go before it.

#include "LibCore/LibCore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace primrose {

enum class vm_kind : std::uint8_t
{
  Engine,  ///< Beside it runs an agent; it serves a model.
  Service, ///< Beside it runs an agent; it is a plain service.
  Entry,   ///< One of our own entries.
};

std::string_view
VmKindName(vm_kind aKind);
std::optional<vm_kind>
ParseVmKind(std::string_view aName);

/// One row of the platform's list of VMs.
struct listed_endpoint
{
  std::string mName;    ///< Unique for a VM's lifetime; a new VM, a new name.
  std::string mAddress; ///< Of the agent beside the endpoint.
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
  unsigned mFailures = 0;   ///< In a row.
  time_point mAvoidUntil{}; ///< Not asked before then.
  std::uint64_t mOrder = 0; ///< Place in the order all entries agree on.

  bool operator==(const endpoint_view&) const = default;
};

struct endpoint_directory
{
  std::map<std::string, endpoint_view> mEndpoints; ///< By name.
  time_point mListReceivedAt{};
  bool mHasList = false;
};

/// What changed by a new list; for the log.
struct directory_change
{
  std::vector<std::string> mAdded;
  std::vector<std::string> mGone;
  std::vector<std::string> mLeaving;

  bool operator==(const directory_change&) const = default;
};

/// Takes a list from the platform. An endpoint that itself said it is leaving
/// stays so, whatever the lagging list says.
directory_change
ApplyList(endpoint_directory& aDirectory,
          const std::vector<listed_endpoint>& aList,
          time_point aNow);

void
MarkLeaving(endpoint_directory& aDirectory, const std::string& aName);
/// The endpoint did not answer or failed: it is left alone for a while that
/// doubles with each failure in a row, with jitter.
void
RecordFailure(endpoint_directory& aDirectory,
              const std::string& aName,
              time_point aNow,
              random_engine& aRandom);
void
RecordSuccess(endpoint_directory& aDirectory, const std::string& aName);

/// The endpoints that may get new work for this model or service, in the order
/// that all entries agree on. If all are being avoided, those are given: a
/// whole fleet that seems down is more likely a fault of our own view.
std::vector<const endpoint_view*>
Usable(const endpoint_directory& aDirectory,
       const std::string& aServes,
       time_point aNow);

/// Entries that are in service, ourselves among them; at least one.
std::size_t
EntryCount(const endpoint_directory& aDirectory);

} // namespace primrose
