#include "mustardwinch/ResultCode.h"

#include <array>
#include <string>

namespace mustardwinch {
namespace {

struct ResultEntry
{
  ResultCode code;
  Outcome outcome;
  int status;
  const char* text;
};

constexpr std::array kResults{
  ResultEntry{ ResultCode::kOk, Outcome::kRan, 200, "ok" },
#define MW_RESULT(aNumber, aName, aOutcome, aStatus, aText)                                        \
  ResultEntry{ ResultCode::aName, Outcome::aOutcome, aStatus, aText },
#include "mustardwinch/ResultCodes.def"
#undef MW_RESULT
};

const ResultEntry& EntryOf(ResultCode aCode)
{
  for (const ResultEntry& it : kResults) {
    if (it.code == aCode) {
      return it;
    }
  }
  return kResults.front();
}

class Category : public std::error_category
{
public:
  const char* name() const noexcept override { return "mustardwinch"; }

  std::string message(int aValue) const override { return TextOf(static_cast<ResultCode>(aValue)); }
};

} // namespace

Outcome OutcomeOf(ResultCode aCode)
{
  return EntryOf(aCode).outcome;
}

int HttpStatusOf(ResultCode aCode)
{
  return EntryOf(aCode).status;
}

const char* TextOf(ResultCode aCode)
{
  return EntryOf(aCode).text;
}

ResultCode ResultCodeFromNumber(std::uint32_t aNumber)
{
  return EntryOf(static_cast<ResultCode>(aNumber)).code;
}

const std::error_category& ResultCategory()
{
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(ResultCode aCode)
{
  return { static_cast<int>(aCode), ResultCategory() };
}

} // namespace mustardwinch
