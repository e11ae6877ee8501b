#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/PromptPartId.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspool {

/** What a request asks for, whichever way and however often it is sent. */
struct RequestContent
{
  /** Empty where no key is needed. */
  CustomerName mCustomer;
  std::string_view mMethod;
  std::string_view mHost;
  /** Path and query. */
  std::string_view mTarget;
  std::string_view mBody;
};

/**
 * Names a request's content: the same for each copy of a request, at any entry
 * and at any time. 128 bits, so that no two contents share one by chance; the
 * customer is part of it, so that nobody can have another one's request taken
 * for its own.
 */
struct ContentId
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  auto operator<=>(const ContentId&) const = default;
};
BOOST_DESCRIBE_STRUCT(ContentId, (), (mHigh, mLow))

ContentId
ContentOf(const RequestContent& aContent);

/**
 * Returns the id that stands for a part of prompts where contents are listed;
 * no request's content has it.
 */
ContentId
ContentOf(PromptPartId aPart);

/** Returns the part that an id stands for; empty for a request's content. */
std::optional<PromptPartId>
PartOf(const ContentId& aContent);

/** Returns 32 hexadecimal digits, as in log lines. */
std::string
ToText(const ContentId& aContent);

/** Reads what ToText wrote; empty for anything else. */
std::optional<ContentId>
ReadContentId(std::string_view aText);

} // namespace peridotspool

template<>
struct std::hash<peridotspool::ContentId>
{
  std::size_t operator()(const peridotspool::ContentId& aContent) const noexcept
  {
    return aContent.mLow;
  }
};
