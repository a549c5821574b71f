#pragma once

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace mustardwinch {

/**
 * Idle libcurl handles, each with its open connections. A handle serves one call at a time. Safe to
 * use from several threads.
 */
class CurlPool
{
public:
  /** Gives the handle back to the pool when it goes. The pool must outlive it. */
  using Handle = std::unique_ptr<CURL, std::function<void(CURL*)>>;

  CurlPool() = default;
  ~CurlPool();
  CurlPool(const CurlPool&) = delete;
  CurlPool& operator=(const CurlPool&) = delete;

  /** A handle with default options; null only when memory is out. */
  Handle Take();

private:
  void Return(CURL* aHandle);

  std::mutex mMutex;
  std::vector<CURL*> mIdle;
};

} // namespace mustardwinch
