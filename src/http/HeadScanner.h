#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace peridotspool::http {

/** Finds the end of a response's head while its bytes arrive, before a parser
 * keeps any of them. */
class HeadScanner
{
public:
  /**
   * Returns the size of the head once it is complete.
   * @param aBytes all bytes since the head began
   */
  std::optional<std::size_t> FindEnd(std::string_view aBytes);
  /** Returns the lines of the head that are complete. */
  std::size_t Lines() const { return mLines; }

  /** Returns false iff no HTTP/1 response begins with these bytes. */
  static bool CanBeHttp(std::string_view aBytes);
  /**
   * Returns true iff each line after the first one begins with a field's name
   * and a colon. Continuation lines are rejected (RFC 9112, 5.2).
   * @param aHead up to and with the empty line
   */
  static bool HasFieldNames(std::string_view aHead);

private:
  std::size_t mScanned = 0;
  std::size_t mLines = 0;
};

} // namespace peridotspool::http
