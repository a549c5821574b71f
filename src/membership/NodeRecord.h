#pragma once

#include "mustardwinch/Result.h"
#include "mustardwinch/UpstreamRecord.h"
#include "mustardwinch/VmIdentity.h"

#include <string>
#include <string_view>
#include <vector>

namespace mustardwinch {

/** Content of a node's own record. The upstreams' gate and failure domain are taken from identity.
 */
struct NodeRecord
{
  VmIdentity identity;
  std::vector<UpstreamRecord> upstreams;

  bool operator==(const NodeRecord&) const = default;

  std::string Encode() const;
  static Result<NodeRecord> Decode(std::string_view aBytes);
};

} // namespace mustardwinch
