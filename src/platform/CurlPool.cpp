#include "platform/CurlPool.h"

#include <cstddef>

namespace mustardwinch {
namespace {

constexpr std::size_t kMaxIdleHandles = 8;

} // namespace

CurlPool::~CurlPool()
{
  for (CURL* it : mIdle) {
    curl_easy_cleanup(it);
  }
}

CurlPool::Handle CurlPool::Take()
{
  CURL* handle = nullptr;
  {
    std::lock_guard lock(mMutex);
    if (!mIdle.empty()) {
      handle = mIdle.back();
      mIdle.pop_back();
    }
  }
  if (handle == nullptr) {
    handle = curl_easy_init();
  }
  return Handle(handle, [this](CURL* aHandle) { Return(aHandle); });
}

void CurlPool::Return(CURL* aHandle)
{
  curl_easy_reset(aHandle);
  std::lock_guard lock(mMutex);
  if (mIdle.size() < kMaxIdleHandles) {
    mIdle.push_back(aHandle);
  } else {
    curl_easy_cleanup(aHandle);
  }
}

} // namespace mustardwinch
