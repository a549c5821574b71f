#include "config/ConfigSnapshot.h"

#include "config/ConfigEntries.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <unordered_set>
#include <utility>

namespace mustardwinch {
namespace {

template<typename Map>
const typename Map::mapped_type* FindIn(const Map& aMap, std::string_view aName)
{
  const auto it = aMap.find(aName);
  return it == aMap.end() ? nullptr : &it->second;
}

bool AllowsMethod(const Route& aRoute, std::string_view aMethod)
{
  const auto& methods = aRoute.methods;
  return methods.empty() || std::find(methods.begin(), methods.end(), aMethod) != methods.end();
}

bool HoldsKey(const Organisation& aOrganisation, std::string_view aKeyHash)
{
  const auto& hashes = aOrganisation.keyHashes;
  return std::find(hashes.begin(), hashes.end(), aKeyHash) != hashes.end();
}

/** Name of a resource that the index holds; entries that clash are found in its order. */
std::string EntryNameOf(const Resource& aResource)
{
  if (const auto* route = std::get_if<Route>(&aResource)) {
    return route->name;
  }
  return std::get<Organisation>(aResource).name;
}

} // namespace

ConfigSnapshot::ConfigSnapshot(std::uint64_t aRevision, std::vector<Resource> aResources)
  : mRevision(aRevision)
{
  auto basics = std::make_shared<ConfigBasics>();
  ConfigIndex::Edit edit(mIndex);
  std::uint64_t number = 0;
  for (Resource& it : aResources) {
    ++number;
    if (ConfigBasics::Holds(it)) {
      basics->Put(it);
      continue;
    }
    // Records without content stand for resources that are decoded from the start.
    const Record::Ptr record = Record::Make(EntryNameOf(it), { number, 0 }, false, {});
    ForEachConfigEntry(
      it, [&](ConfigIndex::By aBy, const std::string& aText) { edit.Add(aBy, aText, record); });
    mLongestPrefix = std::max(mLongestPrefix, PrefixLengthOf(it));
    mDecoded.emplace(record.get(), std::make_unique<const Resource>(std::move(it)));
  }
  mIndex = edit.Apply();
  mBasics = std::move(basics);
}

ConfigSnapshot::ConfigSnapshot(std::uint64_t aRevision,
                               ConfigIndex aIndex,
                               std::shared_ptr<const ConfigBasics> aBasics,
                               std::shared_ptr<const ResourceParser> aParser,
                               std::size_t aLongestPrefix)
  : mRevision(aRevision)
  , mIndex(std::move(aIndex))
  , mBasics(std::move(aBasics))
  , mParser(std::move(aParser))
  , mLongestPrefix(aLongestPrefix)
{
}

template<typename T>
const T* ConfigSnapshot::Decoded(const Record::Ptr& aRecord) const
{
  std::lock_guard lock(mMutex);
  auto it = mDecoded.find(aRecord.get());
  if (it == mDecoded.end()) {
    assert(mParser);
    Result<Resource> parsed = ParseConfigRecord(*aRecord, *mParser);
    if (!parsed) {
      return nullptr;
    }
    auto resource = std::make_unique<const Resource>(std::move(parsed.Value()));
    it = mDecoded.emplace(aRecord.get(), std::move(resource)).first;
  }
  return std::get_if<T>(it->second.get());
}

const Route* ConfigSnapshot::FindRouteAt(std::string_view aPrefix, std::string_view aMethod) const
{
  const Route* found = nullptr;
  mIndex.Find(ConfigIndex::By::kPathPrefix, aPrefix, [&](const Record::Ptr& aRecord) {
    const auto* route = Decoded<Route>(aRecord);
    const bool fits =
      route != nullptr && route->pathPrefix == aPrefix && AllowsMethod(*route, aMethod);
    found = fits ? route : nullptr;
    return fits;
  });
  return found;
}

/**
 * A prefix matches whole path segments: "/a" matches "/a" and "/a/b", but not "/ab". So a prefix of
 * the path can match if it is the whole path, ends with '/' or is followed by one.
 */
const Route* ConfigSnapshot::FindRoute(std::string_view aMethod, std::string_view aPath) const
{
  for (std::size_t n = std::min(aPath.size(), mLongestPrefix); n > 0; --n) {
    const bool segment = n == aPath.size() || aPath[n - 1] == '/' || aPath[n] == '/';
    if (!segment) {
      continue;
    }
    if (const Route* route = FindRouteAt(aPath.substr(0, n), aMethod)) {
      return route;
    }
  }
  return nullptr;
}

const Organisation* ConfigSnapshot::FindOrganisationByKeyHash(std::string_view aKeyHash) const
{
  const Organisation* found = nullptr;
  mIndex.Find(ConfigIndex::By::kKeyHash, aKeyHash, [&](const Record::Ptr& aRecord) {
    const auto* organisation = Decoded<Organisation>(aRecord);
    const bool fits = organisation != nullptr && HoldsKey(*organisation, aKeyHash);
    found = fits ? organisation : nullptr;
    return fits;
  });
  return found;
}

const Organisation* ConfigSnapshot::FindOrganisation(std::string_view aName) const
{
  const Organisation* found = nullptr;
  mIndex.Find(ConfigIndex::By::kOrganisation, aName, [&](const Record::Ptr& aRecord) {
    const auto* organisation = Decoded<Organisation>(aRecord);
    const bool fits = organisation != nullptr && organisation->name == aName;
    found = fits ? organisation : nullptr;
    return fits;
  });
  return found;
}

const Service* ConfigSnapshot::FindService(std::string_view aName) const
{
  return FindIn(mBasics->services, aName);
}

std::uint32_t ConfigSnapshot::FloorOf(std::string_view aService) const
{
  const CapacityFloor* it = FindIn(mBasics->floors, aService);
  return it == nullptr ? 0 : it->slots;
}

const FailureDomainState* ConfigSnapshot::FindFailureDomain(std::string_view aName) const
{
  return FindIn(mBasics->failureDomains, aName);
}

bool ConfigSnapshot::IsFailureDomainOut(std::string_view aName) const
{
  const FailureDomainState* it = FindFailureDomain(aName);
  return it != nullptr && it->state == FailureDomainState::State::kOut;
}

bool ConfigSnapshot::IsLeaving(const Address& aUpstream) const
{
  return mBasics->leavingAddresses.contains(aUpstream);
}

std::vector<Resource> ConfigSnapshot::Resources() const
{
  std::vector<Resource> resources;
  const auto addAll = [&](const auto& aMap) {
    for (const auto& [name, value] : aMap) {
      resources.emplace_back(value);
    }
  };
  addAll(mBasics->services);
  addAll(mBasics->floors);
  addAll(mBasics->failureDomains);
  addAll(mBasics->leaving);
  std::unordered_set<const Record*> seen;
  mIndex.ForEach([&](const Record::Ptr& aRecord) {
    if (!seen.insert(aRecord.get()).second) {
      return;
    }
    if (const auto* route = Decoded<Route>(aRecord)) {
      resources.emplace_back(*route);
    } else if (const auto* organisation = Decoded<Organisation>(aRecord)) {
      resources.emplace_back(*organisation);
    }
  });
  return resources;
}

std::size_t ConfigSnapshot::DecodedCount() const
{
  std::lock_guard lock(mMutex);
  return mDecoded.size();
}

} // namespace mustardwinch
