#include "limits/PlatformLeaseStore.h"

#include "platform/PlatformApi.h"

#include <utility>

namespace mustardwinch {
namespace {

constexpr const char* kLeaseKind = "lease";
constexpr const char* kLayoutName = "layout";
constexpr const char* kLostVmKind = "lostvm";

Result<StoredLease> FromObject(const PlatformObject& aObject)
{
  auto record = LeaseRecord::FromJson(aObject.spec);
  if (!record) {
    return { ResultCode::kPlatformBadAnswer, "lease " + aObject.name };
  }
  return StoredLease{ std::move(*record), aObject.version, aObject.operation, aObject.copied };
}

Result<RateLayout> LayoutFromObject(const PlatformObject& aObject)
{
  const nlohmann::json& spec = aObject.spec;
  const RateLayout layout{ spec.value("shards", 0U), spec.value("slices", 0U) };
  if (layout.shards == 0 || layout.slices == 0) {
    return { ResultCode::kPlatformBadAnswer, "lease layout" };
  }
  return layout;
}

/** Implements the calls of LeaseStore. */
class PlatformLeases
{
public:
  PlatformLeases(std::shared_ptr<PlatformApi> aPlatform, std::string aWriter)
    : mPlatform(std::move(aPlatform))
    , mWriter(std::move(aWriter))
  {
  }

  Result<std::optional<StoredLease>> Read(const std::string& aName) const
  {
    const auto object = mPlatform->Get(kLeaseKind, aName);
    if (!object) {
      const bool absent = object.Error().code == make_error_code(ResultCode::kPlatformNotFound);
      return absent ? Result<std::optional<StoredLease>>(std::nullopt) : object.Error();
    }
    const auto lease = FromObject(object.Value());
    return lease ? Result<std::optional<StoredLease>>(lease.Value()) : lease.Error();
  }

  Result<StoredLease> Write(const std::string& aName, const LeaseWrite& aWrite) const
  {
    const auto object =
      WriteSpec(aName, aWrite.expectedVersion, aWrite.record.ToJson(), aWrite.operation);
    if (!object) {
      return object.Error();
    }
    // The platform's response may contain only the version.
    return StoredLease{ aWrite.record, object.Value().version, aWrite.operation };
  }

  Result<RateLayout> AgreeLayout(const RateLayout& aProposed) const
  {
    const auto found = mPlatform->Get(kLeaseKind, kLayoutName);
    if (found) {
      return LayoutFromObject(found.Value());
    }
    if (found.Error().code != make_error_code(ResultCode::kPlatformNotFound)) {
      return found.Error();
    }
    const nlohmann::json body{ { "shards", aProposed.shards }, { "slices", aProposed.slices } };
    const auto made = WriteSpec(kLayoutName, 0, body, mWriter + "/layout");
    return made ? Result<RateLayout>(aProposed) : made.Error();
  }

  bool IsDeclaredLost(const LeaseHolder& aHolder) const
  {
    const auto object = mPlatform->Get(kLostVmKind, aHolder.name);
    if (!object || !object.Value().spec.is_object()) {
      return false;
    }
    return object.Value().spec.value("incarnation", std::uint64_t{ 0 }) >= aHolder.incarnation;
  }

private:
  Result<PlatformObject> WriteSpec(const std::string& aName,
                                   std::uint64_t aVersion,
                                   nlohmann::json aBody,
                                   const std::string& aOperation) const
  {
    PlatformWrite write;
    write.kind = kLeaseKind;
    write.name = aName;
    write.expectedVersion = aVersion;
    write.body = std::move(aBody);
    write.writer = mWriter;
    write.operation = aOperation;
    return mPlatform->WriteConfirmed(write);
  }

  std::shared_ptr<PlatformApi> mPlatform;
  std::string mWriter;
};

} // namespace

LeaseStore MakePlatformLeaseStore(std::shared_ptr<PlatformApi> aPlatform, std::string aWriter)
{
  const auto leases = std::make_shared<const PlatformLeases>(aPlatform, std::move(aWriter));
  LeaseStore store;
  store.read = [leases](const std::string& aName) { return leases->Read(aName); };
  store.write = [leases](const std::string& aName, const LeaseWrite& aWrite) {
    return leases->Write(aName, aWrite);
  };
  store.agreeLayout = [leases](const RateLayout& aProposed) {
    return leases->AgreeLayout(aProposed);
  };
  store.epoch = [platform = std::move(aPlatform)] { return platform->Epoch(); };
  store.isDeclaredLost = [leases](const LeaseHolder& aHolder) {
    return leases->IsDeclaredLost(aHolder);
  };
  return store;
}

} // namespace mustardwinch
