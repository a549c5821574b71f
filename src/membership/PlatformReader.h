#pragma once

#include "platform/PlatformApi.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mustardwinch {

/** The blocking platform calls that a watcher makes. */
struct PlatformReader
{
  using Kinds = std::vector<std::string>;

  std::function<Result<PlatformChanges>(const Kinds& aKinds)> list;
  std::function<
    Result<PlatformChanges>(const Kinds& aKinds, std::uint64_t aRevision, Milliseconds aWait)>
    watch;

  /** Reads through the object API. */
  static PlatformReader Of(const std::shared_ptr<PlatformApi>& aApi)
  {
    return { [aApi](const Kinds& aKinds) { return aApi->List(aKinds); },
             [aApi](const Kinds& aKinds, std::uint64_t aRevision, Milliseconds aWait) {
               return aApi->Watch(aKinds, aRevision, aWait);
             } };
  }
};

} // namespace mustardwinch
