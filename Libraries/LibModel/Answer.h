#pragma once

/// The answer text of the stand-in engine. It is derived from the prompt alone,
/// so the sender of a prompt can check that the answer is complete and belongs
/// to this prompt.

#include "LibDecision/LibDecision.h"

#include <string>
#include <string_view>

namespace primrose {

/// The text of one answer token, including its trailing blank.
std::string
AnswerToken(std::uint64_t aPromptHash, tokens aIndex);

/// The complete answer to a prompt.
std::string
WholeAnswer(std::string_view aPrompt, tokens aTokens);

} // namespace primrose
