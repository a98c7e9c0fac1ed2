#pragma once

/// Fair shares of the engines between organisations, from the use of each.
///
/// Engines are contended if more than `kContendedShare` of their time or of
/// their slots is in use. The fair level is then max-min fair by weight: if
/// each organisation were limited to its weight times the level, just that part
/// would be in use. It is at least an even split of what is in use, so that
/// equal organisations are never over their shares. Without contention there is
/// no level, and what others leave unused is free. Requests without an
/// organisation (also those of peers of builds that do not announce it) count
/// as those of one, which is never over its share.

#include "LibFleet/OrganisationUsage.h"

#include <optional>

namespace primrose {

/// Engine time for each second and unit of weight that organisations may use,
/// in milliseconds; no value while engines are not contended.
std::optional<double>
FairLevel(const organisation_usage& aUsage, time_point aNow);

/// An organisation's use compared with its share.
struct organisation_share
{
  organisation_key mOrganisation = 0;
  double mUsedMs = 0; ///< Engine time for each second.
  /// Fair share of the same; no value while engines are not contended.
  std::optional<double> mShareMs;
  bool mOver = false; ///< The use exceeds the share by a margin.

  bool operator==(const organisation_share&) const = default;
};

organisation_share
ShareOf(const organisation_usage& aUsage,
        organisation_key aOrganisation,
        time_point aNow);

/// All tracked organisations, heaviest first; at most `aMost`.
std::vector<organisation_share>
HeaviestOrganisations(const organisation_usage& aUsage,
                      std::size_t aMost,
                      time_point aNow);

std::vector<organisation_key>
OrganisationsOverShare(const organisation_usage& aUsage, time_point aNow);

std::size_t
CountOverShare(const organisation_usage& aUsage, time_point aNow);

/// The slots that have to stay free when a request of this organisation is
/// admitted; none if the organisation is within its share.
slot_reserve
ShareReserve(const organisation_usage& aUsage,
             organisation_key aOrganisation,
             time_point aNow);

/// Factor of the price that a divided prompt of this organisation pays for its
/// prefill; 1 if the organisation is within its share.
double
PrefillPriceFactor(const organisation_usage& aUsage,
                   organisation_key aOrganisation,
                   time_point aNow);

/// Time after which an organisation that is over its share is within it again
/// if it places nothing until then; 0 if it is within its share.
duration
TimeUntilWithinShare(const organisation_usage& aUsage,
                     organisation_key aOrganisation,
                     time_point aNow);

} // namespace primrose
