#pragma once

#include "mustardwinch/Clock.h"

struct mg_connection;

namespace mustardwinch::standin {

/** What the stand-in keeps of an accepted connection. */
class ClientConnection
{
public:
  explicit ClientConnection(TimePoint aOpenedAt)
    : mOpenedAt(aOpenedAt)
  {
  }

  TimePoint OpenedAt() const { return mOpenedAt; }

  /** Whether the client has closed the connection. Reads nothing from it. */
  bool IsClosedByClient(const mg_connection* aConnection);

private:
  const TimePoint mOpenedAt;
  int mSocket = -1;
};

} // namespace mustardwinch::standin
