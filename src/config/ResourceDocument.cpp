#include "config/ResourceDocument.h"

#include "config/ResourceSchema.h"
#include "config/SpecReader.h"
#include "config/YamlDocument.h"

#include <set>
#include <utility>

namespace mustardwinch {
namespace {

bool IsAnyText(std::string_view)
{
  return true;
}

constexpr TextRule kAnyTextRule{ "a string", &IsAnyText };

/** Reads one document and appends a problem or the resource. */
class DocumentsReader
{
public:
  explicit DocumentsReader(std::string aFile)
    : mFile(std::move(aFile))
  {
  }

  void Read(const YamlDocument& aDocument)
  {
    std::vector<FieldProblem> problems = aDocument.Problems();
    SpecReader reader(aDocument.Value(), problems);
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    reader.Text("kind", Presence::kRequired, kAnyTextRule, kind);
    reader.Text("name", Presence::kRequired, kAnyTextRule, name);
    reader.Unsigned64("specVersion", Presence::kOptional, version);
    static_cast<void>(reader.Section("spec", Presence::kRequired));
    reader.Finish();
    for (const FieldProblem& it : problems) {
      Report(aDocument.LineOf(it.field), it.ToString());
    }
    if (!problems.empty()) {
      return;
    }
    const Result<Resource> resource = ParseResource(kind, name, aDocument.Value().at("spec"));
    if (!resource) {
      Report(aDocument.LineOf("kind"), resource.Error().detail);
    } else if (!mNames.emplace(kind, name).second) {
      Report(aDocument.LineOf("name"), kind + "/" + name + " stands twice");
    } else {
      const bool isGuarded = aDocument.Value().contains("specVersion");
      const bool keepsKeys =
        kind == "organisation" && !aDocument.Value().at("spec").contains("keyHashes");
      all.documents.push_back(
        { resource.Value(), isGuarded ? std::optional(version) : std::nullopt, keepsKeys });
    }
  }

  void Report(int aLine, const std::string& aText)
  {
    all.problems.push_back(mFile + ":" + std::to_string(aLine) + ": " + aText);
  }

  ResourceDocuments all;

private:
  std::string mFile;
  std::set<std::pair<std::string, std::string>> mNames;
};

} // namespace

ResourceDocuments ParseResourceDocuments(const std::string& aText, const std::string& aFile)
{
  DocumentsReader reader(aFile);
  const auto documents = YamlDocument::ParseAll(aText);
  if (!documents) {
    reader.Report(0, documents.Error().detail);
    return reader.all;
  }
  for (const YamlDocument& it : documents.Value()) {
    reader.Read(it);
  }
  if (documents.Value().empty()) {
    reader.Report(0, "the file holds no document");
  }
  if (!reader.all.problems.empty()) {
    reader.all.documents.clear();
  }
  return reader.all;
}

} // namespace mustardwinch
