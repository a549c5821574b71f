#include "mwctl/ExitCode.h"

namespace mustardwinch {

ExitCode ExitCodeOf(const Failure& aFailure)
{
  switch (static_cast<ResultCode>(aFailure.code.value())) {
    case ResultCode::kPlatformNotFound:
      return ExitCode::kNotFound;
    case ResultCode::kPlatformConflict:
    case ResultCode::kPlatformUnclear:
      return ExitCode::kConflict;
    case ResultCode::kPlatformUnavailable:
    case ResultCode::kPlatformBadAnswer:
    case ResultCode::kPlatformCompacted:
      return ExitCode::kUnavailable;
    default:
      return ExitCode::kUsage;
  }
}

} // namespace mustardwinch
