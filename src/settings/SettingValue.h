#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/LastReason.h"
#include "peridotspool/base/Time.h"
#include "settings/Schema.h"
#include "settings/SourceNode.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotspool::settings {

/** A value read by its rule: rates are per second, shares from 0 to 1. */
using SettingValue = std::variant<bool,
                                  std::int64_t,
                                  double,
                                  Duration,
                                  std::string,
                                  Address,
                                  std::vector<std::string>>;

/**
 * Reads a value by its rule; empty with what was expected and found. For
 * values with units both the unit and the range are checked.
 */
std::optional<SettingValue>
ReadValue(const ValueRule& aRule, const SourceNode& aNode, LastReason& aReason);

/** Reads a value that our own schema wrote, such as a default. */
SettingValue
ReadSchemaValue(const ValueRule& aRule, const std::string& aText);

/** Returns the value as an operator would write it, on one line. */
std::string
WrittenForm(const SourceNode& aNode);

/** Returns true iff a text may name a branch: a-z, 0-9, '-' and '_'. */
bool
IsName(std::string_view aText);

} // namespace peridotspool::settings
