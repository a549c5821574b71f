#pragma once

#include "gate/HttpHeader.h"

#include <string>
#include <string_view>

namespace mustardwinch {

/**
 * The caller's fields that are passed on: without fields of the connection, without those that the
 * fleet sets itself, and without any field that could hold a key.
 *
 * @param aKey the caller's key, empty if none came; fields that contain it are left out
 */
HttpHeaders ForwardHeaders(const HttpHeaders& aHeaders, std::string_view aKey);

/**
 * Whether a target may be passed on. A target is refused if an upstream could read another path
 * from it than the ingress did: dot segments, empty segments, encoded dots, slashes or backslashes,
 * control characters.
 */
bool IsPlainTarget(std::string_view aTarget);

} // namespace mustardwinch
