#pragma once

#include <cstddef>
#include <string>

namespace peridotspool {

/** Empties a text and frees its memory; an assignment would keep the memory. */
inline void
FreeText(std::string& aText)
{
  std::string().swap(aText);
}

/** Gives a text just this capacity, which is not below its size; reserve at
 * least doubles it. */
inline void
SetCapacity(std::string& aText, std::size_t aBytes)
{
  std::string text;
  text.reserve(aBytes);
  text.append(aText);
  text.swap(aText);
}

} // namespace peridotspool
