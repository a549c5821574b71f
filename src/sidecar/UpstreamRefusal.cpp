#include "sidecar/UpstreamRefusal.h"

#include "http/HttpText.h"

#include <algorithm>
#include <array>

namespace mustardwinch {
namespace {

constexpr unsigned kMisdirected = 421;
constexpr unsigned kFirstFailure = 400;

/** The answer of an instance that has the address of the one that was expected: it says that it did
 * not run the request, or names itself and is unsigned. */
bool IsFromAnotherInstance(const RefusalSigns& aSigns)
{
  const bool shown = aSigns.saysNotRun || (aSigns.namesAnother && !aSigns.isSigned);
  return aSigns.status == kMisdirected && shown && !aSigns.namesExpected;
}

} // namespace

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

RefusalVerdict JudgeRefusal(const RefusalSigns& aSigns)
{
  if (!aSigns.LooksLikeRefusal()) {
    return RefusalVerdict::kNoRefusal;
  }
  // Without an id it may be a late copy of the answer to an earlier request.
  const bool isOwn = aSigns.hasOwnId || aSigns.newConnection;
  if (!isOwn || aSigns.status < kFirstFailure) {
    return RefusalVerdict::kMayHaveRun;
  }
  if (IsFromAnotherInstance(aSigns)) {
    return RefusalVerdict::kWrongInstance;
  }
  return aSigns.saysNotRun ? RefusalVerdict::kNotRun : RefusalVerdict::kMayHaveRun;
}

} // namespace mustardwinch
