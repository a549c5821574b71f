#include "soak/StandinStore.h"

#include <cstdlib>
#include <utility>
#include <vector>

namespace mustardwinch::soak {
namespace {

using nlohmann::json;

constexpr const char* kPrefix = "/api/objects/";

std::string Parameter(const std::string& aQuery, const std::string& aName)
{
  const std::size_t at = ("&" + aQuery).find("&" + aName + "=");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + aName.size() + 1;
  return aQuery.substr(begin, aQuery.find('&', begin) - begin);
}

} // namespace

StandinStore::StandinStore(boost::asio::io_context& aLoop, Clock& aClock, const Address& aAddress)
  : mLoop(aLoop)
  , mListener(
      aLoop,
      aClock,
      [this](const auto& aSession, const HttpRequest& aRequest) { Handle(aSession, aRequest); })
  , mListening(mListener.Listen(aAddress))
{
}

void StandinStore::Put(const std::string& aKind, const std::string& aName, const json& aSpec)
{
  json object{ { "metadata", { { "name", aName } } }, { "spec", aSpec } };
  const auto found = mContent.kinds[aKind].find(aName);
  if (found != mContent.kinds[aKind].end()) {
    object["metadata"] = found->second["metadata"];
    object["status"] = found->second.value("status", json());
  }
  Add(aKind, std::move(object), false);
}

void StandinStore::Remove(const std::string& aKind, const std::string& aName)
{
  const auto it = mContent.kinds[aKind].find(aName);
  if (it != mContent.kinds[aKind].end()) {
    Add(aKind, json(it->second), true);
  }
}

void StandinStore::Compact()
{
  mContent.history.clear();
  mContent.oldest =
    ++mContent.revision; // of a list from now on, so that a watch from there is taken
}

void StandinStore::TakeCopy()
{
  mCopy = mContent;
}

void StandinStore::RestoreCopy()
{
  mContent = mCopy;
  ++mEpoch;
}

void StandinStore::CutWatches()
{
  for (const auto& it : std::exchange(mWaiting, {})) {
    it->timer->cancel();
    it->session->Detach();
  }
}

json StandinStore::Get(const std::string& aKind, const std::string& aName) const
{
  const auto kind = mContent.kinds.find(aKind);
  if (kind == mContent.kinds.end()) {
    return {};
  }
  const auto found = kind->second.find(aName);
  return found != kind->second.end() ? found->second : json();
}

std::size_t StandinStore::Count(const std::string& aKind) const
{
  const auto it = mContent.kinds.find(aKind);
  return it != mContent.kinds.end() ? it->second.size() : 0;
}

void StandinStore::Add(const std::string& aKind, json aObject, bool aRemoved)
{
  ++mContent.revision;
  const std::string name = aObject["metadata"]["name"];
  if (aRemoved) {
    mContent.kinds[aKind].erase(name);
  } else {
    aObject["metadata"]["revision"] = mContent.revision;
    if (!aObject["metadata"].contains("createRev")) {
      aObject["metadata"]["createRev"] = mContent.revision;
    }
    mContent.kinds[aKind][name] = aObject;
  }
  mContent.history.push_back({ mContent.revision, aKind, std::move(aObject), aRemoved });
  const auto waiting = mWaiting;
  for (const auto& it : waiting) {
    if (AnswerWatch(it->session, it->kind, it->since, false)) {
      it->timer->cancel();
      mWaiting.remove(it);
    }
  }
}

void StandinStore::Handle(const std::shared_ptr<HttpSession>& aSession, const HttpRequest& aRequest)
{
  ++mCalls;
  if (mFault == Fault::kBusy || mFault == Fault::kTooMany) {
    Answer(aSession, mFault == Fault::kBusy ? 503 : 429, json::object());
    return;
  }
  if (mFault == Fault::kSilent) {
    return;
  }
  if (mFault == Fault::kMalformed) {
    aSession->Answer({ 200, {}, "{\"items\": [" });
    return;
  }
  const std::size_t mark = aRequest.target.find('?');
  const std::string path = aRequest.target.substr(0, mark).substr(std::string(kPrefix).size());
  const std::string query = mark == std::string::npos ? "" : aRequest.target.substr(mark + 1);
  const std::string kind = path.substr(0, path.find('/'));
  const std::string name = path.size() > kind.size() ? path.substr(kind.size() + 1) : "";
  if (aRequest.method != "GET") {
    Write(aSession, aRequest, kind, name);
  } else if (const std::string since = Parameter(query, "watch"); !since.empty()) {
    const Milliseconds wait(std::atoi(Parameter(query, "waitMs").c_str()));
    Watch(aSession, kind, std::strtoull(since.c_str(), nullptr, 10), wait);
  } else {
    List(aSession, kind);
  }
}

void StandinStore::Write(const std::shared_ptr<HttpSession>& aSession,
                         const HttpRequest& aRequest,
                         const std::string& aKind,
                         const std::string& aName)
{
  auto& objects = mContent.kinds[aKind];
  if (aRequest.method == "DELETE") {
    const bool found = objects.count(aName) != 0;
    if (found) {
      Add(aKind, objects[aName], true);
    }
    Answer(aSession, found ? 200 : 404, json::object());
    return;
  }
  json object = json::parse(aRequest.body.Text());
  const std::string name = object["metadata"]["name"];
  const auto found = objects.find(name);
  const bool create = aRequest.method == "POST";
  const json revision = object["metadata"].value("revision", json());
  if (!create && found == objects.end()) {
    Answer(aSession, 404, json::object());
    return;
  }
  if (found != objects.end() &&
      (create || (!revision.is_null() && revision != found->second["metadata"]["revision"]))) {
    Answer(aSession, 409, found->second);
    return;
  }
  if (found != objects.end()) {
    json changed = found->second;
    const char* field = aName.ends_with("/status") ? "status" : "spec";
    changed[field] = object.value(field, json());
    object = std::move(changed);
  }
  Add(aKind, std::move(object), false);
  if (mFault != Fault::kLostReply) {
    Answer(aSession, 200, objects[name]);
  }
}

void StandinStore::List(const std::shared_ptr<HttpSession>& aSession, const std::string& aKind)
{
  json items = json::array();
  for (const auto& [name, object] : mContent.kinds[aKind]) {
    items.push_back(object);
  }
  Answer(aSession, 200, { { "items", items }, { "more", false }, { "at", mContent.revision } });
}

void StandinStore::Watch(const std::shared_ptr<HttpSession>& aSession,
                         const std::string& aKind,
                         std::uint64_t aSince,
                         Milliseconds aWait)
{
  const bool dropped = aSince < mContent.oldest && mContent.oldest != 0;
  if (dropped || aSince > mContent.revision) {
    Answer(aSession, 410, json::object());
    return;
  }
  if (AnswerWatch(aSession, aKind, aSince, false)) {
    return;
  }
  auto waiting = std::make_shared<Waiting>(
    Waiting{ aKind, aSince, aSession, std::make_unique<boost::asio::steady_timer>(mLoop, aWait) });
  mWaiting.push_back(waiting);
  waiting->timer->async_wait([this, waiting](const boost::system::error_code& aError) {
    if (!aError) {
      EndWatch(*waiting);
      mWaiting.remove(waiting);
    }
  });
}

/** Answers a watch whose time is over. */
void StandinStore::EndWatch(const Waiting& aWatch)
{
  if (aWatch.since > mContent.revision) {
    Answer(aWatch.session, 410, json::object());
    return;
  }
  AnswerWatch(aWatch.session, aWatch.kind, aWatch.since, true);
}

bool StandinStore::AnswerWatch(const std::shared_ptr<HttpSession>& aSession,
                               const std::string& aKind,
                               std::uint64_t aSince,
                               bool aLast)
{
  json events = json::array();
  for (const Event& it : mContent.history) {
    if (it.kind == aKind && it.revision > aSince) {
      events.push_back({ { "removed", it.removed }, { "object", it.object } });
    }
  }
  if (events.empty() && !aLast) {
    return false;
  }
  Answer(aSession, 200, { { "events", events }, { "at", mContent.revision } });
  return true;
}

void StandinStore::Answer(const std::shared_ptr<HttpSession>& aSession,
                          unsigned aStatus,
                          const json& aBody) const
{
  aSession->Answer(
    { aStatus,
      { { "Content-Type", "application/json" }, { "Store-Era", std::to_string(mEpoch) } },
      aBody.dump() });
}

} // namespace mustardwinch::soak
