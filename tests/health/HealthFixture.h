#pragma once

#include "config/ConfigSnapshot.h"
#include "health/AttemptResult.h"
#include "membership/UpstreamDirectory.h"
#include "mustardwinch/Clock.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardwinch {

/** Paused clock, configuration, and a directory of one service in four failure domains. */
struct HealthFixture
{
  HealthFixture() { clock.Pause(); }

  static Address At(std::uint32_t aIndex)
  {
    return Address{ 0x7F000001, static_cast<std::uint16_t>(24000 + aIndex) };
  }

  static UpstreamRecord Record(std::uint32_t aIndex)
  {
    UpstreamRecord record;
    record.service = "booking";
    record.upstream = At(aIndex);
    record.gate = At(500 + aIndex);
    record.failureDomain = "fd" + std::to_string(aIndex % 4);
    record.instance = "i1";
    record.slots = 7;
    record.state = UpstreamState::kReady;
    return record;
  }

  void AddUpstreams(std::uint32_t aCount)
  {
    for (std::uint32_t i = 0; i < aCount; ++i) {
      Put(Record(i));
    }
  }

  void Put(const UpstreamRecord& aRecord) { directory.ReplaceGate(aRecord.gate, { aRecord }); }

  void Configure(std::vector<Resource> aResources)
  {
    config = std::make_shared<ConfigSnapshot>(++revision, std::move(aResources));
  }

  static AttemptResult Answer(Milliseconds aLatency)
  {
    return AttemptResult{ ResultCode::kOk, 200, aLatency, aLatency, false };
  }

  static AttemptResult Failed(ResultCode aCode)
  {
    return AttemptResult{ aCode, 0, {}, Milliseconds(5), false };
  }

  Clock clock;
  UpstreamDirectory directory;
  std::uint64_t revision = 0;
  std::shared_ptr<const ConfigSnapshot> config = std::make_shared<ConfigSnapshot>();
};

} // namespace mustardwinch
