#pragma once

#include "mustardwinch/Clock.h"

#include <thread>

namespace mustardwinch::soak {

/** Asks again and again until the condition is true. False if it still is not at the limit. */
template<typename Condition>
bool AwaitTrue(Condition aCondition, Milliseconds aLimit)
{
  constexpr Milliseconds kPause{ 20 };
  const auto limit = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= limit) {
      return false;
    }
    std::this_thread::sleep_for(kPause);
  }
  return true;
}

} // namespace mustardwinch::soak
