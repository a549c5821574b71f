#include "history/HistoryWriter.h"

namespace mustardwinch {

std::unique_ptr<HistoryWriter> HistoryWriter::Make(const std::string& aFile)
{
  std::unique_ptr<HistoryWriter> writer(new HistoryWriter());
  if (aFile.empty()) {
    return writer;
  }
  writer->mStream.open(aFile, std::ios::app);
  return writer->mStream.is_open() ? std::move(writer) : nullptr;
}

void HistoryWriter::AppendLine(const nlohmann::json& aJson)
{
  // Caller-supplied text need not be UTF-8.
  const std::string line =
    aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
  std::lock_guard lock(mMutex);
  if (mStream.is_open()) {
    mStream << line << std::flush;
  }
}

} // namespace mustardwinch
