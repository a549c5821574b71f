#pragma once

#include "config/ConfigSnapshot.h"

#include <memory>
#include <mutex>

namespace mustardwinch {

/** Hands the configuration in force to the threads that serve requests. */
class ConfigSource
{
public:
  /** Never null. */
  std::shared_ptr<const ConfigSnapshot> Current() const
  {
    std::lock_guard lock(mMutex);
    return mCurrent;
  }

  void Replace(std::shared_ptr<const ConfigSnapshot> aSnapshot)
  {
    std::lock_guard lock(mMutex);
    mCurrent = std::move(aSnapshot);
  }

private:
  mutable std::mutex mMutex;
  std::shared_ptr<const ConfigSnapshot> mCurrent = std::make_shared<ConfigSnapshot>();
};

} // namespace mustardwinch
