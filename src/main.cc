#include "chervilspar/cli/main.h"

#include "platform/link_factory.h"

int main(int argc, char** argv) {
  chervilspar::adapter::PlatformLinkFactory links;
  return chervilspar::cli::Main(argc, argv, links);
}
