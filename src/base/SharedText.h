#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace mustardwinch {

/** Immutable bytes that all copies share, such as the body of a request on its way. */
class SharedText
{
public:
  SharedText() = default;
  SharedText(std::string aText)
    : mText(aText.empty() ? nullptr : std::make_shared<const std::string>(std::move(aText)))
  {
  }
  SharedText(const char* aText)
    : SharedText(std::string(aText))
  {
  }

  const std::string& Text() const
  {
    static const std::string kEmpty;
    return mText ? *mText : kEmpty;
  }

  operator const std::string&() const { return Text(); }
  std::size_t size() const { return Text().size(); }
  bool empty() const { return mText == nullptr; }

  friend bool operator==(const SharedText& aOne, const SharedText& aTwo)
  {
    return aOne.Text() == aTwo.Text();
  }

private:
  std::shared_ptr<const std::string> mText; //!< null: empty
};

} // namespace mustardwinch
