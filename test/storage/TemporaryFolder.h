#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace peridotspool::storage {

/** An empty folder that is removed with the object. */
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "peridotspool-XXXXXX").string();
    mPath = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder()
  {
    std::error_code ignored;
    std::filesystem::remove_all(mPath, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

} // namespace peridotspool::storage
