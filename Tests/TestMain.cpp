/// Runs the test suites named on the command line, or all of them. Tests listed
/// in KNOWN-RED.txt are skipped, because they fail for a known fault that is
/// not fixed yet. With `--all` they run too.

#include "LibObserve/LibObserve.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string_view>

namespace {

/// The lines of KNOWN-RED.txt by test name, the first word of each line.
std::map<std::string, std::string>
KnownFailures()
{
  std::map<std::string, std::string> known;
  std::ifstream file(PRIMROSE_KNOWN_RED);
  for (std::string line; std::getline(file, line);) {
    known.emplace(line.substr(0, line.find(' ')), line);
  }
  return known;
}

/// Runs the test and its children; returns how many were skipped.
int
Run(CppUnit::Test& aTest,
    const std::map<std::string, std::string>& aSkipped,
    CppUnit::TestResult& aEvents)
{
  const int children = aTest.getChildTestCount();
  int count = 0;
  for (int i = 0; i < children; ++i) {
    count += Run(*aTest.getChildTestAt(i), aSkipped, aEvents);
  }
  if (children > 0) {
    return count;
  }
  const auto known = aSkipped.find(aTest.getName());
  if (known == aSkipped.end()) {
    aTest.run(&aEvents);
    return 0;
  }
  std::cout << "KNOWN RED, passed over: " << known->second << std::endl;
  return 1;
}

} // namespace

int
main(int argc, char** argv)
{
  primrose::StartLog("test", primrose::log_level::Error);
  CppUnit::TestResult events;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  events.addListener(&collector);
  events.addListener(&progress);
  std::map<std::string, std::string> skipped = KnownFailures();
  CppUnit::TestSuite chosen("chosen");
  for (int i = 1; i < argc; ++i) {
    if (std::string_view(argv[i]) == "--all") {
      skipped.clear();
      continue;
    }
    chosen.addTest(
      CppUnit::TestFactoryRegistry::getRegistry(argv[i]).makeTest());
  }
  if (chosen.getChildTestCount() == 0) {
    chosen.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  }
  const int count = Run(chosen, skipped, events);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  // No test at all means that a suite's name is wrong, which is a failure.
  const bool passed =
    collector.wasSuccessful() && collector.runTests() + count > 0;
  return passed ? 0 : 1;
}
