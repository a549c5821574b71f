#include "mwctl/Commands.h"

#include "config/ResourceDocument.h"
#include "config/ResourceEdit.h"
#include "config/ResourceSchema.h"
#include "config/TextRule.h"
#include "ingress/ApiKey.h"
#include "mwctl/Output.h"
#include "platform/PlatformLimits.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <tuple>

namespace mustardwinch {
namespace {

using Arguments = std::vector<std::string>;

constexpr Milliseconds kWatchWait{ 20'000 };

ExitCode Usage(const std::string& aText)
{
  std::cerr << "mwctl: " << aText << '\n';
  return ExitCode::kUsage;
}

/** The text of a file, or of standard input for "-"; nothing if it cannot be read. */
std::optional<std::string> ReadFile(const std::string& aPath)
{
  if (aPath == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/** Reads a key without the line end behind it. It is never printed. */
std::optional<std::string> ReadKey(const std::string& aPath)
{
  auto key = ReadFile(aPath);
  if (!key) {
    return std::nullopt;
  }
  key->erase(key->find_last_not_of("\r\n") + 1);
  return key->empty() ? std::nullopt : key;
}

/** Applies an edit and tells what became of it. */
ExitCode Apply(const CommandContext& aContext, const ResourceEdit& aEdit)
{
  if (!IsPlatformName(aEdit.name)) {
    return Usage("'" + aEdit.name + "' is not a name, allowed " + kNameRule.allowed);
  }
  const auto outcome = ApplyEdit(aContext.platform, aEdit, aContext.writer);
  if (!outcome) {
    return PrintFailure(outcome.Error());
  }
  std::cout << aEdit.kind << '/' << aEdit.name
            << (outcome.Value().changed ? " written" : " unchanged") << ", version "
            << outcome.Value().version << '\n';
  return ExitCode::kDone;
}

/** Reads --file; prints every problem and gives nothing if there is one. */
std::optional<std::vector<ResourceDocument>> ReadDocuments(const CommandContext& aContext)
{
  const auto text = ReadFile(aContext.file);
  if (!text) {
    Usage("--file: '" + aContext.file + "' cannot be read");
    return std::nullopt;
  }
  ResourceDocuments read = ParseResourceDocuments(*text, aContext.file);
  for (const std::string& it : read.problems) {
    std::cerr << it << '\n';
  }
  return read.problems.empty() ? std::optional(std::move(read.documents)) : std::nullopt;
}

/** Applies an edit for each document and says how many were done. */
template<typename MakeEdit>
ExitCode ApplyDocuments(const CommandContext& aContext, MakeEdit aMakeEdit)
{
  const auto documents = ReadDocuments(aContext);
  if (!documents) {
    return ExitCode::kUsage;
  }
  std::size_t done = 0;
  ExitCode last = ExitCode::kDone;
  for (const ResourceDocument& it : *documents) {
    const ExitCode code = Apply(aContext, aMakeEdit(it));
    done += code == ExitCode::kDone ? 1 : 0;
    last = code == ExitCode::kDone ? last : code;
  }
  std::cout << done << " of " << documents->size() << " resources are as in " << aContext.file
            << '\n';
  return last != ExitCode::kDone && done > 0 ? ExitCode::kPartly : last;
}

ExitCode RunCreate(const CommandContext& aContext, const Arguments&)
{
  return ApplyDocuments(
    aContext, [](const ResourceDocument& aDocument) { return MakeCreateEdit(aDocument.resource); });
}

ExitCode RunApply(const CommandContext& aContext, const Arguments&)
{
  return ApplyDocuments(aContext, &MakeReplaceEdit);
}

ExitCode RunGet(const CommandContext& aContext, const Arguments& aArguments)
{
  const auto object = aContext.platform.Get(aArguments[0], aArguments[1]);
  if (!object) {
    return PrintFailure(object.Error());
  }
  PrintObject(object.Value(), aContext.json);
  return ExitCode::kDone;
}

std::vector<PlatformObject> WithoutDeleted(std::vector<PlatformObject> aObjects)
{
  std::erase_if(aObjects, [](const PlatformObject& aObject) { return aObject.deleted; });
  return aObjects;
}

ExitCode RunList(const CommandContext& aContext, const Arguments& aArguments)
{
  const auto list = aContext.platform.List({ aArguments[0] });
  if (!list) {
    return PrintFailure(list.Error());
  }
  for (const PlatformObject& it : WithoutDeleted(list.Value().objects)) {
    PrintObject(it, aContext.json);
  }
  return ExitCode::kDone;
}

ExitCode RunWatch(const CommandContext& aContext, const Arguments& aArguments)
{
  using WallClock = std::chrono::steady_clock;
  const bool isBounded = aContext.watchSeconds > 0;
  const auto end = WallClock::now() + std::chrono::duration<double>(aContext.watchSeconds);
  const std::vector<std::string> kinds{ aArguments[0] };
  Result<PlatformChanges> changes = aContext.platform.List(kinds);
  while (changes) {
    for (const PlatformObject& it : changes.Value().objects) {
      PrintObject(it, aContext.json);
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(end - WallClock::now());
    if (isBounded && left <= Milliseconds::zero()) {
      return ExitCode::kDone;
    }
    const Milliseconds wait = isBounded ? std::min(left, kWatchWait) : kWatchWait;
    changes = aContext.platform.Watch(kinds, changes.Value().revision, wait);
    if (!changes && changes.Error().code == ResultCode::kPlatformCompacted) {
      changes = aContext.platform.List(kinds);
    }
  }
  return PrintFailure(changes.Error());
}

ExitCode RunDelete(const CommandContext& aContext, const Arguments& aArguments)
{
  const auto& kinds = ResourceKinds();
  if (std::find(kinds.begin(), kinds.end(), aArguments[0]) == kinds.end()) {
    return Usage("'" + aArguments[0] + "' is no kind of resource");
  }
  return Apply(aContext, MakeDeleteEdit(aArguments[0], aArguments[1]));
}

ExitCode RunForUpstream(const CommandContext& aContext,
                        const Arguments& aArguments,
                        ResourceEdit (*aMakeEdit)(const Address&))
{
  if (aArguments[0] != "upstream") {
    return Usage("found '" + aArguments[0] + "', allowed upstream");
  }
  if (!kAddressRule.accepts(aArguments[1])) {
    return Usage("found '" + aArguments[1] + "', allowed " + kAddressRule.allowed);
  }
  return Apply(aContext, aMakeEdit(*Address::Parse(aArguments[1])));
}

ExitCode RunLeave(const CommandContext& aContext, const Arguments& aArguments)
{
  return RunForUpstream(aContext, aArguments, &MakeLeaveEdit);
}

ExitCode RunReturn(const CommandContext& aContext, const Arguments& aArguments)
{
  return RunForUpstream(aContext, aArguments, &MakeReturnEdit);
}

ExitCode RunForDomain(const CommandContext& aContext,
                      const std::string& aDomain,
                      FailureDomainState::State aState)
{
  if (!kNameRule.accepts(aDomain)) {
    return Usage("found '" + aDomain + "', allowed " + kNameRule.allowed);
  }
  return Apply(aContext, MakeDomainEdit(aDomain, aState));
}

ExitCode RunOut(const CommandContext& aContext, const Arguments& aArguments)
{
  return RunForDomain(aContext, aArguments[0], FailureDomainState::State::kOut);
}

ExitCode RunIn(const CommandContext& aContext, const Arguments& aArguments)
{
  return RunForDomain(aContext, aArguments[0], FailureDomainState::State::kIn);
}

ExitCode RunAddKey(const CommandContext& aContext, const Arguments& aArguments)
{
  const auto key = ReadKey(aContext.file);
  if (!key) {
    return Usage("--file: no key can be read from '" + aContext.file + "'");
  }
  return Apply(aContext, MakeAddKeyEdit(aArguments[0], HashApiKey(*key)));
}

/** The argument is a key hash, or "-" for a key from --file. Keys are kept off the command line. */
ExitCode RunWithdrawKey(const CommandContext& aContext, const Arguments& aArguments)
{
  std::string hash = aArguments[1];
  if (!kKeyHashRule.accepts(hash)) {
    const auto key = hash == "-" ? ReadKey(aContext.file) : std::optional(hash);
    if (!key) {
      return Usage("--file: no key can be read from '" + aContext.file + "'");
    }
    hash = HashApiKey(*key);
  }
  return Apply(aContext, MakeWithdrawKeyEdit(aArguments[0], hash));
}

ExitCode RunStatus(const CommandContext& aContext, const Arguments&)
{
  const auto list = aContext.platform.List(ResourceKinds());
  if (!list) {
    return PrintFailure(list.Error());
  }
  std::vector<PlatformObject> objects = WithoutDeleted(list.Value().objects);
  std::sort(objects.begin(), objects.end(), [](const auto& aLeft, const auto& aRight) {
    return std::tie(aLeft.kind, aLeft.name) < std::tie(aRight.kind, aRight.name);
  });
  PrintStatus(objects, aContext.json);
  return ExitCode::kDone;
}

ExitCode RunHashKey(const CommandContext& aContext, const Arguments&)
{
  const auto key = ReadKey(aContext.file);
  if (!key) {
    return Usage("--file: no key can be read from '" + aContext.file + "'");
  }
  std::cout << HashApiKey(*key) << '\n';
  return ExitCode::kDone;
}

} // namespace

const std::vector<Command>& Commands()
{
  static const std::vector<Command> kCommands{
    { "create", "create --file FILE: create resources that must not exist", 0, &RunCreate },
    { "apply", "apply --file FILE: create or replace resources", 0, &RunApply },
    { "get", "get KIND NAME", 2, &RunGet },
    { "list", "list KIND", 1, &RunList },
    { "watch", "watch KIND: the objects and then their changes", 1, &RunWatch },
    { "delete", "delete KIND NAME", 2, &RunDelete },
    { "leave", "leave upstream ADDRESS: no new work for an upstream", 2, &RunLeave },
    { "return", "return upstream ADDRESS", 2, &RunReturn },
    { "out", "out DOMAIN: no new work for a failure domain", 1, &RunOut },
    { "in", "in DOMAIN", 1, &RunIn },
    { "add-key", "add-key ORGANISATION: hash the key in --file and add it", 1, &RunAddKey },
    { "withdraw-key",
      "withdraw-key ORGANISATION HASH|KEY|-: '-' reads the key from --file",
      2,
      &RunWithdrawKey },
    { "status", "status: what is in force where", 0, &RunStatus },
    { "hash-key", "hash-key: the hash of the key in --file", 0, &RunHashKey },
  };
  return kCommands;
}

} // namespace mustardwinch
