#ifndef HAWTHORNBANK_TRANSPORT_PLATFORM_CLIENT_H_
#define HAWTHORNBANK_TRANSPORT_PLATFORM_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Blocking HTTP client of the platform's object API.
namespace hawthornbank::transport {

/// An object of the platform.
struct PlatformObject {
  std::string kind;
  std::string name;
  std::uint64_t version = 0;  ///< Platform-wide version of the last change.
  std::string value;          ///< JSON text.
};

/// Result of a watch.
struct WatchResult {
  std::uint64_t version = 0;            ///< Version from which to resume.
  bool history_expired = false;         ///< Can't resume; list all objects.
  std::vector<PlatformObject> objects;  ///< Changed objects, oldest first.
};

/// Address of the platform, and the time limit of each step of a call.
struct PlatformClientOptions {
  Endpoint address;
  /// Time limit of each step of a call. The limit grows up to `max_timeout`
  /// while the platform answers late.
  std::chrono::milliseconds timeout{2000};
  std::chrono::milliseconds max_timeout{5000};
};

/// Client of the platform's object API. Thread-safe: reads, lists and writes
/// share one connection, and watches share another. One thread at a time uses a
/// connection.
class PlatformClient {
 public:
  /// @param options Address and timeout.
  explicit PlatformClient(PlatformClientOptions options);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  auto operator=(const PlatformClient&) -> PlatformClient& = delete;

  /// Reads an object.
  /// @param kind Kind of the object.
  /// @param name Name of the object.
  /// @return The object; std::nullopt when it doesn't exist.
  /// @throws Error kPlatformUnavailable when there is no valid answer.
  auto ReadObject(const std::string& kind, const std::string& name)
      -> std::optional<PlatformObject>;

  /// Reads all objects of a kind.
  /// @param kind Kind of the objects.
  /// @return The objects, in the order of their names.
  /// @throws Error kPlatformUnavailable when there is no valid answer.
  auto ListObjects(const std::string& kind) -> std::vector<PlatformObject>;

  /// Writes an object if its version is still `if_version`.
  /// @param kind Kind of the object.
  /// @param name Name of the object.
  /// @param if_version Expected version of the object; 0 creates the object.
  /// @param operation Id of this write.
  /// @param value JSON text, up to 1 MiB.
  /// @return The new version.
  /// @throws Error kConflict when the object has another version, kTooLarge,
  ///     or kPlatformUnavailable, after which the outcome is unknown.
  auto WriteObject(const std::string& kind,
                   const std::string& name,
                   std::uint64_t if_version,
                   const std::string& operation,
                   const std::string& value) -> std::uint64_t;

  /// Waits for changes of a kind.
  /// @param kind Kind of the objects.
  /// @param from Version after which changes are reported.
  /// @param timeout Maximum time for which the platform holds the call.
  /// @return The changes; empty after the timeout.
  /// @throws Error kPlatformUnavailable when there is no valid answer.
  auto WatchObjects(const std::string& kind,
                    std::uint64_t from,
                    std::chrono::milliseconds timeout) -> WatchResult;

 private:
  struct Connection;
  struct Connections;
  std::unique_ptr<Connections> connections_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_TRANSPORT_PLATFORM_CLIENT_H_
