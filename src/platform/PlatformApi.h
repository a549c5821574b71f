#pragma once

#include "mustardwinch/Clock.h"
#include "mustardwinch/Result.h"
#include "platform/HttpPlatform.h"
#include "platform/MemoryPlatform.h"
#include "platform/PlatformChanges.h"
#include "platform/PlatformObject.h"
#include "platform/PlatformWrite.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mustardwinch {

/**
 * The platform's object API, as the rest of the project uses it. Calls block, so they are made from
 * control threads only. Every call counts against the platform's rates, a waiting watch as one.
 */
class PlatformApi
{
public:
  using Backend = std::variant<std::shared_ptr<HttpPlatform>, std::shared_ptr<MemoryPlatform>>;

  explicit PlatformApi(Backend aBackend);

  /** Reads one object. kPlatformNotFound if there is none. */
  Result<PlatformObject> Get(const std::string& aKind, const std::string& aName);

  /** Reads all objects of the kinds, with tombstones of deleted ones that the platform still keeps.
   * The answer may be older than an earlier one: a reader keeps the greater version of each object.
   */
  Result<PlatformChanges> List(const std::vector<std::string>& aKinds);

  /**
   * Writes if the object still has the expected version. A kPlatformUnavailable answer may hide a
   * write that took effect: read the object again and compare `operation` before writing anew;
   * WriteConfirmed() does so.
   */
  Result<PlatformObject> Write(const PlatformWrite& aWrite);

  /**
   * Write(), then after a lost reply reads the object and answers the write's own result if it took
   * effect, or sends it again if it did not. kPlatformConflict: another writer was
   * first. kPlatformUnclear: the object holds another write, and this one may have taken effect
   * before it; read and decide anew. kPlatformUnavailable: still not known.
   */
  Result<PlatformObject> WriteConfirmed(const PlatformWrite& aWrite);

  /**
   * Waits until a change after aRevision to one of the kinds, or until aWait is over, when the
   * answer holds no objects. kPlatformCompacted: list anew.
   */
  Result<PlatformChanges> Watch(const std::vector<std::string>& aKinds,
                                std::uint64_t aRevision,
                                Milliseconds aWait);

  /** Epoch of the platform's newest history that an answer has told. */
  std::uint64_t Epoch() const;

private:
  Backend mBackend;
};

} // namespace mustardwinch
