#pragma once

#include "membership/MemberChange.h"
#include "membership/RecordChange.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Event.h"
#include "mustardwinch/UpstreamRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** Messages, changes and log entries that FleetCore produced for its caller. */
struct FleetOutput
{
  struct Datagram
  {
    Address to;
    std::string bytes;
  };

  /** A PeerMessage::kRecordsPull request; its reply goes to FleetCore::OnPullAnswer. */
  struct Pull
  {
    Address to;
    std::string payload;
  };

  struct Gate
  {
    Address address;
    std::vector<UpstreamRecord> upstreams;
  };

  struct Notice
  {
    LogLevel level = LogLevel::kInfo;
    Event event{};
    std::string subject;
  };

  std::vector<Datagram> datagrams;
  std::vector<Pull> pulls;
  std::vector<RecordChange> configChanges; //!< in the order of application
  std::vector<MemberChange> memberChanges;
  std::vector<Gate> gates; //!< gates whose upstreams changed
  std::vector<Notice> notices;
};

} // namespace mustardwinch
