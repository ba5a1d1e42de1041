#include "testing/interleaving.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gypsumfall::testing {
namespace {

template <typename... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

constexpr Duration kStep = milliseconds(200);
constexpr Duration kAnswerTimeout = seconds(1);

}  // namespace

bool Interleaving::InjectFault(std::uint64_t percent) {
  if (healed_ || !Chance(percent)) return false;
  ++report_.faults;
  return true;
}

Duration Interleaving::RandomDelay() {
  constexpr std::uint64_t kUsual = 20'000;
  constexpr std::uint64_t kSlow = 2'000'000;
  constexpr std::uint64_t kVeryLate = 45'000'000;
  std::uint64_t max_delay = kUsual;
  if (InjectFault(6)) max_delay = Chance(25) ? kVeryLate : kSlow;
  return Duration(static_cast<Duration::rep>(1 + Draw(max_delay)));
}

Time Interleaving::LocalTime(const Owner& owner) const {
  const auto real = static_cast<double>(now_.time_since_epoch().count());
  return Time(Duration(static_cast<Duration::rep>(real * owner.clock_rate)));
}

void Interleaving::ScheduleAfter(Duration after, Callback callback) {
  pending_.emplace(std::pair(now_ + after, ++last_sequence_),
                   std::move(callback));
}

void Interleaving::ScheduleOnOwner(Owner& owner, Duration after,
                                   Callback callback) {
  ScheduleAfter(after, [this, &owner, callback = std::move(callback)] {
    if (owner.crashed) return;
    if (now_ < owner.paused_until) {
      ScheduleOnOwner(owner, owner.paused_until - now_, callback);
    } else {
      callback();
    }
  });
}

void Interleaving::RunUntil(Time end) {
  while (!pending_.empty() && pending_.begin()->first.first <= end) {
    const auto next = pending_.extract(pending_.begin());
    now_ = next.key().first;
    for (auto& [id, worker] : workers_) worker.AdvanceTo(now_);
    next.mapped()();
  }
  now_ = end;
  for (auto& [id, worker] : workers_) worker.AdvanceTo(now_);
}

void Interleaving::TickOwner(Owner& owner) {
  if (!owner.journal->owned()) {
    owner.crashed = true;
    return;
  }
  RenewHostRow(owner);
  if (Chance(10)) {
    for (const auto& [id, worker] : workers_) Query(owner, id);
  }
  Execute(owner, owner.table->Tick(LocalTime(owner)));
  Execute(owner, owner.journal->Poll(LocalTime(owner)));
  if (owner.journal->SnapshotDue()) {
    Execute(owner, owner.journal->BeginSnapshot(owner.table->Snapshot(),
                                                LocalTime(owner)));
  }
  ScheduleOnOwner(owner, kStep, [this, &owner] { TickOwner(owner); });
}

bool Interleaving::StoreReachable(const Owner& owner) const {
  return now_ >= store_down_until_ && now_ >= owner.store_unreachable_until;
}

void Interleaving::RenewHostRow(Owner& owner) {
  if (owner.lease_expired || !StoreReachable(owner)) return;
  owner.renewed_at = now_;
  const Time sent_at = LocalTime(owner);
  ScheduleOnOwner(owner, RandomDelay(), [&owner, sent_at] {
    owner.table->OnHostLeaseRenewed(sent_at);
  });
}

void Interleaving::Execute(Owner& owner, const TaskActions& actions) {
  for (const TaskAction& action : actions) {
    std::visit(
        Overloaded{
            [&](const AppendRecord& record) { Append(owner, record); },
            [&](const RequestReservation& r) { Reserve(owner, r); },
            [&](const StartAttempt& start) { Start(owner, start); },
            [&](const RenewAttempt& renew) {
              if (LocalTime(owner) >= renew.send_before) return;
              SendToWorker(owner, renew.worker, [renew](FakeWorker& worker) {
                worker.Renew(renew);
              });
              Query(owner, renew.worker);
            },
            [&](const QueryWorker& query) { Query(owner, query.worker); },
            [&](const StopAttempt& stop) { Stop(owner, stop); },
            [&](const AcknowledgeAttempt& acknowledge) {
              SendToWorker(owner, acknowledge.worker,
                           [acknowledge](FakeWorker& worker) {
                             worker.Acknowledge(acknowledge);
                           });
            },
            [&](const Notify& notify) { RecordStatus(notify.status); }},
        action);
  }
}

