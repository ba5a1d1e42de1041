#include "gypsumfall/ownership/internal/host_lease.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace gypsumfall {

HostLease::HostLease(HostIdentity identity, HostLeaseSettings settings)
    : identity_(std::move(identity)), settings_(settings) {}

void HostLease::Leave() {
  if (leaving_) return;
  leaving_ = true;
  next_send_ = Time();
}

void HostLease::Release() {
  if (releasing_) return;
  leaving_ = true;
  releasing_ = true;
  next_send_ = Time();
}

std::vector<HostLeaseAction> HostLease::Tick(Time now) {
  if (released_ || now < next_send_) return {};
  if (releasing_ && !joined_) {
    released_ = true;
    return {LeaseReleased{}};
  }
  return Send(now);
}

std::vector<HostLeaseAction> HostLease::Send(Time now) {
  PendingCall call;
  call.sent_at = now;
  call.row.incarnation = joined_ ? incarnation_ : max_incarnation_.Next();
  call.row.renewal_count = ++renewal_count_;
  call.row.data_centre = identity_.data_centre;
  call.row.address = identity_.address;
  call.row.leaving = leaving_;
  call.row.expired = releasing_;
  call.token = "host/" + identity_.id.str() + "/" +
               std::to_string(call.row.incarnation.value()) + "/" +
               std::to_string(++call_count_);
  const std::string key = HostRowKey(identity_.id);
  TransactCall transaction;
  transaction.token = call.token;
  transaction.checks.push_back({key, version_});
  transaction.puts.push_back({key, EncodeHostRow(call.row)});
  pending_ = std::move(call);
  next_send_ = now + settings_.retry_interval;
  return {OwnershipTransact{std::move(transaction)}};
}

std::vector<HostLeaseAction> HostLease::OnTransacted(
    const std::string& token, const Result<TransactReply>& reply, Time now) {
  if (!pending_ || pending_->token != token) return {};
  // Tick() repeats a call without an answer. If the unanswered call was
  // applied, the repeated call fails its check and returns this host's own row.
  if (!reply) return {};
  const PendingCall call = *std::exchange(pending_, std::nullopt);
  if (reply->committed) return OnCommitted(call, *reply);
  return OnConflict(call, reply->conflict, now);
}

std::vector<HostLeaseAction> HostLease::OnCommitted(
    const PendingCall& call, const TransactReply& reply) {
  if (!reply.versions.empty()) version_ = reply.versions.front();
  max_incarnation_ = std::max(max_incarnation_, call.row.incarnation);
  confirmed_at_ = call.sent_at;
  const bool changed_since_sent =
      leaving_ != call.row.leaving || releasing_ != call.row.expired;
  next_send_ =
      changed_since_sent ? Time() : call.sent_at + settings_.renew_interval;
  if (call.row.expired) {
    joined_ = false;
    released_ = true;
    confirmed_at_.reset();
    return {LeaseReleased{}};
  }
  if (joined_) return {};
  joined_ = true;
  incarnation_ = call.row.incarnation;
  return {LeaseGained{incarnation_}};
}

std::vector<HostLeaseAction> HostLease::OnConflict(const PendingCall& call,
                                                   const Row& row, Time now) {
  const Result<HostRow> found = DecodeHostRow(row.value);
  const bool own_row = joined_ && found && found->incarnation == incarnation_;
  version_ = row.version;
  if (found) max_incarnation_ = std::max(max_incarnation_, found->incarnation);
  if (own_row && !found->expired) {
    confirmed_at_ = call.sent_at;
    return Send(now);
  }
  if (joined_) return LoseLease(now);
  return Send(now);
}

std::vector<HostLeaseAction> HostLease::LoseLease(Time now) {
  joined_ = false;
  confirmed_at_.reset();
  // Limits the rate at which two processes with the same id take the row from
  // each other.
  next_send_ = now + settings_.retry_interval;
  std::vector<HostLeaseAction> actions{LeaseLost{incarnation_}};
  if (releasing_) {
    released_ = true;
    actions.emplace_back(LeaseReleased{});
  }
  return actions;
}

}  // namespace gypsumfall
