#include "history/History.h"

#include <algorithm>
#include <fstream>
#include <unordered_map>

namespace mustardwinch {

namespace {

/** Takes the record if it is of type T. */
template<typename T>
bool Take(const nlohmann::json& aJson, std::vector<T>& aRecords)
{
  if (aJson.at("type") != T::kType) {
    return false;
  }
  aRecords.push_back(aJson.get<T>());
  return true;
}

bool TakeAny(const nlohmann::json& aJson, History& aHistory)
{
  return Take(aJson, aHistory.calls) || Take(aJson, aHistory.runs) ||
         Take(aJson, aHistory.changes) || Take(aJson, aHistory.stops) ||
         Take(aJson, aHistory.lives) || Take(aJson, aHistory.ejections) ||
         Take(aJson, aHistory.faults);
}

bool TakeLine(const std::string& aLine, History& aHistory)
{
  try {
    return TakeAny(nlohmann::json::parse(aLine), aHistory);
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

/** A run is written at its begin and at its end: keeps the later one. */
void KeepLastOfEachRun(std::vector<RunRecord>& aRuns)
{
  std::unordered_map<std::string, RunRecord> last;
  for (RunRecord& it : aRuns) {
    const std::string run = it.run;
    last[run] = std::move(it);
  }
  aRuns.clear();
  for (auto& [run, record] : last) {
    aRuns.push_back(std::move(record));
  }
}

template<typename T>
void SortBy(std::vector<T>& aRecords, std::int64_t T::*aTime)
{
  std::stable_sort(aRecords.begin(), aRecords.end(), [aTime](const T& aLeft, const T& aRight) {
    return aLeft.*aTime < aRight.*aTime;
  });
}

Result<bool> ReadFile(const std::string& aFile, History& aHistory)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return { ResultCode::kHistoryUnreadable, aFile };
  }
  int number = 0;
  for (std::string line; std::getline(stream, line);) {
    ++number;
    const bool unfinished = stream.eof();
    if (!TakeLine(line, aHistory) && !unfinished) {
      return { ResultCode::kHistoryInvalid, aFile + ":" + std::to_string(number) };
    }
  }
  return true;
}

} // namespace

Result<History> History::Read(const std::vector<std::string>& aFiles)
{
  History history;
  for (const std::string& it : aFiles) {
    const auto read = ReadFile(it, history);
    if (!read) {
      return read.Error();
    }
  }
  KeepLastOfEachRun(history.runs);
  SortBy(history.calls, &CallRecord::sentUs);
  SortBy(history.runs, &RunRecord::beginUs);
  SortBy(history.changes, &ChangeRecord::acceptedUs);
  SortBy(history.stops, &StopRecord::beginUs);
  SortBy(history.lives, &LifeRecord::atUs);
  SortBy(history.ejections, &EjectionRecord::atUs);
  SortBy(history.faults, &FaultRecord::beginUs);
  return history;
}

} // namespace mustardwinch
