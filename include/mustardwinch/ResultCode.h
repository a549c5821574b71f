#pragma once

#include "mustardwinch/Outcome.h"

#include <cstdint>
#include <system_error>

namespace mustardwinch {

/** Numbered result codes of the project. docs/ERRORS.md explains each. */
enum class ResultCode : std::uint16_t
{
  kOk = 0,
#define MW_RESULT(aNumber, aName, aOutcome, aStatus, aText) aName = (aNumber),
#include "mustardwinch/ResultCodes.def"
#undef MW_RESULT
};

/** What a caller may assume when it gets this code. */
Outcome OutcomeOf(ResultCode aCode);

/** HTTP status that carries this code to a caller; 0 where it never reaches one. */
int HttpStatusOf(ResultCode aCode);

/** The text of the code, one line, in English. */
const char* TextOf(ResultCode aCode);

/** The code with this number, or kOk if there is none. Used on codes read from a peer. */
ResultCode ResultCodeFromNumber(std::uint32_t aNumber);

/** The std::error_category of ResultCode. */
const std::error_category& ResultCategory();

std::error_code make_error_code(ResultCode aCode);

} // namespace mustardwinch

template<>
struct std::is_error_code_enum<mustardwinch::ResultCode> : std::true_type
{
};
