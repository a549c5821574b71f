#include "store/EpochObserver.h"

#include <utility>

namespace mustardwinch {

ObjectStore ObserveEpochs(const ObjectStore& aStore, EpochFn aOnEpoch)
{
  const auto observe = [onEpoch = std::move(aOnEpoch)](ObjectStore::ReplyFn aDone) {
    return [onEpoch, done = std::move(aDone)](StoreReply aReply) {
      if (aReply.epoch) {
        onEpoch(*aReply.epoch);
      }
      done(std::move(aReply));
    };
  };
  ObjectStore store;
  store.list = [call = aStore.list, observe](StoredKind aKind,
                                             const std::string& aAfter,
                                             Freshness aFreshness,
                                             ObjectStore::ReplyFn aDone) {
    call(aKind, aAfter, aFreshness, observe(std::move(aDone)));
  };
  store.watch = [call = aStore.watch, observe](StoredKind aKind,
                                               std::uint64_t aRevision,
                                               Milliseconds aWait,
                                               Freshness aFreshness,
                                               ObjectStore::ReplyFn aDone) {
    call(aKind, aRevision, aWait, aFreshness, observe(std::move(aDone)));
  };
  const auto write = [observe](const auto& aCall) {
    return
      [aCall, observe](StoredKind aKind, const StoredObject& aObject, ObjectStore::ReplyFn aDone) {
        aCall(aKind, aObject, observe(std::move(aDone)));
      };
  };
  store.create = write(aStore.create);
  store.replace = write(aStore.replace);
  store.putStatus = write(aStore.putStatus);
  store.remove = write(aStore.remove);
  return store;
}

} // namespace mustardwinch
