#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "gypsumfall/requests/internal/table_impl.h"
#include "gypsumfall/requests/requests.h"

namespace gypsumfall {

ExchangeIdSource::ExchangeIdSource(const EntryHostId& host,
                                   Incarnation incarnation)
    : prefix_(host.str() + "/" + std::to_string(incarnation.value()) + "/") {}

ExchangeId ExchangeIdSource::Next() {
  return ExchangeId(prefix_ + std::to_string(++counter_));
}

RequestTable::RequestTable(RequestSettings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
RequestTable::~RequestTable() = default;
RequestTable::RequestTable(RequestTable&&) noexcept = default;
RequestTable& RequestTable::operator=(RequestTable&&) noexcept = default;

BeginOutcome RequestTable::Begin(const CustomerId& customer,
                                 const RequestId& id,
                                 const RequestAttributes& attributes,
                                 std::uint64_t content_hash, Time now) {
  BeginOutcome outcome =
      impl_->Begin(CallerId{customer, id}, attributes, content_hash, now);
  if (auto* admitted = std::get_if<Admitted>(&outcome)) {
    admitted->actions = impl_->TakeActions();
  }
  return outcome;
}

RequestActions RequestTable::OnPlaced(RequestKey key, const WorkerId& worker,
                                      const ExchangeId& exchange, Time now) {
  impl_->OnPlaced(key, worker, exchange, now);
  return impl_->TakeActions();
}

void RequestTable::OnNotPlaced(RequestKey key, Time /*now*/) {
  impl_->OnNotPlaced(key);
}

bool RequestTable::OnForwarded(RequestKey key, const EntryHostId& peer,
                               const ExchangeId& exchange, Time now) {
  return impl_->OnForwarded(key, peer, exchange, now);
}

RequestActions RequestTable::OnCapacityFreed(Time /*now*/) {
  impl_->PlaceBlocked(impl_->settings().placements_per_event);
  return impl_->TakeActions();
}

RequestActions RequestTable::OnReply(const RequestReply& reply,
                                     const WorkerId& from, Time now) {
  impl_->OnReply(reply, from, now);
  return impl_->TakeActions();
}

RequestActions RequestTable::OnCancelReply(const RequestReply& reply,
                                           const WorkerId& from, Time now) {
  impl_->OnCancelReply(reply, from, now);
  return impl_->TakeActions();
}

RequestActions RequestTable::OnSendFailed(const ExchangeId& exchange,
                                          bool certainly_not_sent, Time now) {
  impl_->OnSendFailed(exchange, certainly_not_sent, now);
  return impl_->TakeActions();
}

RequestActions RequestTable::OnWorkerLost(const WorkerId& worker, Time now) {
  impl_->OnWorkerLost(worker, now);
  return impl_->TakeActions();
}

RequestActions RequestTable::OnForwardOutcome(const ExchangeId& exchange,
                                              const ForwardOutcome& outcome,
                                              Time now) {
  impl_->OnForwardOutcome(exchange, outcome, now);
  return impl_->TakeActions();
}

RequestActions RequestTable::Tick(Time now) {
  impl_->Tick(now);
  return impl_->TakeActions();
}

RequestActions RequestTable::RefuseWaiting(Time now) {
  impl_->RefuseWaiting(now);
  return impl_->TakeActions();
}

std::optional<Time> RequestTable::NextTick() const { return impl_->NextTick(); }

std::optional<RequestView> RequestTable::Lookup(const CustomerId& customer,
                                                const RequestId& id) const {
  return impl_->Lookup(CallerId{customer, id});
}

std::size_t RequestTable::active() const { return impl_->active(); }
std::size_t RequestTable::unanswered() const { return impl_->unanswered(); }
std::size_t RequestTable::waiting() const { return impl_->waiting(); }
RequestCounters RequestTable::counters() const { return impl_->counters(); }
std::string RequestTable::Dump(Time now) const { return impl_->Dump(now); }

}  // namespace gypsumfall
