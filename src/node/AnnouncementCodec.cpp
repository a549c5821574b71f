#include "node/AnnouncementCodec.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace mustardwinch {
namespace {

using nlohmann::json;

constexpr std::uint32_t kMaxSlots = 10'000;
constexpr std::uint32_t kMaxConnections = 100'000;
constexpr std::size_t kMaxNameBytes = 128;

Failure Invalid(const std::string& aDetail)
{
  return { ResultCode::kResourceInvalid, "announcement: " + aDetail };
}

std::optional<std::string> ReadName(const json& aObject, const char* aField)
{
  const auto it = aObject.find(aField);
  if (it == aObject.end() || !it->is_string()) {
    return std::nullopt;
  }
  std::string name = it->get<std::string>();
  if (name.empty() || name.size() > kMaxNameBytes) {
    return std::nullopt;
  }
  return name;
}

/** A number from 0 to aMax; 0 if the field is not there, nothing if it is not such a number. */
std::optional<std::uint32_t> ReadCount(const json& aObject, const char* aField, std::uint32_t aMax)
{
  const auto it = aObject.find(aField);
  if (it == aObject.end()) {
    return 0;
  }
  if (!it->is_number_unsigned() || it->get<std::uint64_t>() > aMax) {
    return std::nullopt;
  }
  return it->get<std::uint32_t>();
}

std::optional<UpstreamState> ReadState(const json& aObject)
{
  const std::string text = ReadName(aObject, "state").value_or("");
  if (text == "starting") {
    return UpstreamState::kStarting;
  }
  if (text == "ready") {
    return UpstreamState::kReady;
  }
  // A stopped upstream drains until it falls silent.
  if (text == "draining" || text == "stopped") {
    return UpstreamState::kDraining;
  }
  return std::nullopt;
}

} // namespace

Result<Announcement> ParseAnnouncement(std::string_view aJson)
{
  const json object = json::parse(aJson, nullptr, false);
  if (!object.is_object()) {
    return Invalid("not a JSON object");
  }
  Announcement announcement;
  const auto service = ReadName(object, "service");
  const auto instance = ReadName(object, "instance");
  const auto upstream = Address::Parse(ReadName(object, "upstream").value_or(""));
  const auto state = ReadState(object);
  const auto slots = ReadCount(object, "slots", kMaxSlots);
  const auto connections = ReadCount(object, "connections", kMaxConnections);
  const auto load = object.find("load");
  if (!service) {
    return Invalid("service: a name of 1 to 128 bytes is needed");
  }
  if (!instance) {
    return Invalid("instance: a name of 1 to 128 bytes is needed");
  }
  if (!upstream) {
    return Invalid("upstream: an IPv4 address and port is needed");
  }
  if (!state) {
    return Invalid("state: one of starting, ready, draining, stopped is needed");
  }
  if (!slots || !connections) {
    return Invalid("slots, connections: whole numbers within 10000 and 100000 are allowed");
  }
  if (load != object.end() && !load->is_number()) {
    return Invalid("load: a number is needed");
  }
  announcement.service = *service;
  announcement.instance = *instance;
  announcement.upstream = *upstream;
  announcement.state = *state;
  announcement.slots = *slots;
  announcement.connections = *connections;
  announcement.load = load != object.end() ? load->get<double>() : 0;
  return announcement;
}

} // namespace mustardwinch
