#ifndef HAWTHORNBANK_STANDINS_STATS_SERVER_H_
#define HAWTHORNBANK_STANDINS_STATS_SERVER_H_

#include <httplib.h>

#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "hawthornbank/error.h"
#include "hawthornbank/types.h"

/// @file
/// HTTP server, in a separate thread, for the counters of a stand-in as JSON.
namespace hawthornbank::standins {

/// Answers GET /stats with the text that a function renders.
class StatsServer {
 public:
  /// @param address Address and port to listen on.
  /// @param render Renders the JSON text; called from the server's threads.
  /// @throws Error kInvalidSettings when the address can't be bound.
  StatsServer(Endpoint address, std::function<std::string()> render) {
    server_.Get("/stats", [render = std::move(render)](const httplib::Request&,
                                                       httplib::Response& out) {
      out.set_content(render(), "application/json");
    });
    const auto text = ToString(address);
    if (!server_.bind_to_port(text.substr(0, text.find(':')).c_str(),
                              address.port)) {
      throw Error(ErrorKind::kInvalidSettings, "can't listen on " + text);
    }
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    // Waits until the server runs, because stop() has no effect before.
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }

  StatsServer(const StatsServer&) = delete;
  auto operator=(const StatsServer&) -> StatsServer& = delete;

  ~StatsServer() {
    server_.stop();
    thread_.join();
  }

 private:
  httplib::Server server_;
  std::thread thread_;
};

}  // namespace hawthornbank::standins

#endif  // HAWTHORNBANK_STANDINS_STATS_SERVER_H_
