#pragma once

/// The manifest: routes, services, organisations' API keys and limits, as the
/// operator accepted them. A manifest is immutable; a new version replaces it
/// as a whole.

#include "LibFleet/AllowedRegions.h"
#include "LibFleet/EngineTiming.h"
#include "LibFleet/RequestClass.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace primrose {

enum class call_kind : std::uint8_t
{
  Idempotent, ///< May run more than once.
  AtMostOnce, ///< Must never run twice.
  Stream,     ///< Answered by a stream of events.
};

struct weighted_service
{
  std::string mService;
  double mWeight = 1;

  bool operator==(const weighted_service&) const = default;
};

/// How requests to one host and path prefix are handled.
struct route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; ///< Begins and ends with a slash.
  call_kind mKind = call_kind::AtMostOnce;
  duration mTimeout{};      ///< The caller gets a final answer within this.
  duration mObjective{};    ///< Latency target of the answer.
  duration mLongestPause{}; ///< Between two events; 0 if not set.
  int mPriority = 0;        ///< 0 is the most urgent.
  std::vector<weighted_service> mServices;
  unsigned mMaxAttempts = 1; ///< Endpoints that one request may be sent to.
  bool mAuthExempt = false;  ///< Serves callers without an API key.
  bool mResumable = false;   ///< Another endpoint may continue a stream.
  allowed_regions mRegions;

  bool operator==(const route&) const = default;
};

struct service
{
  std::string mName;
  unsigned mMaxConnections = 0; ///< Per endpoint, all callers; 0: no limit.
  /// Requests per second that a cold endpoint bears from all gateways
  /// together; 0: no limit.
  double mColdRequestsPerSecond = 0;
  duration mColdTime{};                 ///< After the start of an endpoint.
  std::optional<engine_timing> mEngine; ///< Model engines only.

  bool operator==(const service&) const = default;
};

/// Limits on callers' requests and connections.
struct caller_limits
{
  std::size_t mHeadBytes = 0;
  std::size_t mBodyBytes = 0;
  duration mHeadTimeout{};
  duration mIdleTimeout{};

  bool operator==(const caller_limits&) const = default;
};

struct organisation
{
  std::string mName;
  std::optional<int> mPriority; ///< Overrides the route's.
  std::vector<std::string> mKeys;
  allowed_regions mRegions;

  bool operator==(const organisation&) const = default;
};

/// A priority of a route or an organisation that is not applied as stated.
struct priority_fault
{
  std::string mOwner; ///< Name of the route or organisation.
  std::string mReason;

  bool operator==(const priority_fault&) const = default;
};

/// Faults that are kept and logged of one manifest. The text of a fault is
/// short, but a manifest may have thousands of routes.
inline constexpr std::size_t kMaxPriorityFaults = 8;

struct manifest
{
  std::uint64_t mVersion = 0;
  std::vector<route> mRoutes;
  std::vector<service> mServices;
  std::vector<organisation> mOrganisations; ///< If empty, no key is needed.
  caller_limits mLimits;
  /// Priorities that could not be read, at most `kMaxPriorityFaults`.
  std::vector<priority_fault> mPriorityFaults;

  bool operator==(const manifest&) const = default;
};

/// The rank that a priority of the manifest stands for: 0 to `kMaxRank`.
unsigned
RankOfPriority(int aPriority);

/// How urgent a request is: first by its organisation's rank, or by its route's
/// if the organisation has none, then by its route's rank. Thus an
/// organisation's rank takes precedence, and routes still differ among
/// organisations of one rank.
struct request_urgency
{
  unsigned mRank = 0;
  unsigned mRouteRank = 0;

  bool operator==(const request_urgency&) const = default;
};

/// True if the first one is more urgent.
bool
operator<(const request_urgency& aOne, const request_urgency& aOther);

/// A manifest with indexes for look-up.
class manifest_index
{
public:
  explicit manifest_index(manifest aManifest);
  manifest_index(const manifest_index&) = delete;
  manifest_index& operator=(const manifest_index&) = delete;

  const manifest& Manifest() const { return mManifest; }
  /// The route of this host with the longest prefix of the path; null if none.
  const route* FindRoute(std::string_view aHost,
                         std::string_view aTarget) const;
  const service* FindService(std::string_view aName) const;
  const organisation* OwnerOfKey(std::string_view aKey) const;
  /// The ranks of requests to the service's stream routes, most urgent first: 0
  /// and up. Empty if there is only one: ranks take no effect for the service.
  const std::vector<unsigned>& RanksOf(std::string_view aService) const;
  /// The rank of a request: the number of `request_urgency` of the service that
  /// are more urgent, at most `kMaxRank`. `aOrganisation` may be null.
  unsigned RankOf(std::string_view aService,
                  const route& aRoute,
                  const organisation* aOrganisation) const;

private:
  void IndexRanks();

  manifest mManifest;
  std::unordered_map<std::string, const route*> mRoutes;
  std::unordered_map<std::string, const service*> mServices;
  std::unordered_map<std::string, const organisation*> mKeys;
  /// By service.
  std::unordered_map<std::string, std::set<request_urgency>> mUrgencies;
  std::unordered_map<std::string, std::vector<unsigned>> mRanks;
};

using manifest_pointer = std::shared_ptr<const manifest_index>;

/// True if `aOffered` has a newer version than `aCurrent`, or there is none
/// yet. Keeps a late or stale answer from restoring an old manifest.
bool
IsNewer(const manifest_pointer& aCurrent, const manifest& aOffered);

/// Chooses the service of a request at random, by the route's weights;
/// `aRandom` is uniform in [0, 1).
const std::string&
ChooseService(const route& aRoute, double aRandom);

} // namespace primrose
