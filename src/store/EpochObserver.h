#pragma once

#include "store/ObjectStore.h"

#include <cstdint>
#include <functional>

namespace mustardwinch {

/** Called with the epoch of each reply that tells one, before the reply's own handler. */
using EpochFn = std::function<void(std::uint64_t aEpoch)>;

/** The same calls; aOnEpoch hears of the epoch in all replies, those of writes included. */
ObjectStore ObserveEpochs(const ObjectStore& aStore, EpochFn aOnEpoch);

} // namespace mustardwinch
