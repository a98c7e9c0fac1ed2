#pragma once

/// The settings in force, as the operator accepted them: routes, services,
/// organisations' keys, limits. Immutable; a new version replaces the whole.

#include "LibFleet/EngineTiming.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace primrose {

enum class call_kind : std::uint8_t
{
  Idempotent, ///< May run more than once.
  AtMostOnce, ///< May never run twice.
  Stream,     ///< A series of events.
};

struct weighted_service
{
  std::string mService;
  double mWeight = 1;

  bool operator==(const weighted_service&) const = default;
};

struct route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; ///< Begins and ends with a slash.
  call_kind mKind = call_kind::AtMostOnce;
  duration mTimeout{};      ///< A caller gets its final answer within it.
  duration mObjective{};    ///< An answer within it is in time.
  duration mLongestPause{}; ///< Between two events; 0 if not declared.
  int mPriority = 0;        ///< 0 is the most urgent.
  std::vector<weighted_service> mServices;
  unsigned mMaxAttempts = 1; ///< Endpoints that one request may be sent to.
  bool mAuthExempt = false;  ///< Serves callers that show no key.
  bool mResumable = false;   ///< A stream may go on at another endpoint.

  bool operator==(const route&) const = default;
};

struct service
{
  std::string mName;
  unsigned mMaxConnections = 0; ///< For each endpoint, of all callers; 0: any.
  std::optional<engine_timing> mEngine; ///< Model engines only.

  bool operator==(const service&) const = default;
};

/// What callers may send, and how long they may take.
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
  std::optional<int> mPriority; ///< Comes before the route's.
  std::vector<std::string> mKeys;

  bool operator==(const organisation&) const = default;
};

struct manifest
{
  std::uint64_t mVersion = 0;
  std::vector<route> mRoutes;
  std::vector<service> mServices;
  std::vector<organisation> mOrganisations; ///< None: no keys are asked for.
  caller_limits mLimits;

  bool operator==(const manifest&) const = default;
};

/// A manifest with its look-up tables.
class manifest_index
{
public:
  explicit manifest_index(manifest aManifest);
  manifest_index(const manifest_index&) = delete;
  manifest_index& operator=(const manifest_index&) = delete;

  const manifest& Manifest() const { return mManifest; }
  /// The route of this host with the longest prefix that begins the path.
  const route* FindRoute(std::string_view aHost,
                         std::string_view aTarget) const;
  const service* FindService(std::string_view aName) const;
  const organisation* OwnerOfKey(std::string_view aKey) const;

private:
  manifest mManifest;
  std::unordered_map<std::string, const route*> mRoutes;
  std::unordered_map<std::string, const service*> mServices;
  std::unordered_map<std::string, const organisation*> mKeys;
};

using manifest_pointer = std::shared_ptr<const manifest_index>;

/// True if `aOffered` is to replace `aHeld`: versions only go forward, so that
/// a late or stale answer never brings an old manifest back.
bool
IsNewer(const manifest_pointer& aHeld, const manifest& aOffered);

/// The service that a request goes to, by the route's weights; `aDraw` is
/// uniform in [0, 1).
const std::string&
ChooseService(const route& aRoute, double aDraw);

} // namespace primrose
