/// Runs the suites that are named on the command line, or all of them.

#include "LibObserve/LibObserve.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

int
main(int argc, char** argv)
{
  primrose::StartLog("test", primrose::log_level::Error);
  CppUnit::TestResult events;
  CppUnit::TestResultCollector collected;
  CppUnit::BriefTestProgressListener progress;
  events.addListener(&collected);
  events.addListener(&progress);
  CppUnit::TestRunner runner;
  if (argc < 2) {
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  }
  for (int i = 1; i < argc; ++i) {
    runner.addTest(
      CppUnit::TestFactoryRegistry::getRegistry(argv[i]).makeTest());
  }
  runner.run(events);
  CppUnit::CompilerOutputter(&collected, std::cerr).write();
  // A suite without a test is a mistake in its name, not a success.
  const bool good = collected.wasSuccessful() && collected.runTests() > 0;
  return good ? 0 : 1;
}
