#pragma once

#include "mustardwinch/Result.h"
#include "platform/PlatformChanges.h"
#include "platform/PlatformCounts.h"
#include "platform/PlatformFaults.h"
#include "platform/PlatformObject.h"
#include "platform/PlatformWrite.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace mustardwinch {

/** JSON forms of the platform's HTTP protocol; docs/PLATFORM-API.md describes them. */
nlohmann::json ToJson(const PlatformObject& aObject);
nlohmann::json ToJson(const PlatformChanges& aChanges);
nlohmann::json ToJson(const PlatformCounts& aCounts);
nlohmann::json ToJson(const PlatformFaults& aFaults);

/** The body of a write request: writer, operation and value. */
nlohmann::json WriteBodyToJson(const PlatformWrite& aWrite);

/** These read what another process sent; kPlatformBadAnswer names the field that is wrong. */
Result<PlatformObject> ObjectFromJson(const nlohmann::json& aJson);
Result<PlatformObject> ObjectFromText(std::string_view aText);
Result<PlatformChanges> ChangesFromText(std::string_view aText);

/** Fields that are absent are zero or false; an unknown field is kPlatformRejected. */
Result<PlatformFaults> FaultsFromText(std::string_view aText);

/** Fills writer, operation and body of aWrite; kPlatformRejected if the text does not hold them. */
Result<PlatformWrite> WriteFromText(std::string_view aText, PlatformWrite aWrite);

} // namespace mustardwinch
