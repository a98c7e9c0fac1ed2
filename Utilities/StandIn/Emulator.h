#pragma once

/// An emulator of one kind of external system: a model engine, a plain service
/// or the platform.

#include "Faults.h"

#include "LibSettings/LibSettings.h"

#include <memory>

namespace primrose::standin {

using exchange = std::shared_ptr<http_exchange>;

class emulator
{
public:
  virtual ~emulator() = default;
  /// Handles a request that no switched-on fault has intercepted.
  virtual void Handle(const exchange& aExchange) = 0;
  /// Called after mFaults has changed.
  virtual void FaultsChanged() {}

  faults mFaults;

protected:
  /// True if the answer of this execution must be lost. Decrements the number
  /// of answers still to lose.
  bool TakeLostAnswer();
};

std::unique_ptr<emulator>
MakeEngineEmulator(const clock_source& aClock, const model_settings& aModel);
std::unique_ptr<emulator>
MakeServiceEmulator();
std::unique_ptr<emulator>
MakePlatformEmulator(const clock_source& aClock, duration aListLag);

/// Answers with a JSON document.
void
AnswerJson(const exchange& aExchange,
           const json& aDocument,
           unsigned aStatus = 200);
/// Runs `aBody` and, if it fails, answers the request with its failure.
void
AnswerIfFailed(const exchange& aExchange,
               const std::function<result<void>()>& aBody);
/// Returns the value of a parameter of the URL's query, or an empty string.
std::string
QueryValue(const exchange& aExchange, const std::string& aName);

} // namespace primrose::standin
