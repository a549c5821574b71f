#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/Result.h"
#include "platform/CurlPool.h"
#include "platform/HttpPlatformOptions.h"
#include "platform/PlatformChanges.h"
#include "platform/PlatformObject.h"
#include "platform/PlatformWrite.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mustardwinch {

struct HttpAnswer;
struct HttpCall;

/**
 * Client of the platform's object API over HTTP and JSON (docs/PLATFORM-API.md). Every call has a
 * bound in time. The calls keep the contract of PlatformApi. Safe to use from several threads.
 */
class HttpPlatform
{
public:
  /** @param aAddresses equal entrances to one platform; null if there are none */
  static std::shared_ptr<HttpPlatform> Make(std::vector<Address> aAddresses,
                                            HttpPlatformOptions aOptions = {});

  Result<PlatformObject> Get(const std::string& aKind, const std::string& aName);
  Result<PlatformChanges> List(const std::vector<std::string>& aKinds);
  Result<PlatformObject> Write(const PlatformWrite& aWrite);
  Result<PlatformChanges> Watch(const std::vector<std::string>& aKinds,
                                std::uint64_t aRevision,
                                Milliseconds aWait);

  /** Greatest epoch that an answer has told. */
  std::uint64_t Epoch() const { return mEpoch.load(); }

private:
  HttpPlatform(std::vector<Address> aAddresses, HttpPlatformOptions aOptions);

  /** Calls the address that answered last, and the others while none was reached. */
  Result<HttpAnswer> Call(const HttpCall& aCall);

  void NoteEpoch(std::uint64_t aEpoch);

  /** @param aSent whether the request may have reached the address */
  Result<HttpAnswer> CallAddress(const Address& aAddress, const HttpCall& aCall, bool& aSent);

  const std::vector<Address> mAddresses;
  const HttpPlatformOptions mOptions;
  std::atomic<std::size_t> mCurrent{ 0 }; //!< index of the address to call
  std::atomic<std::uint64_t> mEpoch{ 0 };
  CurlPool mPool;
};

} // namespace mustardwinch
