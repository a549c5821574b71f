#include "gate/UpstreamChannel.h"

namespace mustardwinch {

std::unique_ptr<UpstreamChannel> UpstreamChannel::Make()
{
  CURL* easy = curl_easy_init();
  CURLM* multi = curl_multi_init();
  if (easy == nullptr || multi == nullptr) {
    curl_easy_cleanup(easy);
    curl_multi_cleanup(multi);
    return nullptr;
  }
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 1L);
  return std::unique_ptr<UpstreamChannel>(new UpstreamChannel(easy, multi));
}

UpstreamChannel::~UpstreamChannel()
{
  curl_easy_cleanup(mEasy);
  curl_multi_cleanup(mMulti);
}

} // namespace mustardwinch
