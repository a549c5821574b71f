#pragma once

#include "config/ConfigSource.h"
#include "membership/RecordChange.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace mustardwinch {

/**
 * Brings records of the configuration into force: each batch of changes makes one new snapshot. A
 * resource that does not match its schema is left out and logged; the others go into force. Not
 * safe for several threads; ConfigSource hands the snapshots to others.
 */
class ConfigStore
{
public:
  /** Decoded resources beyond which a snapshot is replaced by a fresh one, to bound memory. */
  static constexpr std::size_t kMaxDecoded = 8'192;

  ConfigStore(ConfigSource& aSource, ResourceParser aParser);

  /** @param aRevision highest platform version known */
  void Apply(const std::vector<RecordChange>& aChanges, std::uint64_t aRevision);

  /** Call now and then: frees what requests have had decoded, once it is much. */
  void Trim();

private:
  /** One change on its way into the next snapshot. */
  struct Draft
  {
    ConfigIndex::Edit& edit;
    std::shared_ptr<ConfigBasics> basics; //!< null as long as nothing in it changes
  };

  ConfigBasics& Writable(Draft& aDraft) const;
  void TakeOut(const Record::Ptr& aRecord, Draft& aDraft) const;
  void PutIn(const Record::Ptr& aRecord, Draft& aDraft);
  void Replace(std::uint64_t aRevision, ConfigIndex aIndex);

  ConfigSource& mSource;
  std::shared_ptr<const ResourceParser> mParser;
  std::shared_ptr<const ConfigBasics> mBasics = std::make_shared<const ConfigBasics>();
  std::size_t mLongestPrefix = 0;
};

} // namespace mustardwinch
