#pragma once

#include "config/SpecReader.h"
#include "config/TextRule.h"
#include "mustardwinch/Address.h"

namespace mustardwinch {

/** "debug", "info", "warn" or "error". */
extern const TextRule kLogLevelRule;

/** An address that others can dial: not 0.0.0.0. */
extern const TextRule kDialAddressRule;

/** Reads a required address. */
void ReadAddress(SpecReader& aReader, const char* aName, const TextRule& aRule, Address& aTarget);

} // namespace mustardwinch
