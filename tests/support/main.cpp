#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char **argv)
{
    // rapidcheck and Boost.Log keep allocations for the lifetime of the process, which CppUTest reports as leaks;
    // AddressSanitizer detects leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
