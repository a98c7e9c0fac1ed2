#include "LibModel/Answer.h"

#include <spdlog/fmt/fmt.h>

namespace primrose {

std::string
AnswerToken(std::uint64_t aPromptHash, tokens aIndex)
{
  constexpr std::uint64_t kWords = 0xfffff;
  const std::uint64_t word = Hash(std::to_string(aIndex), aPromptHash) & kWords;
  return fmt::format("{:05x} ", word);
}

std::string
WholeAnswer(std::string_view aPrompt, tokens aTokens)
{
  const std::uint64_t hash = Hash(aPrompt);
  std::string answer;
  for (tokens i = 0; i < aTokens; ++i) {
    answer += AnswerToken(hash, i);
  }
  return answer;
}

} // namespace primrose
