#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/settings/LogSettings.h"
#include "peridotspool/settings/ProcessBounds.h"
#include "settings/CheckedTree.h"
#include "settings/Schema.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotspool::settings {

/** Reads the values of one checked file. */
class FileReader
{
public:
  FileReader(const CheckedTree& aTree, const BranchRule& aSchema)
    : mTree(aTree)
    , mSchema(aSchema)
  {
  }

  template<typename T>
  T Value(const std::string& aPath) const
  {
    return ValueOr<T>(mTree, mSchema, aPath);
  }

  std::string Text(const std::string& aPath) const
  {
    return Value<std::string>(aPath);
  }

  std::uint64_t Count(const std::string& aPath) const
  {
    return static_cast<std::uint64_t>(Value<std::int64_t>(aPath));
  }

  std::optional<Address> AddressAt(const std::string& aPath) const
  {
    const auto found = mTree.mValues.find(aPath);
    return found == mTree.mValues.end()
             ? std::nullopt
             : std::optional(std::get<Address>(found->second.mValue));
  }

private:
  const CheckedTree& mTree;
  const BranchRule& mSchema;
};

/** The branches that all processes' files have, and what they hold. */
BranchRule
LogRule();
BranchRule
BoundsRule();
LogSettings
ReadLog(const FileReader& aFile);
ProcessBounds
ReadBounds(const FileReader& aFile);

} // namespace peridotspool::settings
