// Report of load runs: Markdown tables, with plots as SVG files beside it.
#pragma once

#include "LoadStats.h"

namespace sycamore {

struct LoadReport {
  std::string Markdown_;
  std::vector<std::pair<std::string, std::string>> Files_; ///< Name, content.
};

/// Compares the runs with the first one. FileStem begins the names of the
/// plots; without it, there are none.
LoadReport makeLoadReport(const std::vector<LoadResult> &Results,
                          const std::string &FileStem);

} // namespace sycamore
