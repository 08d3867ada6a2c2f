// The store's seeds: a few server addresses of each data centre, so that a
// starting daemon finds its peers.
#pragma once

#include "sycamore/PeerMessages.pb.h"
#include "sycamore/Settings.h"
#include "sycamore/Store.h"

#include "sycamore/Ticket.h"

#include <span>

namespace sycamore {

std::string encodeSeeds(std::span<const wire::ServerRecord> Seeds);

/// Entries that cannot be read are left out, because seeds are only hints.
std::vector<wire::ServerRecord> parseSeeds(const KeyValue &Entry);

/// All seeds keys, of every data centre.
RangeRequest seedsRange();

/// The bootstrap peers of the settings in the form of seeds.
std::vector<wire::ServerRecord> bootstrapRecords(const Settings &Config);

} // namespace sycamore
