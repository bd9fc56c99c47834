#include "hawthornbank/types.h"

#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

TEST_GROUP(Types){};

TEST(Types, EndpointIsUnchangedByParsingAndFormatting) {
  const auto endpoint = ParseEndpoint("127.0.0.1:5683");
  LONGS_EQUAL(0x7F000001, endpoint.address);
  LONGS_EQUAL(5683, endpoint.port);
  STRCMP_EQUAL("127.0.0.1:5683", ToString(endpoint).c_str());
}

TEST(Types, InvalidEndpointTextIsRejected) {
  for (const auto* text : {"", "1.2.3.4", "1.2.3.256:1", "1.2.3.4:65536",
                           "1.2.3.4:5x", "a.b.c.d:1", "1.2.3.4:"}) {
    CHECK_THROWS(Error, ParseEndpoint(text));
  }
}