void Interleaving::Execute(Owner& owner, const JournalActions& actions) {
  const Time now = LocalTime(owner);
  for (const JournalAction& action : actions) {
    std::visit(
        Overloaded{
            [&](const SendTransact& send) { Transact(owner, send); },
            [&](const SendRead& send) { Read(owner, send); },
            [&](const PutSnapshotObject& put) { PutObject(owner, put); },
            [&](const DeleteSnapshotObject& deletion) {
              store_.objects.erase(deletion.name);
            },
            [&](const RecordsCommitted& committed) {
              for (const JournalRecordId record_id : committed.record_ids) {
                Execute(owner, owner.table->OnRecordDurable(record_id, now));
              }
            },
            [&](const RecordsUnknown& lost) {
              for (const JournalRecordId record_id : lost.record_ids) {
                Execute(owner, owner.table->OnRecordUnknown(record_id, now));
              }
            },
            [&](const RecordsRefused& refused) {
              for (const JournalRecordId record_id : refused.record_ids) {
                Execute(owner, owner.table->OnRecordRefused(record_id, now,
                                                            refused.reason));
              }
            }},
        action);
  }
}

void Interleaving::Append(Owner& owner, const AppendRecord& record) {
  const Time now = LocalTime(owner);
  const auto appended =
      owner.journal->Append(record.text, record.record_id, now);
  if (!appended) {
    Execute(owner, owner.table->OnRecordRefused(record.record_id, now,
                                                appended.error().kind));
  }
}

void Interleaving::RecordStatus(const TaskStatus& status) {
  if (status.error) {
    if (status.was_run == WasRun::kNo) refused_.push_back(status.key);
    return;
  }
  history_.push_back({Event::Type::kAccepted, status.key});
  if (status.state == TaskState::kDone) {
    history_.push_back({Event::Type::kReportedDone, status.key, status.attempt,
                        WorkerId(), status.result});
  } else if (status.ended() && status.was_run == WasRun::kNo) {
    history_.push_back({Event::Type::kReportedNotRun, status.key});
  }
}

void Interleaving::SendToWorker(Owner& owner, const WorkerId& worker,
                                std::function<void(FakeWorker&)> callback) {
  if (now_ < owner.workers_unreachable_until || InjectFault(3)) return;
  const Duration pause =
      std::max(worker_paused_until_[worker] - now_, Duration(0));
  ScheduleAfter(RandomDelay() + pause,
                [this, worker, callback = std::move(callback)] {
                  callback(workers_.at(worker));
                });
}

void Interleaving::Reserve(Owner& owner, const RequestReservation& request) {
  const WorkerId chosen("w" + std::to_string(Draw(workers_.size())));
  SendToWorker(owner, chosen, [this, &owner, request](FakeWorker& worker) {
    Result<WorkerClockReading> granted = worker.reading();
    if (!worker.HasFreeSlot()) granted = Fail(ErrorKind::kNoCapacity, "full");
    if (InjectFault(3)) return;
    ScheduleOnOwner(owner, RandomDelay(), [this, &owner, request, granted] {
      Execute(owner, owner.table->OnReservation(request.id, granted,
                                                LocalTime(owner)));
    });
  });
}

void Interleaving::Start(Owner& owner, const StartAttempt& start) {
  if (LocalTime(owner) < start.send_before) {
    ++report_.attempts;
    SendToWorker(
        owner, start.worker, [this, &owner, start](FakeWorker& worker) {
          const StartAttemptReply reply = worker.Start(start);
          if (InjectFault(5)) return;
          ScheduleOnOwner(owner, RandomDelay(), [this, &owner, start, reply] {
            Execute(owner, owner.table->OnStartReply(start.id, reply,
                                                     LocalTime(owner)));
          });
        });
  }
  ScheduleOnOwner(owner, kAnswerTimeout, [this, &owner, start] {
    Execute(owner, owner.table->OnStartUnknown(start.id, LocalTime(owner)));
  });
}

