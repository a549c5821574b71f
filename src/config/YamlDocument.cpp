#include "config/YamlDocument.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace mustardwinch {
namespace {

using nlohmann::json;

constexpr int kMaxDepth = 32;
constexpr std::size_t kMaxTextBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxNodes = 500'000; //!< aliases are counted each time they are used

Failure Malformed(int aLine, const std::string& aText)
{
  return { ResultCode::kYamlMalformed, "line " + std::to_string(aLine) + ": " + aText };
}

template<typename T>
std::optional<T> WholeNumber(std::string_view aText)
{
  T n{};
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, n);
  return ec == std::errc() && rest == end ? std::optional(n) : std::nullopt;
}

/** Whether the text is spelled as a JSON number may begin: without plus sign or leading zeros. */
bool LooksLikeNumber(std::string_view aText)
{
  if (aText.starts_with('-')) {
    aText.remove_prefix(1);
  }
  if (aText.empty() || aText.front() < '0' || aText.front() > '9') {
    return false;
  }
  const bool leadingZero = aText.front() == '0' && aText.size() > 1;
  return !leadingZero || aText[1] == '.' || aText[1] == 'e' || aText[1] == 'E';
}

json ScalarToJson(const YAML::Node& aNode)
{
  const std::string& text = aNode.Scalar();
  const bool isPlain = aNode.Tag() == "?";
  if (!isPlain) {
    return text;
  }
  if (text == "true" || text == "false") {
    return text == "true";
  }
  if (LooksLikeNumber(text)) {
    if (const auto n = WholeNumber<std::uint64_t>(text)) {
      return *n;
    }
    if (const auto n = WholeNumber<std::int64_t>(text)) {
      return *n;
    }
    const auto n = WholeNumber<double>(text);
    if (n && std::isfinite(*n)) {
      return *n;
    }
  }
  return text;
}

std::string JoinPath(const std::string& aPath, const std::string& aName)
{
  std::string path = aPath;
  if (!path.empty()) {
    path += ".";
  }
  path += aName;
  return path;
}

/** Turns one document into JSON. Stops at the first node that cannot be turned. */
class Converter
{
public:
  json Convert(const YAML::Node& aNode, const std::string& aPath, int aDepth)
  {
    const int line = aNode.Mark().line + 1;
    lines.emplace(aPath, line);
    ++mNodes;
    if (aDepth > kMaxDepth || mNodes > kMaxNodes) {
      failure = Malformed(line, "the document is too deep or too large");
    }
    if (failure) {
      return nullptr;
    }
    switch (aNode.Type()) {
      case YAML::NodeType::Scalar:
        return ScalarToJson(aNode);
      case YAML::NodeType::Sequence:
        return ConvertSequence(aNode, aPath, aDepth);
      case YAML::NodeType::Map:
        return ConvertMap(aNode, aPath, aDepth);
      default:
        return nullptr;
    }
  }

  std::map<std::string, int> lines;
  std::vector<FieldProblem> problems;
  std::optional<Failure> failure;

private:
  json ConvertSequence(const YAML::Node& aNode, const std::string& aPath, int aDepth)
  {
    json list = json::array();
    for (const YAML::Node& it : aNode) {
      const std::string path = aPath + "[" + std::to_string(list.size()) + "]";
      list.push_back(Convert(it, path, aDepth + 1));
    }
    return list;
  }

  json ConvertMap(const YAML::Node& aNode, const std::string& aPath, int aDepth)
  {
    json object = json::object();
    for (const auto& it : aNode) {
      if (!it.first.IsScalar()) {
        failure = Malformed(it.first.Mark().line + 1, "a key must be a scalar");
        return nullptr;
      }
      const std::string& name = it.first.Scalar();
      const std::string path = JoinPath(aPath, name);
      if (object.contains(name)) {
        problems.push_back({ path, "a key that stands twice", "each key once" });
      }
      object[name] = Convert(it.second, path, aDepth + 1);
      lines[path] = it.first.Mark().line + 1;
    }
    return object;
  }

  std::size_t mNodes = 0;
};

Result<YamlDocument> ConvertDocument(const YAML::Node& aNode)
{
  Converter converter;
  json value = converter.Convert(aNode, "", 0);
  if (converter.failure) {
    return *converter.failure;
  }
  return YamlDocument(std::move(value), std::move(converter.lines), std::move(converter.problems));
}

Result<std::vector<YamlDocument>> ConvertAll(const std::vector<YAML::Node>& aNodes)
{
  std::vector<YamlDocument> documents;
  for (const YAML::Node& it : aNodes) {
    Result<YamlDocument> document = ConvertDocument(it);
    if (!document) {
      return document.Error();
    }
    documents.push_back(std::move(document.Value()));
  }
  return documents;
}

} // namespace

YamlDocument::YamlDocument(json aValue,
                           std::map<std::string, int> aLines,
                           std::vector<FieldProblem> aProblems)
  : mValue(std::move(aValue))
  , mLines(std::move(aLines))
  , mProblems(std::move(aProblems))
{
}

Result<std::vector<YamlDocument>> YamlDocument::ParseAll(const std::string& aText)
{
  if (aText.size() > kMaxTextBytes) {
    return { ResultCode::kYamlMalformed, "the text is longer than 4 MB" };
  }
  try {
    return ConvertAll(YAML::LoadAll(aText));
  } catch (const YAML::Exception& e) {
    return Malformed(e.mark.line + 1, e.msg);
  }
}

int YamlDocument::LineOf(std::string aField) const
{
  while (!aField.empty()) {
    if (const auto it = mLines.find(aField); it != mLines.end()) {
      return it->second;
    }
    const std::size_t end = aField.find_last_of(".[");
    aField.resize(end == std::string::npos ? 0 : end);
  }
  const auto top = mLines.find("");
  return top == mLines.end() ? 1 : top->second;
}

} // namespace mustardwinch
