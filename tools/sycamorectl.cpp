// Entry point of sycamorectl, the operators' command line.
#include "Cli.h"

#include <iostream>

int main(int Count, char **Arguments) {
  std::vector<std::string> Words(Arguments + 1, Arguments + Count);
  return sycamore::runCli(Words,
                          sycamore::networkEnvironment(std::cout, std::cerr));
}
