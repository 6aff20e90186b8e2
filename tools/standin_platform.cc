// Stand-in for the platform: table, object store, weight store and VM list in
// memory, with rate limits and injected faults. For tests and demos only.
#include "standin_main.h"
#include "standin_platform_server.h"
#include "standin_platform_settings.h"

int main(int argc, char** argv) {
  using namespace bramleybank;
  return RunStandin<PlatformServer>(
      argc, argv, "Platform stand-in for tests and demos of bramleybank.",
      &ReadPlatformSettings);
}
