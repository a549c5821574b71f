#include "membership/GossipCodec.h"

namespace mustardwinch {

std::string GossipPacket::Encode() const
{
  return gossip::Encode(kVersion, *this);
}

Result<GossipPacket> GossipPacket::Decode(std::string_view aBytes)
{
  return gossip::Decode<GossipPacket>(kVersion, aBytes);
}

std::string PullRequest::Encode() const
{
  return gossip::Encode(GossipPacket::kVersion, *this);
}

Result<PullRequest> PullRequest::Decode(std::string_view aBytes)
{
  return gossip::Decode<PullRequest>(GossipPacket::kVersion, aBytes);
}

std::string PullAnswer::Encode() const
{
  return gossip::Encode(GossipPacket::kVersion, *this);
}

Result<PullAnswer> PullAnswer::Decode(std::string_view aBytes)
{
  return gossip::Decode<PullAnswer>(GossipPacket::kVersion, aBytes);
}

std::string NodeRecord::Encode() const
{
  return gossip::Encode(GossipPacket::kVersion, *this);
}

Result<NodeRecord> NodeRecord::Decode(std::string_view aBytes)
{
  auto record = gossip::Decode<NodeRecord>(GossipPacket::kVersion, aBytes);
  if (record) {
    for (UpstreamRecord& it : record.Value().upstreams) {
      it.gate = record.Value().identity.link;
      it.failureDomain = record.Value().identity.failureDomain;
    }
  }
  return record;
}

} // namespace mustardwinch
