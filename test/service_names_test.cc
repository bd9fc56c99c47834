#include <CppUTest/TestHarness.h>

#include <string>

#include "hawthornbank/error.h"
#include "protocol/service_names_codec.h"
#include "transport/node_service_names.h"

using namespace hawthornbank;
using namespace hawthornbank::transport;

TEST_GROUP(ServiceNames){};

TEST(ServiceNames, NamesAreEncodedForPeers) {
  const ServiceNamesByHash names{{7, "quote"}, {8, std::string(64, 'x')}};
  const std::string encoded = EncodeServiceNames(names);
  CHECK(DecodeServiceNames(encoded) == names);
  CHECK(DecodeServiceNames(EncodeServiceNames({})).empty());
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    CHECK_THROWS(Error, DecodeServiceNames(encoded.substr(0, size)));
  }
  CHECK_THROWS(Error, EncodeServiceNames({{7, std::string(65, 'x')}}));
}

TEST(ServiceNames, NamesOfAPeerArePrintableAndBounded) {
  ServiceNames services;
  const auto quote = RecordServiceName(services, "quote");
  RecordPeerServiceNames(services,
                         {{quote, "other"}, {8, "a b\n\"c"}, {0, "none"}});
  CHECK(FormatService(services, quote) == "quote");
  CHECK(FormatService(services, 8) == "a?b??c");
  CHECK(!services.names.contains(0));
  ServiceNamesByHash many;
  for (std::uint32_t n = 1000; n < 1000 + 2 * kMaxServiceNames; ++n) {
    many[n] = std::string(1000, 'x');
  }
  RecordPeerServiceNames(services, many);
  LONGS_EQUAL(kMaxServiceNames, services.names.size());
  CHECK(DecodeServiceNames(EncodeServiceNames(services.names)) ==
        services.names);
}
