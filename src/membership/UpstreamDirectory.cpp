#include "membership/UpstreamDirectory.h"

#include <algorithm>

namespace mustardwinch {

UpstreamDirectory::List UpstreamDirectory::Of(const std::string& aService) const
{
  static const List kEmpty = std::make_shared<const std::vector<UpstreamRecord>>();
  std::lock_guard lock(mMutex);
  const auto it = mServices.find(aService);
  return it == mServices.end() ? kEmpty : it->second;
}

std::vector<std::string> UpstreamDirectory::Services() const
{
  std::lock_guard lock(mMutex);
  std::vector<std::string> names;
  for (const auto& [name, list] : mServices) {
    names.push_back(name);
  }
  return names;
}

void UpstreamDirectory::ReplaceGate(const Address& aGate, std::vector<UpstreamRecord> aUpstreams)
{
  std::lock_guard lock(mMutex);
  const auto it = mGates.find(aGate);
  const bool unchanged = it == mGates.end() ? aUpstreams.empty() : it->second == aUpstreams;
  if (unchanged) {
    return;
  }
  if (aUpstreams.empty()) {
    mGates.erase(aGate);
  } else {
    mGates[aGate] = std::move(aUpstreams);
  }
  Rebuild();
}

void UpstreamDirectory::Rebuild()
{
  std::map<std::string, std::vector<UpstreamRecord>> lists;
  for (const auto& [gate, upstreams] : mGates) {
    for (const UpstreamRecord& it : upstreams) {
      lists[it.service].push_back(it);
    }
  }
  mServices.clear();
  for (auto& [name, list] : lists) {
    std::sort(
      list.begin(), list.end(), [](const UpstreamRecord& aLeft, const UpstreamRecord& aRight) {
        return aLeft.upstream < aRight.upstream;
      });
    mServices[name] = std::make_shared<const std::vector<UpstreamRecord>>(std::move(list));
  }
}

} // namespace mustardwinch
