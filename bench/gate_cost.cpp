// Processor time of the decisions on the path of a request: at the gate and at the picker.

#include "gate/GateScheduler.h"
#include "health/UpstreamPicker.h"

#include <benchmark/benchmark.h>

#include <string>

using namespace mustardwinch;

namespace {

constexpr Address kUpstream{ 0x7F000001, 24001 };
constexpr Address kGate{ 0x7F000001, 24002 };

AttemptResult Good()
{
  return { ResultCode::kOk, 200, Milliseconds(20), Milliseconds(20), true };
}

/** One request through a gate before aUpstreams upstreams. */
void SubmitAndFinish(benchmark::State& aState)
{
  Clock clock;
  clock.Pause();
  ConfigSource config;
  GateScheduler gate(clock, config, kGate, "fd0");
  for (std::uint16_t i = 0; i < aState.range(0); ++i) {
    Address upstream = kUpstream;
    upstream.port = static_cast<std::uint16_t>(kUpstream.port + i);
    gate.Announce({ "booking", upstream, "i", UpstreamState::kReady, 7, 400, 0 });
  }
  const std::string organisation = "cooperativa";
  for (auto _ : aState) {
    GateRequest request;
    request.organisation = organisation;
    request.deadline = clock.Now() + Seconds(10);
    request.onDecision = [](ResultCode aCode) { benchmark::DoNotOptimize(aCode); };
    gate.Submit(kUpstream, std::move(request));
    gate.Finish(kUpstream, Good(), organisation);
  }
}
BENCHMARK(SubmitAndFinish)->Arg(1)->Arg(12);

/** One pick and its report among the upstreams of one service. */
void PickAndReport(benchmark::State& aState)
{
  Clock clock;
  UpstreamDirectory directory;
  for (std::uint16_t i = 0; i < aState.range(0); ++i) {
    UpstreamRecord record;
    record.service = "booking";
    record.upstream = { kUpstream.ip, static_cast<std::uint16_t>(1000 + i) };
    record.gate = { kUpstream.ip, static_cast<std::uint16_t>(30'000 + i / 12) };
    record.failureDomain = "fd" + std::to_string(i % 4);
    record.slots = 7;
    record.state = UpstreamState::kReady;
    std::vector<UpstreamRecord> ofGate;
    for (const UpstreamRecord& it : *directory.Of("booking")) {
      if (it.gate == record.gate) {
        ofGate.push_back(it);
      }
    }
    ofGate.push_back(record);
    directory.ReplaceGate(record.gate, ofGate);
  }
  UpstreamPicker picker(clock, directory, "fd0", 1);
  const ConfigSnapshot config;
  for (auto _ : aState) {
    const auto record = picker.Pick("booking", config, {});
    picker.Report(*record, Good());
  }
}
BENCHMARK(PickAndReport)->Arg(8)->Arg(25)->Arg(500);

} // namespace

BENCHMARK_MAIN();
