#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace peridotspool {

/** Returns a file's whole text; empty if it can't be read. */
inline std::string
TextOf(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace peridotspool
