#pragma once

#include "health/Ejection.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace mustardwinch {

/** All ejected upstreams of one service: the spec of the platform's object of kind "ejection". */
class EjectionSet
{
public:
  static constexpr const char* kKind = "ejection";

  /** Parses the output of ToJson(); nullopt on malformed input. */
  static std::optional<EjectionSet> FromJson(const nlohmann::json& aJson);
  nlohmann::json ToJson() const;

  /** Null if the upstream is not in the set. */
  const Ejection* Find(const Address& aUpstream) const;

  /** Whether this instance of the upstream is ejected; false after a restart. */
  bool Contains(const Address& aUpstream, const std::string& aInstance) const;

  /** Copy of the set with the ejection added; replaces an ejection of the same upstream. */
  EjectionSet With(Ejection aEjection) const;
  EjectionSet Without(const Address& aUpstream) const;

  const std::vector<Ejection>& Ejections() const { return mEjections; }

  bool operator==(const EjectionSet&) const = default;

private:
  std::vector<Ejection> mEjections; //!< sorted by address
};

} // namespace mustardwinch
