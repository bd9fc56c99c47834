#include "protocol/coap_codec.h"

#include "hawthornbank/error.h"
#include "hawthornbank/random.h"
#include "protocol/echo_token.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

TEST_GROUP(CoapCodec){auto MakeSampleMessage()->CoapMessage{
    CoapMessage message{.type = CoapType::kNon,
                        .code = kCoapPost,
                        .id = 0xABCD,
                        .token = {1, 2, 3},
                        .payload = {'x', 0xFF}};
AddCoapOption(message,
              CoapOptionNumber::kEcho,
              std::vector<std::uint8_t>(kEchoTokenBytes, 7));
AddCoapOption(message, CoapOptionNumber::kUriQuery, "rid=a");
AddCoapOption(message, CoapOptionNumber::kUriPath, "quote");
AddCoapOption(message, CoapOptionNumber::kUriQuery, "deadline_ms=50");
AddCoapUintOption(message, CoapOptionNumber::kMaxAge, 300);
return message;
}
}
;

TEST(CoapCodec, DecodingAnEncodedMessageRestoresIt) {
  const auto message = MakeSampleMessage();
  const auto bytes = EncodeCoapMessage(message);
  CHECK(DecodeCoapMessage(bytes, kMaxCallerMessageBytes) == message);
  STRCMP_EQUAL("a", FindQueryParameter(message, "rid")->c_str());
  STRCMP_EQUAL("50", FindQueryParameter(message, "deadline_ms")->c_str());
  CHECK_FALSE(FindQueryParameter(message, "deadline").has_value());
  LONGS_EQUAL(300, DecodeUintOption(
                       *FindCoapOption(message, CoapOptionNumber::kMaxAge)));
}

TEST(CoapCodec, EncodingADecodedDatagramRestoresItsBytes) {
  const std::vector<std::uint8_t> bytes = {0x41, 0x01, 0x12, 0x34, 0x99,
                                           0xB1, 'b',  0xFF, 'p'};
  const auto message = DecodeCoapMessage(bytes, kMaxCallerMessageBytes);
  CHECK(message.type == CoapType::kCon);
  LONGS_EQUAL(0x1234, message.id);
  LONGS_EQUAL(1, message.options.size());
  CHECK(EncodeCoapMessage(message) == bytes);
}

TEST(CoapCodec, RejectsMalformedAndOversizedDatagrams) {
  const std::vector<std::vector<std::uint8_t>> samples = {
      {},
      {0x40},
      {0x80, 1, 0, 0},
      {0x49, 1, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9},
      {0x42, 1, 0, 0, 1},
      {0x40, 1, 0, 0, 0xFF},
      {0x40, 1, 0, 0, 0xBD},
      {0x40, 1, 0, 0, 0xF1, 1}};
  for (const auto& bytes : samples) {
    CHECK_THROWS(Error, DecodeCoapMessage(bytes, kMaxCallerMessageBytes));
  }
  const std::vector<std::uint8_t> large(kMaxCallerMessageBytes + 1, 0x40);
  CHECK_THROWS(Error, DecodeCoapMessage(large, kMaxCallerMessageBytes));
}

TEST(CoapCodec, CorruptedDatagramIsDecodedOrRejectedAsMalformed) {
  Random random{5};
  const auto bytes = EncodeCoapMessage(MakeSampleMessage());
  for (int n = 0; n < 20000; ++n) {
    auto changed = bytes;
    changed[random(static_cast<std::uint32_t>(bytes.size()))] =
        static_cast<std::uint8_t>(random());
    changed.resize(1 + random(static_cast<std::uint32_t>(bytes.size())));
    try {
      const auto message = DecodeCoapMessage(changed, kMaxCallerMessageBytes);
      CHECK(DecodeCoapMessage(EncodeCoapMessage(message),
                              kMaxCallerMessageBytes) == message);
    } catch (const Error& error) {
      CHECK(error.kind() == ErrorKind::kMalformed);
    }
  }
}

TEST_GROUP(EchoToken) {
  std::vector<TokenKey> keys = {TokenKey{1}, TokenKey{2}};
  RequestToken token{.target = TargetId{0x0102030405060708},
                     .incarnation = Incarnation{9},
                     .issued = TimePoint{std::chrono::seconds{-5}},
                     .validity = std::chrono::milliseconds{30000}};
};

TEST(EchoToken, TokenSignedWithAnyAcceptedKeyDecodesUnchanged) {
  for (const auto& key : keys) {
    const auto bytes = EncodeEchoToken(token, "rid", key);
    LONGS_EQUAL(kEchoTokenBytes, bytes.size());
    const auto decoded = DecodeEchoToken(bytes, "rid", keys);
    CHECK(decoded.is_authentic);
    CHECK(decoded.target == token.target);
    CHECK(decoded.incarnation == token.incarnation);
    CHECK(decoded.issued == token.issued);
    CHECK(decoded.validity == token.validity);
  }
}

TEST(EchoToken, TokenWithOtherBytesIdentityOrKeyIsNotAuthentic) {
  const auto bytes = EncodeEchoToken(token, "rid", keys[0]);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    auto changed = bytes;
    changed[n] ^= 1;
    CHECK_FALSE(DecodeEchoToken(changed, "rid", keys).is_authentic);
  }
  CHECK_FALSE(DecodeEchoToken(bytes, "rie", keys).is_authentic);
  CHECK_FALSE(DecodeEchoToken({}, "rid", keys).is_authentic);
  const std::vector<TokenKey> others = {TokenKey{3}};
  CHECK_FALSE(DecodeEchoToken(bytes, "rid", others).is_authentic);
}
