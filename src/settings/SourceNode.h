#pragma once

#include "peridotspool/settings/SettingsError.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::settings {

/** A place in a text, counted from 1. */
struct SourcePlace
{
  std::size_t mLine = 0;
  std::size_t mColumn = 0;
};

struct SourceEntry;

/** One node of a YAML text, with its place and nothing interpreted. */
struct SourceNode
{
  enum class Kind
  {
    kNull,
    kScalar,
    kList,
    kMap,
  };

  Kind mKind = Kind::kNull;
  SourcePlace mPlace{};
  /** Of a scalar. */
  std::string mText{};
  /** True iff a scalar was written in quotes. */
  bool mQuoted = false;
  /** True iff a map or list was written in braces or brackets. */
  bool mFlow = false;
  std::vector<SourceNode> mItems{};
  std::vector<SourceEntry> mEntries;
};

/** One key of a map with its value. */
struct SourceEntry
{
  std::string mKey;
  SourcePlace mPlace{};
  SourceNode mValue;
};

/** Bytes of one settings text. */
inline constexpr std::size_t kMaxSettingsBytes = 1 << 20;
/** Levels of nesting of one settings text. */
inline constexpr std::size_t kMaxSettingsDepth = 10;

/**
 * Reads one YAML document. Anchors, tags and keys that are not plain names are
 * refused. Returns empty iff the text could not be read to its end; errors that
 * allow reading on, such as a doubled key, are only added to aErrors.
 */
std::optional<SourceNode>
ReadSource(std::string_view aText,
           const std::string& aFile,
           SettingsErrors& aErrors);

/** Adds an error unless aErrors is full. */
void
AddError(SettingsErrors& aErrors,
         const std::string& aFile,
         const SourcePlace& aPlace,
         std::string aMessage);

} // namespace peridotspool::settings
