// Entries of the quarantine table: creation, eviction, memory size and events.
#pragma once

#include "sycamore/Quarantine.h"

namespace sycamore {

std::uint64_t unixMicroseconds(WallTime Time);

/// The entry of a fingerprint, created if absent. Makes room when the table is
/// full by dropping the entry whose last loss is oldest.
QuarantineEntry &findOrCreateEntry(Quarantine &Table,
                                   std::uint64_t Fingerprint);

void eraseEntry(Quarantine &Table, std::uint64_t Fingerprint);

/// Updates Bytes_ after a change of one entry, and drops the oldest other
/// entries until Bytes_ is within MaxBytes_.
void updateSize(Quarantine &Table, std::uint64_t Fingerprint);

void addEvent(Quarantine &Table, QuarantineEventKind Kind,
              std::uint64_t Fingerprint, const std::string &Sample);

/// Counts and reports that an entry became suspect or reached LossLimit_.
/// LossesBefore is its number of losses before the change.
void reportStateChange(Quarantine &Table, std::uint64_t Fingerprint,
                       const QuarantineEntry &Entry,
                       std::uint32_t LossesBefore);

} // namespace sycamore
