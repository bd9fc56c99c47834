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

auto RegistryClient::SendRequest(const HttpRequest& request,
                                 HttpClient::Handler handler) -> void {
  client_.SendHttpRequest(
      request, timeout_.current,
      [this, started = GetMonotonicTime(),
       handler = std::move(handler)](const HttpResponse& reply) {
        const Duration took = GetMonotonicTime() - started;
        if (reply.status != 0) {
          OnCallAnswered(timeout_, took);
        } else if (took >= timeout_.current) {
          OnCallTimedOut(timeout_);
        }
        handler(reply);
      });
}

auto RegistryClient::RequestBalancerList(Handler handler) -> void {
  handler_ = std::move(handler);
  balancers_.clear();
  cursor_ = {};
  RequestBalancerPage();
}

auto RegistryClient::RequestBalancerPage() -> void {
  SendRequest(codec_.make_list_balancers_request(cursor_.after),
              [this](const HttpResponse& reply) {
                const auto page = codec_.decode_balancer_page(reply);
                if (!page.has_value()) {
                  log_.WriteEvent(EventKind::kDependency, GetMonotonicTime(),
                                  "registry_unread status={} reason=\"{}\"",
                                  reply.status, reply.failure);
                  return;
                }
                if (!cursor_.after.empty() && page->era != era_) {
                  // The store returned from a copy between two pages.
                  balancers_.clear();
                  cursor_ = {.pages = cursor_.pages + 1};
                  RequestBalancerPage();
                  return;
                }
                LogSkippedEntries(page->skipped);
                era_ = page->era;
                balancers_.insert(balancers_.end(), page->hosts.begin(),
                                  page->hosts.end());
                if (MoveToNextPage(cursor_, page->next_after)) {
                  RequestBalancerPage();
                  return;
                }
                const Handler handler = std::exchange(handler_, {});
                handler(balancers_);
              });
}

// Logs malformed entries once, as each answer lists them again.
auto RegistryClient::LogSkippedEntries(const std::string& skipped) -> void {
  if (skipped == logged_skipped_) {
    return;
  }
  logged_skipped_ = skipped;
  if (!skipped.empty()) {
    log_.WriteEvent(EventKind::kMalformedInput, GetMonotonicTime(),
                    "balancers_malformed skipped=\"{}\"", skipped);
  }
}

auto RegistryClient::SendRegistryChanges(const RegistryChanges& changes)
    -> void {
  pending_changes_.clear();
  for (const auto it : changes.add) {
    pending_changes_.push_back(codec_.make_add_balancer_request(it));
  }
  for (const auto it : changes.remove) {
    pending_changes_.push_back(codec_.make_remove_balancer_request(it));
  }
  SendNextChange();
}

auto RegistryClient::SendNextChange() -> void {
  if (pending_changes_.empty()) {
    return;
  }
  const HttpRequest request = std::move(pending_changes_.back());
  pending_changes_.pop_back();
  SendRequest(request, [this, request](const HttpResponse& reply) {
    // kConflict and kNotFound mean that the list already reflects the
    // change, for example because another process made the same change.
    const bool done = (reply.status >= kOk && reply.status < kFirstError) ||
                      reply.status == kConflict || reply.status == kNotFound;
    log_.WriteEvent(EventKind::kDependency, GetMonotonicTime(),
                    "registry_changed method={} target={} status={} done={}",
                    request.method, request.target, reply.status, done);
    SendNextChange();
  });
}

}  // namespace hawthornbank::transport
