#include "sidecar/ResourceLimits.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** What the smallest VMs grant; taken where the settings do not tell. */
constexpr ResourceSettings kUsual{ 160, 4'100 };

// Percent of the memory. With 160 MB, one body of 64 MB fits beside small requests.
constexpr std::size_t kSmallPercent = 5;
constexpr std::size_t kLargePercent = 45;

/** Descriptors for files and for links to other nodes. */
constexpr std::size_t kOtherDescriptors = 200;

/** Part of the other descriptors for callers; upstreams, links and listeners share the rest. */
constexpr std::size_t kCallerPercent = 50;

/** The platform and the upstream keep a few connections each. */
constexpr std::size_t kServiceConnections = 24;
constexpr std::size_t kServiceSmallBytes = 512U << 10;
constexpr std::size_t kServiceLargeBytes = 512U << 10;

std::size_t PercentOf(std::size_t aTotal, std::size_t aPercent)
{
  return aTotal * aPercent / 100;
}

std::size_t Known(std::uint32_t aValue, std::uint32_t aUsual)
{
  return aValue != 0 ? aValue : aUsual;
}

} // namespace

std::shared_ptr<MemoryBudget> MakeMemoryBudget(const ResourceSettings& aSettings)
{
  const std::size_t bytes = Known(aSettings.memoryMb, kUsual.memoryMb) << 20;
  return std::make_shared<MemoryBudget>(PercentOf(bytes, kSmallPercent),
                                        PercentOf(bytes, kLargePercent));
}

ListenerLimits CallerLimits(const ResourceSettings& aSettings,
                            std::shared_ptr<MemoryBudget> aMemory)
{
  const std::size_t descriptors = Known(aSettings.descriptors, kUsual.descriptors);
  ListenerLimits limits;
  limits.connections =
    PercentOf(descriptors - std::min(descriptors, kOtherDescriptors), kCallerPercent);
  limits.memory = std::move(aMemory);
  return limits;
}

ListenerLimits ServiceLimits(std::size_t aBodyBytes)
{
  return { kServiceConnections,
           aBodyBytes,
           std::make_shared<MemoryBudget>(kServiceSmallBytes, kServiceLargeBytes) };
}

} // namespace mustardwinch
