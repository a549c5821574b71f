#pragma once

#include "config/ConfigSnapshot.h"
#include "mustardwinch/Result.h"
#include "platform/PlatformObject.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace mustardwinch {

/** Kinds of platform objects that hold resources of operators. docs/RESOURCES.md describes them. */
const std::vector<std::string>& ResourceKinds();

/**
 * Reads and checks a resource.
 *
 * @return kResourceUnknownKind, or kResourceInvalid with every problem in the detail: kind, name,
 *         field, what was found and what is allowed
 */
Result<Resource> ParseResource(std::string_view aKind,
                               const std::string& aName,
                               const nlohmann::json& aSpec);

/** ParseResource() of an object that is not deleted. */
Result<Resource> ParseResource(const PlatformObject& aObject);

/** The kind of platform object that holds the resource. */
std::string KindOf(const Resource& aResource);

/** The name of that platform object. */
std::string NameOf(const Resource& aResource);

/** The whole spec; ParseResource() reads it back to an equal resource. */
nlohmann::json SpecOf(const Resource& aResource);

} // namespace mustardwinch
