#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char **argv)
{
    // rapidcheck and Boost.Log keep allocations for the life of the process, which CppUTest reports as leaks.
    // AddressSanitizer checks for leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
