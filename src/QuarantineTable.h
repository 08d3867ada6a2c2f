// Entries of the quarantine table: bounds, sizes and events.
#pragma once

#include "sycamore/Quarantine.h"

namespace sycamore {

std::uint64_t unixMicroseconds(WallTime Time);

/// The entry of a fingerprint, created if absent. Makes room when the table is
/// full by dropping the entry whose last loss is oldest.
QuarantineEntry &entryFor(Quarantine &Table, std::uint64_t Fingerprint);

void eraseEntry(Quarantine &Table, std::uint64_t Fingerprint);

/// Brings Bytes_ up to date after a change of one entry, and drops old entries
/// until it is within MaxBytes_. The entry named is kept.
void updateSize(Quarantine &Table, std::uint64_t Fingerprint);

void addEvent(Quarantine &Table, QuarantineEventKind Kind,
              std::uint64_t Fingerprint, const std::string &Sample);

/// Counts and reports that an entry became suspect or reached the limit.
/// Before is its number of losses before the change.
void noteStateChange(Quarantine &Table, std::uint64_t Fingerprint,
                     const QuarantineEntry &Entry, std::uint32_t Before);

} // namespace sycamore
