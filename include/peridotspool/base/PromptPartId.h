#pragma once

#include "peridotspool/base/StrongId.h"

#include <string>

namespace peridotspool {

struct PromptPartTag;

/**
 * Names one part of a prompt, as the caller does: requests with an equal part
 * name it alike, wherever it stands in their prompts.
 */
using PromptPartId = NumberId<PromptPartTag>;

/** Returns the hexadecimal digits, without leading zeros, as in log lines. */
std::string
ToText(PromptPartId aPart);

} // namespace peridotspool
