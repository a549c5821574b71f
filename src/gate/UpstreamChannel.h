#pragma once

#include <curl/curl.h>

#include <memory>

namespace mustardwinch {

/**
 * A libcurl transfer with its own connection cache, so that it holds at most one connection to its
 * upstream. Used by one thread at a time.
 */
class UpstreamChannel
{
public:
  /** Returns null if libcurl is out of memory. */
  static std::unique_ptr<UpstreamChannel> Make();

  ~UpstreamChannel();
  UpstreamChannel(const UpstreamChannel&) = delete;
  UpstreamChannel& operator=(const UpstreamChannel&) = delete;

  CURL* Easy() const { return mEasy; }
  CURLM* Multi() const { return mMulti; }

private:
  UpstreamChannel(CURL* aEasy, CURLM* aMulti)
    : mEasy(aEasy)
    , mMulti(aMulti)
  {
  }

  CURL* mEasy;
  CURLM* mMulti;
};

} // namespace mustardwinch
