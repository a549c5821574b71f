#include "limits/GrantCodec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace mustardwinch;

TEST_CASE("GrantCodec, each message, round-trips")
{
  const GrantKey key{ { 0x7F000001, 23001 }, 1'700'000'000'000'000, 42 };
  const std::vector<GrantEntry> entries{ { 40, 3, 0 }, { 41, 0, GrantEntry::kAll } };
  for (const GrantMessage& it : { GrantMessage(GrantRequest{ key, "verge", 1, 2, 30, entries }),
                                  GrantMessage(GrantSettlement{ key, "verge", 1, entries }),
                                  GrantMessage(LeaseNotice{ 511, 1 }) }) {
    CHECK(DecodeGrantMessage(EncodeGrantMessage(it)) == it);
  }
  const GrantReply reply{
    GrantReply::Kind::kGranted, 7, Milliseconds(2000), Milliseconds(3), true, { 1, 2 }
  };
  CHECK(DecodeGrantReply(EncodeGrantReply(reply)) == reply);
}

TEST_CASE("GrantCodec, truncated, modified and random bytes, decodes to nullopt or a message and "
          "never throws")
{
  const std::string good =
    EncodeGrantMessage(GrantRequest{ { { 1, 2 }, 3, 4 }, "verge", 1, 2, 3, { { 1, 2, 0 } } });
  for (std::size_t i = 0; i < good.size(); ++i) {
    CHECK_FALSE(DecodeGrantMessage(good.substr(0, i)));
  }
  CHECK_FALSE(DecodeGrantMessage(good + "x"));
  const bool held = rc::check([&good](std::string aBytes) {
    (void)DecodeGrantMessage(aBytes);
    (void)DecodeGrantReply(aBytes);
    std::string changed = good;
    changed[*rc::gen::inRange<std::size_t>(0, good.size())] = *rc::gen::arbitrary<char>();
    (void)DecodeGrantMessage(changed);
  });
  CHECK(held);
}

TEST_CASE("GrantCodec, reply with a lifetime out of range, decodes to nullopt")
{
  GrantReply reply;
  reply.lifetime = Milliseconds(-1);
  CHECK_FALSE(DecodeGrantReply(EncodeGrantReply(reply)));
  reply.lifetime = Milliseconds(3'600'001);
  CHECK_FALSE(DecodeGrantReply(EncodeGrantReply(reply)));
}
