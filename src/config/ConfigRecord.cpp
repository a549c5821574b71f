#include "config/ConfigRecord.h"

#include "config/SpecCodec.h"

#include <utility>

namespace mustardwinch {

Result<ConfigRecord> ConfigRecord::Read(const Record& aRecord)
{
  const std::string_view key = aRecord.Key();
  const std::size_t slash = key.find('/');
  if (slash == std::string_view::npos) {
    return { ResultCode::kResourceInvalid, "the key has no kind" };
  }
  ConfigRecord object;
  object.kind = key.substr(0, slash);
  object.name = key.substr(slash + 1);
  object.version = aRecord.Version().major;
  object.deleted = aRecord.IsDeleted();
  if (!object.deleted) {
    auto spec = SpecCodec::Decode(aRecord.Content());
    if (!spec) {
      return { ResultCode::kResourceInvalid, "the spec cannot be decoded" };
    }
    object.spec = std::move(*spec);
  }
  return object;
}

Record::Ptr ConfigRecord::Make(const ConfigRecord& aObject)
{
  const std::string content = aObject.deleted ? std::string() : SpecCodec::Encode(aObject.spec);
  const std::string key = aObject.kind + "/" + aObject.name;
  return Record::Make(key, { aObject.version, 0 }, aObject.deleted, content);
}

Result<Resource> ParseConfigRecord(const Record& aRecord, const ResourceParser& aParser)
{
  const Result<ConfigRecord> object = ConfigRecord::Read(aRecord);
  if (!object) {
    return object.Error();
  }
  return aParser(object.Value().kind, object.Value().name, object.Value().spec);
}

} // namespace mustardwinch
