#pragma once

#include <nlohmann/json.hpp>

#include <fstream>
#include <memory>
#include <mutex>
#include <string>

namespace mustardwinch {

/**
 * Appends records to a history file, one JSON object a line, each written out at once so that a
 * killed process leaves all it saw. Safe for several threads.
 */
class HistoryWriter
{
public:
  /** Opens the file for appending; null if it cannot be opened. An empty name discards records. */
  static std::unique_ptr<HistoryWriter> Make(const std::string& aFile);

  /** Appends a record of one of the types of History. */
  template<typename Record>
  void Append(const Record& aRecord)
  {
    nlohmann::json json = aRecord;
    json["type"] = Record::kType;
    AppendLine(json);
  }

private:
  void AppendLine(const nlohmann::json& aJson);

  HistoryWriter() = default;

  std::mutex mMutex;
  std::ofstream mStream;
};

} // namespace mustardwinch
