#include <string>
#include <string_view>

#include "gypsumfall/protocol/internal/codec_impl.h"
#include "gypsumfall/protocol/internal/worker_fields.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<CommandHeader> auto& header) {
  visit("owner", header.owner);
  visit("epoch", header.epoch);
  visit("incarnation", header.incarnation);
  visit("valid_until_ms", header.valid_until);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ExchangeReport> auto& report) {
  visit("exchange", report.id);
  visit("resources", report.resources);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<UsageReport> auto& usage) {
  visit("kind", usage.kind);
  visit("used", usage.used);
  visit("measured_at_ms", usage.measured_at);
  visit("slowdown_permille", usage.slowdown_permille);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<AttachCall> auto& call) {
  visit("owner", call.owner);
  visit("epoch", call.epoch);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<AttachReply> auto& reply) {
  visit("accepted", reply.accepted);
  visit("highest_epoch", reply.highest_epoch);
  visit("owner", reply.owner);
  visit("incarnation", reply.incarnation);
  visit("worker_clock_ms", reply.clock);
  visit("resources", reply.capacity);
  visit("slots", reply.slots);
  visit("connections", reply.connections);
  visit("leaving", reply.leaving);
  visit("attempts", reply.attempts);
  visit("exchanges", reply.exchanges);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<WorkerHeartbeatCall> auto& call) {
  Fields(visit, call.header);
  visit("renewals", call.renewals);
  visit("acknowledged", call.acknowledged);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<WorkerHeartbeatReply> auto& reply) {
  visit("refused", reply.refused);
  visit("incarnation", reply.incarnation);
  visit("worker_clock_ms", reply.clock);
  visit("leaving", reply.leaving);
  visit("attempts", reply.attempts);
  visit("usage", reply.usage);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<RunRequestCall> auto& call) {
  Fields(visit, call.header);
  visit("exchange", call.exchange);
  visit("kind", call.kind);
  visit("resources", call.resources);
  visit("payload", call.payload);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<RequestReply> auto& reply) {
  visit("exchange", reply.exchange);
  visit("state", reply.state);
  visit("refused", reply.refused);
  visit("result", reply.result);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<CancelRequestCall> auto& call) {
  Fields(visit, call.header);
  visit("exchange", call.exchange);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<StartAttemptCall> auto& call) {
  Fields(visit, call.header);
  Fields(visit, call.id);
  visit("kind", call.kind);
  visit("resources", call.resources);
  visit("payload", call.payload);
  visit("checkpoint", call.checkpoint);
  visit("task_epoch", call.task_epoch);
  visit("lease_until_ms", call.lease_until);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<StartAttemptReply> auto& reply) {
  visit("refused", reply.refused);
  visit("worker_clock_ms", reply.clock);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<StopAttemptCall> auto& call) {
  Fields(visit, call.header);
  Fields(visit, call.id);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<StopAttemptReply> auto& reply) {
  visit("refused", reply.refused);
  visit("report", reply.report);
}

template std::string Encode(const AttemptId&);
template std::string Encode(const AttemptReport&);
template std::string Encode(const ExchangeReport&);
template std::string Encode(const UsageReport&);
template std::string Encode(const CommandHeader&);
template std::string Encode(const AttachCall&);
template std::string Encode(const AttachReply&);
template std::string Encode(const LeaseRenewal&);
template std::string Encode(const WorkerHeartbeatCall&);
template std::string Encode(const WorkerHeartbeatReply&);
template std::string Encode(const RunRequestCall&);
template std::string Encode(const RequestReply&);
template std::string Encode(const CancelRequestCall&);
template std::string Encode(const StartAttemptCall&);
template std::string Encode(const StartAttemptReply&);
template std::string Encode(const StopAttemptCall&);
template std::string Encode(const StopAttemptReply&);
template Result<AttemptId> Decode(std::string_view);
template Result<AttemptReport> Decode(std::string_view);
template Result<ExchangeReport> Decode(std::string_view);
template Result<UsageReport> Decode(std::string_view);
template Result<CommandHeader> Decode(std::string_view);
template Result<AttachCall> Decode(std::string_view);
template Result<AttachReply> Decode(std::string_view);
template Result<LeaseRenewal> Decode(std::string_view);
template Result<WorkerHeartbeatCall> Decode(std::string_view);
template Result<WorkerHeartbeatReply> Decode(std::string_view);
template Result<RunRequestCall> Decode(std::string_view);
template Result<RequestReply> Decode(std::string_view);
template Result<CancelRequestCall> Decode(std::string_view);
template Result<StartAttemptCall> Decode(std::string_view);
template Result<StartAttemptReply> Decode(std::string_view);
template Result<StopAttemptCall> Decode(std::string_view);
template Result<StopAttemptReply> Decode(std::string_view);

}  // namespace gypsumfall
