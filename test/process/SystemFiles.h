#pragma once

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace peridotspool::test {

/**
 * The files of a system in a temporary folder of its own: keys, and the Lefkada
 * example's process settings on ports that are free. Removed with this object.
 */
class SystemFiles
{
public:
  SystemFiles();
  ~SystemFiles();
  SystemFiles(const SystemFiles&) = delete;
  SystemFiles& operator=(const SystemFiles&) = delete;

  const std::filesystem::path& Folder() const { return mFolder; }
  std::string At(const std::string& aName) const
  {
    return (mFolder / aName).string();
  }
  std::string Read(const std::string& aName) const;
  void Write(const std::string& aName, const std::string& aText) const;
  /** Replaces each occurrence of a text in a file; it must be there. */
  void Replace(const std::string& aName,
               const std::string& aOld,
               const std::string& aNew) const;
  /** The listen address of a process, "peer" or "http". */
  std::string Listen(const std::string& aProcess,
                     const std::string& aWhich) const;
  std::string OperatorKey() const { return mOperatorKey; }

private:
  void WriteKeys();
  void CopySettings() const;

  std::filesystem::path mFolder;
  std::string mOperatorKey;
};

/** The text of a file of the Lefkada example. */
std::string
ExampleText(const std::string& aName);

/** A key of the example's large customer. */
inline constexpr const char* kCustomerKey = "demo-lefkada-aspida-boards";

/** Every entry and control replica of the example. */
const std::vector<std::string>&
EntryNames();
const std::vector<std::string>&
ControlNames();

} // namespace peridotspool::test
