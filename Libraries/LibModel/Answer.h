#pragma once

/// The answer that the stand-in engine gives: it follows from the prompt alone,
/// so that whoever sent the prompt can check that the answer is its own and
/// whole.

#include "LibDecision/LibDecision.h"

#include <string>
#include <string_view>

namespace primrose {

/// The text of one token of the answer, with its trailing blank.
std::string
AnswerToken(std::uint64_t aPromptHash, tokens aIndex);

/// The whole answer to a prompt.
std::string
WholeAnswer(std::string_view aPrompt, tokens aTokens);

} // namespace primrose
