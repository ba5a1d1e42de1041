#include <string>
#include <string_view>

#include "gypsumfall/protocol/internal/codec_impl.h"
#include "gypsumfall/protocol/internal/worker_fields.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<HostSummary> auto& summary) {
  visit("host", summary.peer.id);
  visit("data_centre", summary.peer.data_centre);
  visit("address", summary.peer.address);
  visit("incarnation", summary.incarnation);
  visit("beat", summary.heartbeat_number);
  visit("leaving", summary.leaving);
  visit("spare_slots", summary.spare_slots);
  visit("contract_revision", summary.contract_revision);
  visit("owned_racks", summary.owned_racks);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<LoanDemand> auto& demand) {
  visit("customer", demand.customer);
  visit("version", demand.version);
  visit("burst", demand.burst);
  visit("concurrent", demand.concurrent);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<LoanGrant> auto& grant) {
  visit("lender", grant.id.lender);
  visit("number", grant.id.number);
  visit("customer", grant.customer);
  visit("version", grant.version);
  visit("burst", grant.burst);
  visit("concurrent", grant.concurrent);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<OwnedPartition> auto& partition) {
  visit("number", partition.number);
  visit("epoch", partition.epoch);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<HeartbeatMessage> auto& message) {
  visit("sender", message.heartbeat.sender);
  visit("relayed", message.heartbeat.relayed);
  visit("wants", message.demands.demands);
  visit("grants", message.grants.grants);
  visit("release", message.release);
  visit("partitions", message.partitions);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ForwardedCall> auto& call) {
  visit("from", call.from);
  visit("method", call.method);
  visit("target", call.target);
  visit("customer", call.customer);
  visit("body", call.body);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ForwardedRequest> auto& request) {
  visit("from", request.from);
  visit("exchange", request.exchange);
  visit("customer", request.customer);
  visit("id", request.id);
  visit("kind", request.kind);
  visit("payload", request.payload);
  visit("time_left_ms", request.time_left_ms);
  visit("resolve_only", request.resolve_only);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ForwardedRequestReply> auto& answer) {
  visit("was_run", answer.was_run);
  visit("error", answer.error);
  visit("detail", answer.detail);
  visit("result", answer.result);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ReserveCall> auto& call) {
  Fields(visit, call.id);
  visit("kind", call.kind);
  visit("resources", call.resources);
  visit("avoid", call.avoid);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ReserveReply> auto& reply) {
  Fields(visit, reply.id);
  visit("worker", reply.worker);
  visit("incarnation", reply.incarnation);
  visit("worker_clock_ms", reply.clock);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<PeerStartCall> auto& call) {
  visit("worker", call.worker);
  visit("incarnation", call.incarnation);
  Fields(visit, call.id);
  visit("kind", call.kind);
  visit("resources", call.resources);
  visit("payload", call.payload);
  visit("checkpoint", call.checkpoint);
  visit("task_epoch", call.task_epoch);
  visit("lease_until_ms", call.lease_until);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<PeerStartReply> auto& reply) {
  Fields(visit, reply.id);
  visit("unknown", reply.unknown);
  visit("refused", reply.refused);
  visit("worker_clock_ms", reply.clock);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<PlacedAttempt> auto& placed) {
  visit("worker", placed.worker);
  Fields(visit, placed.id);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<PeerRenewal> auto& renewal) {
  visit("worker", renewal.worker);
  visit("incarnation", renewal.incarnation);
  Fields(visit, renewal.renewal);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<AttemptsCall> auto& call) {
  visit("from", call.from);
  visit("partition", call.partition);
  visit("reserve", call.reserve);
  visit("start", call.start);
  visit("stop", call.stop);
  visit("renew", call.renew);
  visit("acknowledge", call.acknowledge);
  visit("query", call.query);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<WorkerAttemptReports> auto& reports) {
  visit("worker", reports.worker);
  visit("incarnation", reports.incarnation);
  visit("worker_clock_ms", reports.clock);
  visit("attempts", reports.attempts);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<AttemptsReply> auto& reply) {
  visit("reserved", reply.reserved);
  visit("started", reply.started);
  visit("reports", reply.reports);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<AttemptsChanged> auto& changed) {
  visit("from", changed.from);
  visit("partition", changed.partition);
  visit("reports", changed.reports);
}

template std::string Encode(const HeartbeatMessage&);
template std::string Encode(const ForwardedCall&);
template std::string Encode(const ForwardedRequest&);
template std::string Encode(const ForwardedRequestReply&);
template std::string Encode(const AttemptsCall&);
template std::string Encode(const AttemptsReply&);
template std::string Encode(const AttemptsChanged&);
template Result<HeartbeatMessage> Decode(std::string_view);
template Result<ForwardedCall> Decode(std::string_view);
template Result<ForwardedRequest> Decode(std::string_view);
template Result<ForwardedRequestReply> Decode(std::string_view);
template Result<AttemptsCall> Decode(std::string_view);
template Result<AttemptsReply> Decode(std::string_view);
template Result<AttemptsChanged> Decode(std::string_view);

}  // namespace gypsumfall
