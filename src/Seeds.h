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

/// Skips entries that do not parse, because seeds are only hints, and adds the
/// reason for each to Problems.
std::vector<wire::ServerRecord> parseSeeds(const KeyValue &Entry,
                                           std::vector<std::string> &Problems);

/// Range of the seeds keys of all data centres.
RangeRequest seedsRange();

/// Records of the bootstrap peers in the settings, for addSeeds().
std::vector<wire::ServerRecord> bootstrapRecords(const Settings &Config);

} // namespace sycamore
