#pragma once

#include "mustardwinch/ResultCode.h"

#include <cassert>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace mustardwinch {

/** Why an operation failed: a numbered code and a detail for the reader (field, allowed values). */
struct Failure
{
  std::error_code code;
  std::string detail;

  bool operator==(const Failure&) const = default;
};

/** A value, or the reason why there is none. */
template<typename T>
class Result
{
public:
  Result(T aValue) // NOLINT(google-explicit-constructor)
    : mState(std::move(aValue))
  {
  }

  Result(Failure aFailure) // NOLINT(google-explicit-constructor)
    : mState(std::move(aFailure))
  {
  }

  Result(ResultCode aCode, std::string aDetail = {}) // NOLINT(google-explicit-constructor)
    : mState(Failure{ aCode, std::move(aDetail) })
  {
  }

  bool IsOk() const { return std::holds_alternative<T>(mState); }
  explicit operator bool() const { return IsOk(); }

  const T& Value() const
  {
    assert(IsOk());
    return std::get<T>(mState);
  }

  T& Value()
  {
    assert(IsOk());
    return std::get<T>(mState);
  }

  const Failure& Error() const
  {
    assert(!IsOk());
    return std::get<Failure>(mState);
  }

private:
  std::variant<T, Failure> mState;
};

} // namespace mustardwinch
