#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/settings/EffectiveService.h"
#include "peridotspool/settings/SettingsError.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotspool::settings {

/** A value found in the tree, and the branch that it comes from. */
struct FoundValue
{
  /** As written, units included. */
  std::string mValue;
  /** The path where it is written; "(default)" where it is written nowhere. */
  std::string mFrom;

  auto operator<=>(const FoundValue&) const = default;
};

/**
 * The operators' tree of settings, read, checked and resolved; immutable, so
 * any thread may read it.
 *
 * A value of a customer's use of a service is taken from the first of these
 * branches that has it: customers.C.services.S, customers.C, services.S, the
 * root, and last a built-in default.
 */
class SettingsTree
{
public:
  /**
   * Reads the text of a tree. Returns empty and fills aErrors iff the text has
   * a fault; aFile is only named in the errors. Never throws.
   */
  static std::shared_ptr<const SettingsTree> Parse(std::string_view aText,
                                                   const std::string& aFile,
                                                   SettingsErrors& aErrors);

  /** What holds for a customer's use of a service; null if either is unknown.
   */
  const EffectiveService* Effective(const CustomerName& aCustomer,
                                    const ServiceName& aService) const;

  /** What holds for a service with no customer; null if it is unknown. */
  const EffectiveService* Service(const ServiceName& aService) const;

  /** The customer whose API key has this hash (lower-case hexadecimal). */
  std::optional<CustomerName> CustomerOfKeyHash(
    const std::string& aKeyHash) const;

  /** The number of a named priority. */
  std::optional<std::int32_t> Priority(const std::string& aName) const;

  /** The priority names with their numbers. */
  const std::map<std::string, std::int32_t>& Priorities() const;

  const std::vector<ServiceName>& Services() const;
  const std::vector<CustomerName>& Customers() const;

  /**
   * The value that holds at a path such as services.assistant.limits.rate,
   * and where it is inherited from; empty if no such setting is known.
   */
  std::optional<FoundValue> ValueAt(std::string_view aPath) const;

  /** All values that are written, by path, as written. */
  const std::map<std::string, std::string>& Written() const;

  /** The text that was read. */
  const std::string& Text() const;

  struct State;
  explicit SettingsTree(std::unique_ptr<const State> aState);
  ~SettingsTree();

private:
  std::unique_ptr<const State> mState;
};

} // namespace peridotspool::settings
