#pragma once

/// Timing of a gateway's reads from the platform's store: the duration of long
/// polls, the timeout of an overdue answer, and the back-off after failures.
///
/// A connection that stopped delivering, or a lost answer, causes no error. It
/// shows only in an overdue answer, or in a peer with newer data.

#include "LibCore/LibCore.h"

#include <optional>

namespace primrose {

/// How long the store may hold a long poll for changes by a gateway with
/// `aPeers` peers.
///
/// The first gateway that receives a change notifies its peers, so with more
/// peers each may poll less often. That works only while their polls end at
/// different times, but a change answers all of them at one moment. The first
/// poll after a change therefore gets a random part of the time, by `aRandom`
/// (0 to 1), which also spreads the polls that follow it.
duration
LongPollWait(std::size_t aPeers, std::optional<double> aRandom);

/// Timeout after which a pending read of a table is abandoned and sent again,
/// if a peer has newer rows. `aFailedAttempts` such reads brought nothing newer
/// so far. The timeout grows with them: otherwise, with a slow store, each read
/// would abandon the one before.
duration
CatchUpTimeout(unsigned aFailedAttempts);

/// Delay before the next read after `aFailures` failures in a row; `aRandom` (0
/// to 1) spreads gateways that failed at the same moment. With more peers each
/// gateway waits longer: the first that reaches the store again notifies the
/// others, which then ask a peer at once.
duration
StoreBackoff(unsigned aFailures, std::size_t aPeers, double aRandom);

} // namespace primrose
