#include "transport/registry_client.h"

#include <utility>

#include "transport/clock.h"

namespace hawthornbank::transport {
namespace {

constexpr int kOk = 200;
constexpr int kFirstError = 300;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

}  // namespace

RegistryClient::RegistryClient(asio::io_context& io,
                               Endpoint store,
                               const NodeCodec& codec,
                               EventLog& log)
    : client_(io, store), codec_(codec), log_(log) {}

auto RegistryClient::Read(Handler handler) -> void {
  handler_ = std::move(handler);
  hosts_.clear();
  ReadPage({});
}

auto RegistryClient::ReadPage(const std::string& after) -> void {
  client_.Send(
      codec_.list_hosts(after), kRegistryCallTime,
      [this](const HttpReply& reply) {
        const auto page = codec_.decode_hosts(reply.status, reply.body);
        if (!page.has_value()) {
          log_.Write(EventKind::kDependency, MonotonicNow(),
                     "registry_unread status={} reason=\"{}\"", reply.status,
                     reply.failure);
          return;
        }
        hosts_.insert(hosts_.end(), page->hosts.begin(), page->hosts.end());
        if (!page->next.empty()) {
          ReadPage(page->next);
          return;
        }
        const Handler handler = std::exchange(handler_, {});
        handler(hosts_);
      });
}

auto RegistryClient::Apply(const RegistryChange& change) -> void {
  changes_.clear();
  for (const auto it : change.add) {
    changes_.push_back(codec_.add_host(it));
  }
  for (const auto it : change.remove) {
    changes_.push_back(codec_.remove_host(it));
  }
  ApplyNext();
}

auto RegistryClient::ApplyNext() -> void {
  if (changes_.empty()) {
    return;
  }
  const HttpRequest request = std::move(changes_.back());
  changes_.pop_back();
  client_.Send(
      request, kRegistryCallTime, [this, request](const HttpReply& reply) {
        // Another process may have made the same change.
        const bool done = (reply.status >= kOk && reply.status < kFirstError) ||
                          reply.status == kConflict ||
                          reply.status == kNotFound;
        log_.Write(EventKind::kDependency, MonotonicNow(),
                   "registry_changed method={} target={} status={} done={}",
                   request.method, request.target, reply.status, done);
        ApplyNext();
      });
}

}  // namespace hawthornbank::transport
