#include "membership/GossipPacket.h"
#include "membership/NodeRecord.h"
#include "membership/RecordPull.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace mustardwinch;

namespace {

GossipPacket GeneratePacket()
{
  GossipPacket packet;
  packet.kind = static_cast<GossipKind>(*rc::gen::inRange(1, 7));
  packet.sequence = *rc::gen::arbitrary<std::uint64_t>();
  packet.sender.identity.name = *rc::gen::arbitrary<std::string>();
  packet.sender.identity.incarnation = *rc::gen::arbitrary<std::uint64_t>();
  packet.sender.state = static_cast<MemberState>(*rc::gen::inRange(0, 4));
  packet.digest = *rc::gen::arbitrary<std::uint64_t>();
  packet.target = { *rc::gen::arbitrary<std::uint32_t>(), 80 };
  packet.beacons.assign(static_cast<std::size_t>(*rc::gen::inRange(0, 3)), { 1, 2, 3 });
  packet.members.assign(static_cast<std::size_t>(*rc::gen::inRange(0, 3)), packet.sender);
  packet.announcements.push_back({ RecordFamily::kNode, "vm-1", { 5, 6 }, 70 });
  packet.records.push_back({ RecordFamily::kConfig, "route/a", { 7, 0 }, true, {} });
  return packet;
}

} // namespace

TEST_CASE("GossipPacket, any packet, round-trips")
{
  CHECK(rc::check([] {
    const GossipPacket packet = GeneratePacket();
    const auto read = GossipPacket::Decode(packet.Encode());
    RC_ASSERT(read.IsOk());
    RC_ASSERT(read.Value() == packet);
  }));
}

TEST_CASE(
  "GossipPacket, truncated or altered bytes, decode to an error or a packet without a crash")
{
  CHECK(rc::check([] {
    std::string bytes = GeneratePacket().Encode();
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    const auto truncated = bytes.substr(0, position);
    RC_ASSERT(!GossipPacket::Decode(truncated).IsOk());
    bytes[position] = *rc::gen::arbitrary<char>();
    (void)GossipPacket::Decode(bytes);
    (void)PullRequest::Decode(bytes);
    (void)PullAnswer::Decode(bytes);
    (void)NodeRecord::Decode(bytes);
  }));
}

TEST_CASE("GossipPacket, malformed input, gives its specific error")
{
  using namespace std::string_literals;
  const std::string other = "\x92\x07\x90"s; // version 7
  CHECK(GossipPacket::Decode(other).Error().code == ResultCode::kGossipVersion);
  for (const std::string& it : { ""s,
                                 "\xc0"s,
                                 "\x91\x01"s,
                                 "\x92\x01\xc0"s,
                                 "\x92\x01\x91\x63"s,     // unknown kind
                                 "\xdd\xff\xff\xff\xff"s, // array of 2^32 - 1 elements
                                 "\x92\x01\xdb\xff\xff\xff\xff"s }) {
    const auto read = GossipPacket::Decode(it);
    REQUIRE_FALSE(read.IsOk());
    CHECK(read.Error().code == ResultCode::kGossipMalformed);
  }
}

TEST_CASE("GossipPacket, fields added by a newer peer, are ignored")
{
  // A beacon with four fields; this version knows three.
  const std::string packet("\x92\x01\x98\x01\x05\x90\x00\x00\xa0\x90\x91\x94\x01\x02\x03\x04", 16);
  const auto read = GossipPacket::Decode(packet);
  REQUIRE(read.IsOk());
  REQUIRE(read.Value().beacons.size() == 1);
  CHECK(read.Value().beacons.front() == FreshnessBeacon{ 1, 2, 3 });
}
