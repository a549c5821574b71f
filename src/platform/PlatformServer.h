#pragma once

#include "mustardwinch/Address.h"
#include "platform/MemoryPlatform.h"

#include <memory>
#include <mutex>

struct mg_connection;
struct mg_context;

namespace mustardwinch {

/**
 * Serves a MemoryPlatform over HTTP, with switches for its faults: the stand-in for the platform.
 * Requests are answered from creation to destruction, which fails the watches that wait.
 */
class PlatformServer
{
public:
  /** Each waiting watch and each open connection holds a thread. */
  static constexpr int kDefaultThreads = 256;

  /**
   * @param aListen port 0 chooses a free port; see ListenAddress()
   * @return null if the address cannot be listened on
   */
  static std::unique_ptr<PlatformServer> Make(const Address& aListen,
                                              std::shared_ptr<MemoryPlatform> aPlatform,
                                              int aThreads = kDefaultThreads);

  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  Address ListenAddress() const { return mListen; }

  /** Serves another store from now on; the one before is closed. */
  void Replace(std::shared_ptr<MemoryPlatform> aPlatform);

private:
  explicit PlatformServer(std::shared_ptr<MemoryPlatform> aPlatform);

  std::shared_ptr<MemoryPlatform> Platform() const;
  static int HandleRequest(mg_connection* aConnection, void* aServer);

  mutable std::mutex mMutex;
  std::shared_ptr<MemoryPlatform> mPlatform;
  Address mListen;
  mg_context* mContext = nullptr;
};

} // namespace mustardwinch
