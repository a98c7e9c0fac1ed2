/// A plain service beside the model engines. It counts what it executes, for
/// each idempotency key, so that a test can tell whether something ran twice.

#include "Emulator.h"

#include <map>

namespace primrose::standin {

namespace {

class service_emulator final : public face
{
public:
  void Handle(const exchange& aExchange) override
  {
    if (aExchange->Path() == "/executions") {
      AnswerJson(aExchange, json(mExecutions));
      return;
    }
    const std::string key = aExchange->Header("Idempotency-Key");
    const std::uint64_t count = ++mExecutions[key.empty() ? "-" : key];
    if (TakeLostAnswer()) {
      mLostAnswerExchanges.push_back(aExchange);
      return;
    }
    AnswerJson(aExchange,
               { { "method", aExchange->Method() },
                 { "path", aExchange->Path() },
                 { "key", key },
                 { "execution", count } });
  }

private:
  std::map<std::string, std::uint64_t> mExecutions;
  std::vector<exchange> mLostAnswerExchanges;
};

} // namespace

std::unique_ptr<face>
MakeServiceEmulator()
{
  return std::make_unique<service_emulator>();
}

} // namespace primrose::standin
