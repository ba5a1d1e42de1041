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

void HostLease::End() {
  if (ending_) return;
  leaving_ = true;
  ending_ = true;
  next_send_ = Time();
}

std::vector<HostLeaseAction> HostLease::Tick(Time now) {
  if (ended_ || now < next_send_) return {};
  if (ending_ && !joined_) {
    ended_ = true;
    return {LeaseEnded{}};
  }
  return Send(now);
}

std::vector<HostLeaseAction> HostLease::Send(Time now) {
  Pending call;
  call.sent_at = now;
  call.row.incarnation = joined_ ? incarnation_ : highest_.Next();
  call.row.beat = ++beat_;
  call.row.data_centre = identity_.data_centre;
  call.row.address = identity_.address;
  call.row.leaving = leaving_;
  call.row.lapsed = ending_;
  call.token = "host/" + identity_.id.str() + "/" +
               std::to_string(call.row.incarnation.value()) + "/" +
               std::to_string(++calls_);
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
  // Without an answer the call is repeated by Tick; if the lost one was
  // applied, the repeated one fails its check and shows our own row.
  if (!reply) return {};
  const Pending call = *std::exchange(pending_, std::nullopt);
  if (reply->committed) return OnCommitted(call, *reply);
  return OnConflict(call, reply->conflict, now);
}

std::vector<HostLeaseAction> HostLease::OnCommitted(
    const Pending& call, const TransactReply& reply) {
  if (!reply.versions.empty()) version_ = reply.versions.front();
  highest_ = std::max(highest_, call.row.incarnation);
  confirmed_at_ = call.sent_at;
  const bool changed_meanwhile =
      leaving_ != call.row.leaving || ending_ != call.row.lapsed;
  next_send_ =
      changed_meanwhile ? Time() : call.sent_at + settings_.renew_interval;
  if (call.row.lapsed) {
    joined_ = false;
    ended_ = true;
    confirmed_at_.reset();
    return {LeaseEnded{}};
  }
  if (joined_) return {};
  joined_ = true;
  incarnation_ = call.row.incarnation;
  return {LeaseGained{incarnation_}};
}

std::vector<HostLeaseAction> HostLease::OnConflict(const Pending& call,
                                                   const Row& row, Time now) {
  const Result<HostRow> found = DecodeHostRow(row.value);
  const bool ours = joined_ && found && found->incarnation == incarnation_;
  version_ = row.version;
  if (found) highest_ = std::max(highest_, found->incarnation);
  if (ours && !found->lapsed) {
    confirmed_at_ = call.sent_at;
    return Send(now);
  }
  if (joined_) return Lose(now);
  return Send(now);
}

std::vector<HostLeaseAction> HostLease::Lose(Time now) {
  joined_ = false;
  confirmed_at_.reset();
  // Two processes with one id would otherwise take the row from each other
  // without a pause.
  next_send_ = now + settings_.retry_interval;
  std::vector<HostLeaseAction> actions{LeaseLost{incarnation_}};
  if (ending_) {
    ended_ = true;
    actions.emplace_back(LeaseEnded{});
  }
  return actions;
}

}  // namespace gypsumfall
