#pragma once

#include <memory>
#include <utility>

namespace mustardwinch {

/**
 * Keeps an object alive for one asynchronous operation. The handler of the operation takes the
 * object out. If the event loop ends before the operation does, the object's DropCallbacks() is
 * called: its callbacks may hold the object itself, which would then never end.
 */
template<typename T>
class OperationHold
{
public:
  explicit OperationHold(std::shared_ptr<T> aObject)
    : mObject(std::move(aObject))
  {
  }

  ~OperationHold()
  {
    if (mObject) {
      mObject->DropCallbacks();
    }
  }

  OperationHold(OperationHold&&) noexcept = default;
  OperationHold(const OperationHold&) = delete;
  OperationHold& operator=(const OperationHold&) = delete;
  OperationHold& operator=(OperationHold&&) = delete;

  /** Called once, by the handler. */
  std::shared_ptr<T> Take() { return std::move(mObject); }

private:
  std::shared_ptr<T> mObject;
};

} // namespace mustardwinch
