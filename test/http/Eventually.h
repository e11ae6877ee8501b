#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace peridotspool::test {

/** Polls until the condition holds; false after a generous time. */
inline bool
Eventually(const std::function<bool()>& aCondition,
           std::chrono::seconds aPatience = std::chrono::seconds(10))
{
  const auto end = std::chrono::steady_clock::now() + aPatience;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

} // namespace peridotspool::test
