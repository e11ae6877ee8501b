#pragma once

#include <string>
#include <vector>

namespace peridotspool::runtime {

/** Lines up rows of cells in columns; the first row is the heading. */
std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows);

} // namespace peridotspool::runtime
