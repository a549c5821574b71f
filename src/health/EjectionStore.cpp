#include "health/EjectionStore.h"

#include "health/EjectionSet.h"
#include "platform/PlatformApi.h"

namespace mustardwinch {

EjectionStore MakeEjectionStore(PlatformApi& aPlatform)
{
  EjectionStore store;
  store.read = [&aPlatform](const std::string& aService) {
    return aPlatform.Get(EjectionSet::kKind, aService);
  };
  store.write = [&aPlatform](const PlatformWrite& aWrite) {
    return aPlatform.WriteConfirmed(aWrite);
  };
  return store;
}

} // namespace mustardwinch
