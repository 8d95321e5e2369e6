#include "chervilspar/cli/main.h"

int main(int argc, char** argv) { return chervilspar::cli::Main(argc, argv); }
