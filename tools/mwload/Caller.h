#pragma once

#include "history/CallRecord.h"
#include "mwload/PlannedCall.h"

#include <memory>

namespace mustardwinch::load {

/** Sends one request after the other over kept connections. For one thread. */
class Caller
{
public:
  explicit Caller(std::uint64_t aTimeoutMs);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /** Sends the call and waits for its end. Never sends it twice, never follows a refusal. */
  CallRecord Call(const PlannedCall& aCall);

private:
  struct Handle;
  const std::uint64_t mTimeoutMs;
  std::unique_ptr<Handle> mHandle;
};

} // namespace mustardwinch::load
