#include "sidecar/UpstreamRefusal.h"

#include "http/HttpText.h"

#include <algorithm>
#include <array>

namespace mustardwinch {

bool IsRefusalStatus(unsigned aStatus)
{
  constexpr std::array<unsigned, 4> kStatuses{ 408, 421, 429, 503 };
  return std::find(kStatuses.begin(), kStatuses.end(), aStatus) != kStatuses.end();
}

RefusalSigns ReadRefusalSigns(const HttpAnswer& aAnswer,
                              const HttpNames& aNames,
                              const std::string& aRequestId,
                              const std::string& aInstance,
                              bool aNewConnection)
{
  RefusalSigns signs;
  signs.status = aAnswer.status;
  signs.saysNotRun = FindHeader(aAnswer.headers, aNames.notRun) != nullptr;
  signs.isSigned = FindHeader(aAnswer.headers, aNames.signature) != nullptr;
  const std::string_view id = HeaderValue(aAnswer.headers, aNames.requestId);
  signs.hasOwnId = !id.empty() && id == aRequestId;
  signs.newConnection = aNewConnection;
  const std::string_view named = HeaderValue(aAnswer.headers, aNames.instance);
  signs.namesAnother = !named.empty() && named != aInstance;
  signs.namesExpected = !named.empty() && named == aInstance;
  return signs;
}

} // namespace mustardwinch
