// What rates cost: time of an admission from a local grant and of a grant at its owner, memory of
// an owner, and calls of the platform by fleet size.

#include "../tests/limits/RateFleet.h"
#include "limits/GrantCodec.h"
#include "limits/SliceOwner.h"
#include "mustardwinch/Event.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace mustardwinch;

namespace {

std::vector<Organisation> MakeOrganisations(std::size_t aCount)
{
  std::vector<Organisation> organisations;
  for (std::size_t i = 0; i < aCount; ++i) {
    organisations.push_back({ "organisation-" + std::to_string(i), {}, 5, 10 });
  }
  return organisations;
}

/** An owner that holds its lease, at one second after it took it. */
std::unique_ptr<SliceOwner> MakeOwner(std::size_t aOrganisations, TimePoint aNow)
{
  auto owner =
    std::make_unique<SliceOwner>(0, 0, 1, LeaseHolder{ "vm", { 1, 1 }, 1 }, LeaseTerms());
  owner->ApplyConfig(MakeOrganisations(aOrganisations), aNow);
  const LeaseContext alone{ true, [](const LeaseHolder&) { return false; } };
  (void)owner->Next(alone, aNow);
  owner->OnRead(std::optional<StoredLease>(), aNow);
  const LeaseWrite write = std::get<LeaseWrite>(owner->Next(alone, aNow));
  owner->OnWritten(StoredLease{ write.record, 1, write.operation }, aNow);
  return owner;
}

void AdmitFromLocalGrant(benchmark::State& aState)
{
  const Clock clock;
  const Organisation organisation{ "verge", {}, 1e9, 1'000'000'000 };
  RateLimiter limiter(
    clock,
    { { { 1, 1 }, 1, 0 }, 2, 4 },
    [](const GrantRequest& aRequest, const RateLimiter::ReplyFn& aReply) {
      GrantReply reply;
      reply.kind = GrantReply::Kind::kGranted;
      reply.tokens = aRequest.need + aRequest.prefetch + 1'000'000;
      reply.lifetime = Milliseconds(2000);
      aReply(reply);
    },
    [](const GrantSettlement&) {});
  for (auto _ : aState) {
    benchmark::DoNotOptimize(limiter.Admit(organisation, clock.Now() + Seconds(1)));
  }
}
BENCHMARK(AdmitFromLocalGrant);

void GrantAtOwner(benchmark::State& aState)
{
  TimePoint now{ Seconds(1000) };
  const auto owner = MakeOwner(1000, now);
  now += Seconds(2);
  GrantRequest request{ { { 1, 1 }, 1, 0 }, "organisation-500", 0, 1, 0, {} };
  for (auto _ : aState) {
    ++request.key.sequence;
    request.entries = { { request.key.sequence - 1, 0, GrantEntry::kAll } };
    const auto message = DecodeGrantMessage(EncodeGrantMessage(request));
    benchmark::DoNotOptimize(
      EncodeGrantReply(owner->Handle(std::get<GrantRequest>(*message), now)));
  }
}
BENCHMARK(GrantAtOwner);

void MemoryOfOwner(benchmark::State& aState)
{
  const auto count = static_cast<std::size_t>(aState.range(0));
  for (auto _ : aState) {
    const std::size_t before = mallinfo2().uordblks;
    const auto owner = MakeOwner(count, TimePoint(Seconds(1000)));
    const std::size_t after = mallinfo2().uordblks;
    aState.counters["bytes"] = static_cast<double>(after - before);
    aState.counters["bytes_per_organisation"] =
      static_cast<double>(after - before) / static_cast<double>(count);
  }
}
BENCHMARK(MemoryOfOwner)->Arg(1000)->Arg(10'000)->Iterations(1);

/** A settled fleet without demand: renewals only. */
void PlatformCalls(benchmark::State& aState)
{
  InitLogging("bench", "error");
  for (auto _ : aState) {
    RateFleet fleet;
    fleet.options.layout.shards = static_cast<std::uint32_t>(aState.range(1));
    fleet.options.terms.shortTerm = Milliseconds(aState.range(2));
    fleet.options.returnToPreferredAfter = Seconds(5);
    fleet.AddVms(static_cast<unsigned>(aState.range(0)), 9);
    fleet.Run(Seconds(120));
    const std::uint64_t before = fleet.leases.calls;
    fleet.Run(Seconds(60));
    aState.counters["calls_per_s"] = static_cast<double>(fleet.leases.calls - before) / 60;
  }
}
BENCHMARK(PlatformCalls)
  ->Args({ 4, 16, 10'000 })
  ->Args({ 33, 16, 10'000 })
  ->Args({ 33, 128, 10'000 })
  ->Args({ 132, 128, 10'000 })
  ->Args({ 132, 128, 30'000 })
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

/** Placing all slices of 2,200 VMs anew after one VM has left. */
void PlaceAfterLeave(benchmark::State& aState)
{
  std::vector<VmIdentity> members;
  for (unsigned i = 0; i < 2200; ++i) {
    members.push_back({ "vm" + std::to_string(i), "fd" + std::to_string(i % 9), "", { i, 1 }, 1 });
  }
  std::vector<VmIdentity> fewer = members;
  fewer.pop_back();
  SlicePlacement placement({ 512, 2 });
  placement.SetMembers(members);
  for (auto _ : aState) {
    placement.SetMembers(fewer);
    placement.SetMembers(members);
  }
}
BENCHMARK(PlaceAfterLeave)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
