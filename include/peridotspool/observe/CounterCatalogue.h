#pragma once

#include "peridotspool/request/Tally.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace peridotspool::observe {

/** Names one counter; see CounterList.inc. */
enum class CounterId
{
#define PERIDOTSPOOL_COUNTER(aId, aFamily, aLabels, aType, aMeaning) aId,
#include "peridotspool/observe/CounterList.inc"
#undef PERIDOTSPOOL_COUNTER
};

/** What the metrics page says of one counter. */
struct CounterRow
{
  CounterId mId;
  /** The id as written, such as "kAccepted". */
  std::string_view mName;
  std::string_view mFamily;
  /** Empty, or in the form reason="x". */
  std::string_view mLabels;
  /** "counter" or "gauge". */
  std::string_view mType;
  /** Written at the first row of a family only. */
  std::string_view mMeaning;
};

inline constexpr auto kCounterRows = std::to_array<CounterRow>({
#define PERIDOTSPOOL_COUNTER(aId, aFamily, aLabels, aType, aMeaning)           \
  { CounterId::aId, #aId, aFamily, aLabels, aType, aMeaning },
#include "peridotspool/observe/CounterList.inc"
#undef PERIDOTSPOOL_COUNTER
});

inline constexpr std::size_t kCounterCount = kCounterRows.size();

/** Returns the counter with an id as written, such as "kAccepted". */
std::optional<CounterId>
CounterNamed(std::string_view aName);

/** Returns the counter of what the request path counts. */
CounterId
CounterOf(request::Tally aTally);

} // namespace peridotspool::observe
