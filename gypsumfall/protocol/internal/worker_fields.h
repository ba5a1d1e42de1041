#ifndef GYPSUMFALL_PROTOCOL_INTERNAL_WORKER_FIELDS_H_
#define GYPSUMFALL_PROTOCOL_INTERNAL_WORKER_FIELDS_H_

/// @file
/// Codecs of the worker message types that are also part of messages between
/// entry hosts.

#include <array>
#include <string_view>

#include "gypsumfall/protocol/internal/codec_impl.h"
#include "gypsumfall/protocol/internal/worker_messages.h"

namespace gypsumfall {

namespace protocol_internal {

template <>
struct EnumNames<AttemptState> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "running", "finished", "failed", "stopped"};
};

template <>
struct EnumNames<ExchangeState> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "finished", "failed", "running", "never_started"};
};

template <>
struct EnumNames<RefusalReason> {
  static constexpr std::array<std::string_view, 7> kNames = {
      "stale_epoch", "expired",      "no_slot", "no_resources",
      "leaving",     "unknown_kind", "closed"};
};

}  // namespace protocol_internal

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<AttemptId> auto& id) {
  visit("customer", id.customer);
  visit("task", id.task);
  visit("attempt", id.number);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<AttemptReport> auto& report) {
  Fields(visit, report.id);
  visit("state", report.state);
  visit("started", report.started);
  visit("kind", report.kind);
  visit("resources", report.resources);
  visit("checkpoint", report.checkpoint);
  visit("result", report.result);
  visit("lease_until_ms", report.lease_until);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<LeaseRenewal> auto& renewal) {
  Fields(visit, renewal.id);
  visit("task_epoch", renewal.task_epoch);
  visit("lease_until_ms", renewal.lease_until);
}

}  // namespace gypsumfall

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_WORKER_FIELDS_H_
