#pragma once

#include "mustardwinch/Result.h"
#include "platform/PlatformObject.h"
#include "platform/PlatformWrite.h"

#include <functional>
#include <string>

namespace mustardwinch {

class PlatformApi;

/** Platform operations needed to store ejections. Both calls block. */
struct EjectionStore
{
  /** Reads the ejection object of a service; kPlatformNotFound if there is none. */
  std::function<Result<PlatformObject>(const std::string& aService)> read;

  /** Conditional write; after a lost reply it determines whether the write took effect. */
  std::function<Result<PlatformObject>(const PlatformWrite& aWrite)> write;
};

/** @param aPlatform must outlive the store */
EjectionStore MakeEjectionStore(PlatformApi& aPlatform);

} // namespace mustardwinch
