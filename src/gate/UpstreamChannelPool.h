#pragma once

#include "gate/UpstreamChannel.h"
#include "mustardwinch/Address.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace mustardwinch {

/** Pool of idle channels to each upstream. Thread safe. */
class UpstreamChannelPool
{
public:
  /** Returns an idle channel to the upstream or a new one; null if libcurl is out of memory. */
  std::unique_ptr<UpstreamChannel> Acquire(const Address& aUpstream);

  /** Puts a channel back after a complete response. Channels of failed calls are closed instead. */
  void Release(const Address& aUpstream, std::unique_ptr<UpstreamChannel> aChannel);

  /** Closes the idle connections to an upstream. */
  void CloseIdle(const Address& aUpstream);

private:
  std::mutex mMutex;
  std::map<Address, std::vector<std::unique_ptr<UpstreamChannel>>> mIdle;
};

} // namespace mustardwinch