void Interleaving::Stop(Owner& owner, const StopAttempt& stop) {
  SendToWorker(owner, stop.worker, [this, &owner, stop](FakeWorker& worker) {
    const WorkerClockReading reading = worker.reading();
    std::vector<AttemptReport> reports;
    if (reading.incarnation == stop.incarnation) {
      reports.push_back(worker.Stop(stop));
    }
    if (InjectFault(5)) return;
    ScheduleOnOwner(owner, RandomDelay(), [this, &owner, reading, reports] {
      Execute(owner, owner.table->OnReports(reading, reports, false,
                                            LocalTime(owner)));
    });
  });
}

void Interleaving::Query(Owner& owner, const WorkerId& worker) {
  SendToWorker(owner, worker, [this, &owner](FakeWorker& queried) {
    const WorkerClockReading reading = queried.reading();
    const std::vector<AttemptReport> reports = queried.Reports();
    const int copies = InjectFault(5) ? 2 : 1;
    for (int copy = 0; copy < copies && now_ >= owner.workers_unreachable_until;
         ++copy) {
      ScheduleOnOwner(owner, RandomDelay(), [this, &owner, reading, reports] {
        Execute(owner, owner.table->OnReports(reading, reports, true,
                                              LocalTime(owner)));
      });
    }
  });
}

void Interleaving::ScheduleAnswerTimeout(Owner& owner, JournalCall call) {
  ScheduleOnOwner(owner, kAnswerTimeout, [this, &owner, call] {
    const Time now = LocalTime(owner);
    if (safeguards_.read_back) {
      Execute(owner, owner.journal->OnTransactUnknown(call, now));
    } else {
      Execute(owner, owner.journal->OnTransactReply(
                         call, {true, {RowVersion(1)}, {}}, now));
    }
  });
}

void Interleaving::Transact(Owner& owner, const SendTransact& send) {
  const JournalCall call = send.call;
  if (InjectFault(3)) {
    ScheduleOnOwner(owner, RandomDelay(), [this, &owner, call] {
      Execute(owner,
              owner.journal->OnTransactNotApplied(call, LocalTime(owner)));
    });
    return;
  }
  if (!StoreReachable(owner)) return ScheduleAnswerTimeout(owner, call);
  TransactCall transact = send.transact;
  if (!safeguards_.fence) transact.checks.erase(transact.checks.begin());
  const bool lost = InjectFault(8);
  ScheduleAfter(RandomDelay(), [this, &owner, call, transact, lost] {
    const TransactReply reply = store_.Transact(transact);
    if (lost) return;
    ScheduleOnOwner(owner, RandomDelay(), [this, &owner, call, reply] {
      Execute(owner,
              owner.journal->OnTransactReply(call, reply, LocalTime(owner)));
    });
  });
  // Always scheduled: the journal ignores the timeout if the answer arrives
  // first.
  ScheduleAnswerTimeout(owner, call);
}

void Interleaving::Read(Owner& owner, const SendRead& send) {
  const bool fails = !StoreReachable(owner) || InjectFault(5);
  ScheduleAfter(RandomDelay(), [this, &owner, send, fails] {
    const std::vector<Row> rows = store_.Read(send.read.keys);
    ScheduleOnOwner(owner, RandomDelay(), [this, &owner, send, rows, fails] {
      const Time now = LocalTime(owner);
      Execute(owner, fails ? owner.journal->OnReadFailed(send.call, now)
                           : owner.journal->OnReadBack(send.call, rows, now));
    });
  });
}

void Interleaving::PutObject(Owner& owner, const PutSnapshotObject& put) {
  const bool stored = StoreReachable(owner) && !InjectFault(10);
  if (stored || Chance(50)) store_.objects[put.name] = put.text;
  ScheduleOnOwner(owner, RandomDelay(), [this, &owner, put, stored] {
    Execute(owner,
            owner.journal->OnObjectPut(put.call, stored, LocalTime(owner)));
  });
}

}  // namespace gypsumfall::testing
