// main() of apricot-unit and apricot-processes: runs all CppUnit tests linked into the program, or
// only the suite or test whose full name is the argument, such as BasicsTest or
// BasicsTest::endpointsAreIpAndPort.
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
    // A fixed seed makes rapidcheck generate the same schedules in every run. Set before the first
    // property is checked, because rapidcheck reads the variable only once.
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
