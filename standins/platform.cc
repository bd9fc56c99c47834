#include <iostream>
#include <string>

#include "hawthornbank/error.h"
#include "hawthornbank/types.h"
#include "platform_standin.h"

/// @file
/// Serves the stand-in of the platform's object API until it is terminated.

auto main(int argc, char** argv) -> int {
  using hawthornbank::Endpoint;
  if (argc != 3 || std::string(argv[1]) != "--listen") {
    std::cerr << "usage: standin_platform --listen 127.0.0.1:PORT\n";
    return 2;
  }
  Endpoint address;
  try {
    address = hawthornbank::ParseEndpoint(argv[2]);
  } catch (const hawthornbank::Error& error) {
    std::cerr << "standin_platform: " << error.what() << '\n';
    return 2;
  }
  const auto text = hawthornbank::ToString(address);
  const auto host = text.substr(0, text.find(':'));
  hawthornbank::standins::PlatformStandin standin;
  const int port = standin.Bind(host, address.port);
  if (port < 0) {
    std::cerr << "standin_platform: can't listen on " << text << '\n';
    return 1;
  }
  std::cout << "listening " << host << ':' << port << std::endl;
  standin.Run();
  return 0;
}
