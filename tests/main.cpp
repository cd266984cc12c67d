// Runs every CppUnit test linked in; a name as argument runs those whose path contains it.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    // rapidcheck reads this once, at its first use: the same schedules in every run.
    setenv("RC_PARAMS", "seed=20261204 max_success=10000", 1);
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(result, argc > 1 ? argv[1] : "");
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
