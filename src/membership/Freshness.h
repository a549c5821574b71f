#pragma once

namespace mustardwinch {

/** Whether this node may assume that its configuration is current. */
enum class Freshness : unsigned char
{
  /** The configuration was confirmed against the platform within the bound. */
  kConfirmed,
  /** Most of the fleet is reachable and none of it reaches the platform: keep serving. */
  kPlatformUnreachable,
  /** Neither: new work is refused and reported as not run. */
  kIsolated,
};

/** The name used in logs and status output. */
const char* NameOf(Freshness aFreshness);

} // namespace mustardwinch
