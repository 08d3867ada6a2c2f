// Report of load runs: Markdown tables, with plots as separate SVG files.
#pragma once

#include "LoadStats.h"

namespace sycamore {

struct LoadReport {
  std::string Markdown_;
  std::vector<std::pair<std::string, std::string>> Files_; ///< Name, content.
};

/// Compares the runs with the first one. FileNamePrefix is the prefix of the
/// names of the plot files; when it is empty, there are no plots.
LoadReport makeLoadReport(const std::vector<LoadResult> &Results,
                          const std::string &FileNamePrefix);

} // namespace sycamore
