#include "gate/UpstreamChannelPool.h"

#include <utility>

namespace mustardwinch {

std::unique_ptr<UpstreamChannel> UpstreamChannelPool::Acquire(const Address& aUpstream)
{
  {
    std::lock_guard lock(mMutex);
    auto& idle = mIdle[aUpstream];
    if (!idle.empty()) {
      std::unique_ptr<UpstreamChannel> channel = std::move(idle.back());
      idle.pop_back();
      return channel;
    }
  }
  return UpstreamChannel::Make();
}

void UpstreamChannelPool::Release(const Address& aUpstream,
                                  std::unique_ptr<UpstreamChannel> aChannel)
{
  std::lock_guard lock(mMutex);
  mIdle[aUpstream].push_back(std::move(aChannel));
}

void UpstreamChannelPool::CloseIdle(const Address& aUpstream)
{
  std::vector<std::unique_ptr<UpstreamChannel>> closed;
  std::lock_guard lock(mMutex);
  closed.swap(mIdle[aUpstream]);
}

} // namespace mustardwinch
