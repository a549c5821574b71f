#pragma once

#include "config/Resource.h"

#include <variant>

namespace mustardwinch {

/** The resource is already as wanted. */
struct KeepResource
{
  bool operator==(const KeepResource&) const = default;
};

/** The resource is to be created or replaced. */
struct WriteResource
{
  Resource resource;

  bool operator==(const WriteResource&) const = default;
};

/** The resource is to be deleted. */
struct DeleteResource
{
  bool operator==(const DeleteResource&) const = default;
};

/** What an operator's edit wants of a resource. */
using EditDecision = std::variant<KeepResource, WriteResource, DeleteResource>;

} // namespace mustardwinch
