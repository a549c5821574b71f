#include "fleet/MemberRegistrar.h"
#include "platform/AnnouncementDecoder.h"
#include "platform/StoreClient.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace mustardwinch;

namespace {

std::string Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

std::string Entry(const std::string& aName, const std::string& aSpec)
{
  return R"({"metadata":{"name":")" + aName + R"(","revision":7},"spec":)" + aSpec + "}";
}

const std::string kGood = R"({"link":"10.0.0.1:7780","failureDomain":"a","service":"s"})";

/** A list of three members, of which the second comes from another writer. */
struct ListWithOddEntry
{
  std::vector<std::string> Members(const std::string& aOddSpec) const
  {
    const std::string body = R"({"at":9,"more":false,"items":[)" + Entry("vm-1", kGood) + "," +
                             Entry("odd", aOddSpec) + "," + Entry("vm-3", kGood) + "]}";
    const StoreReply reply = platform::DecodeStoreReply({ 200, {}, body });
    CHECK(reply.status == StoreStatus::kDone);
    std::vector<std::string> names;
    for (const StoredObject& it : reply.objects) {
      if (MemberOf(it)) {
        names.push_back(it.name);
      }
    }
    return names;
  }

  const std::vector<std::string> sound{ "vm-1", "vm-3" };
};

} // namespace

TEST_CASE_FIXTURE(ListWithOddEntry, "Members, entry nested a hundred thousand deep, others hold")
{
  CHECK(Members(Nested(100'000)) == sound);
  CHECK(Members(R"({"link":)" + Nested(100'000) + "}") == sound);
}

TEST_CASE_FIXTURE(ListWithOddEntry, "Members, entry with a number too large, others hold")
{
  CHECK(Members(R"({"link":1e999,"failureDomain":"a","service":"s"})") == sound);
  CHECK(Members(R"({"link":-1E+400})") == sound);
  CHECK(Members(R"({"link":)" + std::string(5'000, '9') + "}") == sound);
}

TEST_CASE_FIXTURE(ListWithOddEntry, "Members, entry with a port out of range, others hold")
{
  for (const char* it : { "70000", "0", "-1", "99999999999999999999", "" }) {
    CHECK(Members(R"({"link":"10.0.0.1:)" + std::string(it) +
                  R"(","failureDomain":"a","service":"s"})") == sound);
  }
}

TEST_CASE_FIXTURE(ListWithOddEntry, "Members, entry with bytes that are no text, others hold")
{
  CHECK(Members("{\"link\":\"\xff\xfe\"}") == sound);
  CHECK(Members("{\"link\":\"a\x01z\"}") == sound);
  CHECK(Members(R"({"link":"\ud800"})") == sound);
}

TEST_CASE_FIXTURE(ListWithOddEntry, "Members, entry of other types, others hold")
{
  for (const char* it : { "null", "5", "[]", "{}", R"({"link":{}})", R"({"link":[1]})" }) {
    CHECK(Members(it) == sound);
  }
}

TEST_CASE("Store answer, fields of its frame with other types, is unclear and throws nothing")
{
  for (const char* it : { R"({"at":"x","items":[]})",
                          R"({"items":5})",
                          R"({"more":"yes"})",
                          R"({"events":{"a":1}})" }) {
    CHECK_NOTHROW(platform::DecodeStoreReply({ 200, {}, it }));
  }
}

TEST_CASE("DecodeAnnouncement, odd values of another writer, names no upstream")
{
  const auto decode = [](const std::string& aSlots, const std::string& aCold) {
    return platform::DecodeAnnouncement(
      "i-1",
      R"({"address":"10.0.0.9:8080","info":{"service":"s","zone":"a","slots":)" + aSlots +
        R"(},"status":{"state":"ready","seq":4,"warmupLeftMs":)" + aCold + "}}");
  };
  CHECK(decode("7", "0").IsOk());
  for (const char* it : { "-1", "0", "4294967303", "1e999", "7.5", "99999999999999999999999" }) {
    CHECK_FALSE(decode(it, "0").IsOk());
  }
  for (const char* it : { "-1", "1e300", "99999999999999999999", "\"1\"" }) {
    CHECK_FALSE(decode("7", it).IsOk());
  }
  CHECK_FALSE(decode("7", Nested(100'000)).IsOk());
}
