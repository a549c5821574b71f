#pragma once

#include "health/EjectionSet.h"
#include "health/EjectionStore.h"

#include <mutex>

namespace mustardwinch {

/** In-memory store of one versioned ejection object. */
class FakeEjectionStore
{
public:
  EjectionStore Store()
  {
    return { [this](const std::string&) { return Read(); },
             [this](const PlatformWrite& aWrite) { return Write(aWrite); } };
  }

  EjectionSet Current()
  {
    std::lock_guard lock(mMutex);
    return mObject.version == 0 ? EjectionSet() : *EjectionSet::FromJson(mObject.spec);
  }

  bool unavailable = false;

private:
  Result<PlatformObject> Read()
  {
    std::lock_guard lock(mMutex);
    if (unavailable) {
      return ResultCode::kPlatformUnavailable;
    }
    if (mObject.version == 0) {
      return ResultCode::kPlatformNotFound;
    }
    return mObject;
  }

  Result<PlatformObject> Write(const PlatformWrite& aWrite)
  {
    std::lock_guard lock(mMutex);
    if (unavailable) {
      return ResultCode::kPlatformUnavailable;
    }
    if (aWrite.expectedVersion != mObject.version) {
      return ResultCode::kPlatformConflict;
    }
    mObject.spec = aWrite.body;
    ++mObject.version;
    return mObject;
  }

  std::mutex mMutex;
  PlatformObject mObject;
};

} // namespace mustardwinch
