#include "health/EjectionSet.h"

#include <algorithm>

namespace mustardwinch {
namespace {

std::optional<Ejection> EjectionFromJson(const nlohmann::json& aJson)
{
  const auto upstream = Address::Parse(aJson.at("upstream").get<std::string>());
  if (!upstream) {
    return std::nullopt;
  }
  Ejection ejection;
  ejection.upstream = *upstream;
  ejection.instance = aJson.at("instance").get<std::string>();
  ejection.reason = EjectionReasonFromName(aJson.at("reason").get<std::string>());
  ejection.badness = aJson.value("badness", 0.0);
  ejection.sinceMs = aJson.value("sinceMs", std::uint64_t{ 0 });
  return ejection;
}

} // namespace

std::optional<EjectionSet> EjectionSet::FromJson(const nlohmann::json& aJson)
{
  EjectionSet set;
  try {
    for (const nlohmann::json& it : aJson.at("ejections")) {
      std::optional<Ejection> ejection = EjectionFromJson(it);
      if (!ejection) {
        return std::nullopt;
      }
      set = set.With(std::move(*ejection));
    }
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  return set;
}

nlohmann::json EjectionSet::ToJson() const
{
  nlohmann::json list = nlohmann::json::array();
  for (const Ejection& it : mEjections) {
    list.push_back({ { "upstream", it.upstream.ToString() },
                     { "instance", it.instance },
                     { "reason", std::string(NameOf(it.reason)) },
                     { "badness", it.badness },
                     { "sinceMs", it.sinceMs } });
  }
  return { { "ejections", std::move(list) } };
}

const Ejection* EjectionSet::Find(const Address& aUpstream) const
{
  const auto it =
    std::find_if(mEjections.begin(), mEjections.end(), [&](const Ejection& aEjection) {
      return aEjection.upstream == aUpstream;
    });
  return it == mEjections.end() ? nullptr : &*it;
}

bool EjectionSet::Contains(const Address& aUpstream, const std::string& aInstance) const
{
  const Ejection* it = Find(aUpstream);
  return it != nullptr && it->instance == aInstance;
}

EjectionSet EjectionSet::With(Ejection aEjection) const
{
  EjectionSet set = Without(aEjection.upstream);
  const auto position = std::lower_bound(
    set.mEjections.begin(),
    set.mEjections.end(),
    aEjection.upstream,
    [](const Ejection& aLeft, const Address& aUpstream) { return aLeft.upstream < aUpstream; });
  set.mEjections.insert(position, std::move(aEjection));
  return set;
}

EjectionSet EjectionSet::Without(const Address& aUpstream) const
{
  EjectionSet set = *this;
  std::erase_if(set.mEjections,
                [&](const Ejection& aEjection) { return aEjection.upstream == aUpstream; });
  return set;
}

} // namespace mustardwinch
