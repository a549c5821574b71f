#pragma once

#include "config/Resource.h"
#include "mustardwinch/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardwinch {

/** A resource as an operator's file holds it: kind, name, spec and, if wanted, specVersion. */
struct ResourceDocument
{
  Resource resource;
  std::optional<std::uint64_t> specVersion; //!< replace only this version of the spec
  bool keepsKeys = false; //!< an organisation without the field keyHashes keeps the keys it has

  bool operator==(const ResourceDocument&) const = default;
};

/** The documents of a YAML text, or a line for each problem. */
struct ResourceDocuments
{
  std::vector<ResourceDocument> documents; //!< empty if there are problems
  std::vector<std::string> problems;       //!< "FILE:LINE: ..."
};

/** Reads and checks all documents of a YAML (or JSON) text. @param aFile name for the problems */
ResourceDocuments ParseResourceDocuments(const std::string& aText, const std::string& aFile);

} // namespace mustardwinch
