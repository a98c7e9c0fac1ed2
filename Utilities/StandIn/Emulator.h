#pragma once

/// A face of the stand-in: one kind of outside system.

#include "Faults.h"

#include "LibSettings/LibSettings.h"

#include <memory>

namespace primrose::standin {

using exchange = std::shared_ptr<http_exchange>;

class face
{
public:
  virtual ~face() = default;
  /// A request that no fault kept from the face.
  virtual void Handle(const exchange& aExchange) = 0;
  virtual void FaultsChanged() {}

  faults mFaults;

protected:
  /// True if this execution's answer is to be lost; counts it off.
  bool TakeLostAnswer();
};

std::unique_ptr<face>
MakeEngineEmulator(const clock_source& aClock, const model_settings& aModel);
std::unique_ptr<face>
MakeServiceEmulator();
std::unique_ptr<face>
MakePlatformEmulator(const clock_source& aClock, duration aListLag);

/// Answers with a JSON document and status 200, or another status.
void
AnswerJson(const exchange& aExchange,
           const json& aDocument,
           unsigned aStatus = 200);
/// Answers with the failure of a LEAF result if `aBody` fails.
void
Guarded(const exchange& aExchange, const std::function<result<void>()>& aBody);
/// The value of a parameter in the query part, or empty.
std::string
QueryValue(const exchange& aExchange, const std::string& aName);

} // namespace primrose::standin
