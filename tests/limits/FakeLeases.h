#pragma once

#include "limits/LeaseStore.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace mustardwinch {

/** In-memory lease store with injectable faults of the real platform. */
class FakeLeases
{
public:
  bool unavailable = false;  //!< every call fails with kPlatformUnavailable
  unsigned loseReplies = 0;  //!< number of following writes that take effect but report failure
  bool checksVersion = true; //!< false: writes ignore the version, to show what then breaks
  std::uint64_t calls = 0;
  std::set<LeaseHolder> declaredLost;

  /** @param aReachable whether the caller reaches the platform now */
  LeaseStore StoreFor(std::function<bool()> aReachable)
  {
    LeaseStore store;
    store.read = [this, aReachable](const std::string& aName) { return Read(aName, aReachable()); };
    store.write = [this, aReachable](const std::string& aName, const LeaseWrite& aWrite) {
      return Write(aName, aWrite, aReachable());
    };
    store.agreeLayout = [this, aReachable](const RateLayout& aProposed) -> Result<RateLayout> {
      ++calls;
      if (unavailable || !aReachable()) {
        return ResultCode::kPlatformUnavailable;
      }
      mLayout = mLayout.value_or(aProposed);
      return *mLayout;
    };
    store.isDeclaredLost = [this](const LeaseHolder& aHolder) {
      return declaredLost.contains(aHolder);
    };
    return store;
  }

  const std::map<std::string, StoredLease>& Leases() const { return mLeases; }

private:
  Result<std::optional<StoredLease>> Read(const std::string& aName, bool aReachable)
  {
    ++calls;
    if (unavailable || !aReachable) {
      return ResultCode::kPlatformUnavailable;
    }
    const auto it = mLeases.find(aName);
    return it == mLeases.end() ? std::nullopt : std::optional<StoredLease>(it->second);
  }

  Result<StoredLease> Write(const std::string& aName, const LeaseWrite& aWrite, bool aReachable)
  {
    ++calls;
    if (unavailable || !aReachable) {
      return ResultCode::kPlatformUnavailable;
    }
    const auto it = mLeases.find(aName);
    const std::uint64_t version = it == mLeases.end() ? 0 : it->second.version;
    if (checksVersion && version != aWrite.expectedVersion) {
      return ResultCode::kPlatformConflict;
    }
    // Serializes to text and back, as on the real platform.
    const auto record = LeaseRecord::FromJson(nlohmann::json::parse(aWrite.record.ToJson().dump()));
    const StoredLease stored{ record.value(), ++mVersion, aWrite.operation };
    mLeases[aName] = stored;
    if (loseReplies > 0) {
      --loseReplies;
      return ResultCode::kPlatformUnavailable;
    }
    return stored;
  }

  std::map<std::string, StoredLease> mLeases;
  std::optional<RateLayout> mLayout;
  std::uint64_t mVersion = 0;
};

} // namespace mustardwinch
