#pragma once

/// How long an entry waits for what the platform's store has to tell it. A
/// connection that went silent, or an answer that was lost, gives no error:
/// only an answer that is overdue shows it, or a peer that knows more.

#include "LibCore/LibCore.h"

#include <optional>

namespace primrose {

/// How long the store may hold a question about changes, of an entry with so
/// many peers. With peers each asks less often, since the first one that hears
/// of a change tells the others. That holds only while they ask at different
/// times; a change answers all their questions at one moment. So the first
/// question after a change is held for a drawn part of the time (`aDraw`, 0 to
/// 1), which spreads those that follow it too.
duration
LongPollWait(std::size_t aPeers, std::optional<double> aDraw);

/// Until the store is asked anew for a table of which a peer knows more, after
/// so many such questions that brought nothing newer. A store that is slow must
/// be given longer than the last time, or each question gives up the one
/// before.
duration
CatchUpTimeout(unsigned aAskedInVain);

/// Until an entry with so many peers asks again after so many failures in a
/// row; `aDraw` (0 to 1) spreads entries that failed at one moment. Of many
/// entries each waits longer: the first that reaches the store again tells the
/// others, who then ask a peer at once.
duration
StoreBackoff(unsigned aFailures, std::size_t aPeers, double aDraw);

} // namespace primrose
