#include <iostream>

#include "cli/command.h"

/// @file
/// The operator's command-line program; `bulrushlift --help` lists its commands.

int main(int argc, char** argv) {
  bulrushlift::event_loop loop{256};
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return bulrushlift::run_cli(loop, arguments, std::cout, std::cerr);
}
