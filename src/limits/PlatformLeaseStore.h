#pragma once

#include "limits/LeaseStore.h"

#include <memory>
#include <string>

namespace mustardwinch {

class PlatformApi;

/**
 * Stores leases as platform objects of kind "lease". The layout is the object "layout" of that
 * kind. An operator declares the process of a VM lost with an object of kind "lostvm" that has the
 * VM's name and the spec {"incarnation": N}: every incarnation up to and including N is lost.
 */
LeaseStore MakePlatformLeaseStore(std::shared_ptr<PlatformApi> aPlatform, std::string aWriter);

} // namespace mustardwinch
