#include "limits/LeaseRecord.h"

namespace mustardwinch {
namespace {

using nlohmann::json;

json HolderToJson(const LeaseHolder& aHolder)
{
  return { { "name", aHolder.name },
           { "link", aHolder.link.ToString() },
           { "incarnation", aHolder.incarnation } };
}

/** Throws on invalid input, like the other *FromJson functions here; FromJson() catches. */
LeaseHolder HolderFromJson(const json& aJson)
{
  const auto link = Address::Parse(aJson.at("link").get<std::string>());
  return { aJson.at("name").get<std::string>(),
           link.value(),
           aJson.at("incarnation").get<std::uint64_t>() };
}

Milliseconds DurationFromJson(const json& aJson)
{
  const auto ms = aJson.get<std::int64_t>();
  constexpr std::int64_t kMaxMs = 30LL * 24 * 3600 * 1000;
  if (ms < 0 || ms > kMaxMs) {
    throw std::out_of_range("span");
  }
  return Milliseconds(ms);
}

/** Tail share in leases that lack "tailEighths", as written by older versions. */
constexpr std::int64_t kDefaultTailEighths = 4;

unsigned EighthsFromJson(const json& aLease)
{
  const auto eighths = aLease.value("tailEighths", kDefaultTailEighths);
  if (eighths < 1 || eighths > LeaseTerms::kEighths) {
    throw std::out_of_range("eighths");
  }
  return static_cast<unsigned>(eighths);
}

ShareMask ShareFromJson(const json& aJson)
{
  return ShareMask(aJson.get<std::uint16_t>());
}

json TailToJson(const LeaseTail& aTail)
{
  return { { "holder", HolderToJson(aTail.holder) },
           { "share", aTail.share.Bits() },
           { "remainingMs", aTail.remaining.count() } };
}

LeaseTail TailFromJson(const json& aJson)
{
  return { HolderFromJson(aJson.at("holder")),
           ShareFromJson(aJson.at("share")),
           DurationFromJson(aJson.at("remainingMs")) };
}

json LevelToJson(const CarriedLevel& aLevel)
{
  return json::array({ aLevel.organisation, aLevel.level, aLevel.outstanding });
}

CarriedLevel LevelFromJson(const json& aJson)
{
  return { aJson.at(0).get<std::string>(), aJson.at(1).get<double>(), aJson.at(2).get<double>() };
}

LeaseRecord Read(const json& aJson)
{
  LeaseRecord record;
  record.holder = HolderFromJson(aJson.at("holder"));
  record.released = aJson.at("released").get<bool>();
  record.terms = { DurationFromJson(aJson.at("shortTermMs")),
                   DurationFromJson(aJson.at("tailTermMs")),
                   DurationFromJson(aJson.at("grantLifetimeMs")),
                   EighthsFromJson(aJson) };
  record.share = ShareFromJson(aJson.at("share"));
  for (const json& it : aJson.at("tails")) {
    record.tails.push_back(TailFromJson(it));
  }
  for (const json& it : aJson.at("levels")) {
    record.levels.push_back(LevelFromJson(it));
  }
  return record;
}

} // namespace

json LeaseRecord::ToJson() const
{
  json body{ { "holder", HolderToJson(holder) },
             { "released", released },
             { "shortTermMs", terms.shortTerm.count() },
             { "tailTermMs", terms.tailTerm.count() },
             { "grantLifetimeMs", terms.grantLifetime.count() },
             { "tailEighths", terms.tailEighths },
             { "share", share.Bits() },
             { "tails", json::array() },
             { "levels", json::array() } };
  for (const LeaseTail& it : tails) {
    body["tails"].push_back(TailToJson(it));
  }
  for (const CarriedLevel& it : levels) {
    body["levels"].push_back(LevelToJson(it));
  }
  return body;
}

std::optional<LeaseRecord> LeaseRecord::FromJson(const json& aJson)
{
  try {
    return Read(aJson);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardwinch
