#pragma once

#include <atomic>
#include <cstdint>

namespace mustardwinch::standin {

/** Counts that GET /standin shows. */
struct UpstreamCounts
{
  std::atomic<std::uint64_t> runs{ 0 };
  std::atomic<std::uint64_t> completed{ 0 };
  std::atomic<std::uint64_t> cancelled{ 0 };
  std::atomic<std::uint64_t> failed{ 0 };
  std::atomic<std::uint64_t> shed{ 0 };
  std::atomic<std::uint64_t> silenced{ 0 };
  std::atomic<std::uint64_t> keyLeaks{ 0 };
  std::atomic<std::uint64_t> accepted{ 0 }; //!< connections since the start
};

} // namespace mustardwinch::standin
