#pragma once

#include <string>
#include <utility>

namespace peridotspool {

/**
 * Why a function last returned an empty std::optional.
 *
 * A function that can fail returns std::optional and takes a LastReason&; it
 * writes the reason only when it returns empty, so one object can be handed
 * through several calls and read once.
 */
class LastReason
{
public:
  const std::string& Text() const { return mText; }
  bool IsSet() const { return !mText.empty(); }
  void Set(std::string aText) { mText = std::move(aText); }

private:
  std::string mText;
};

} // namespace peridotspool
