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

bool Interleaving::Fault(std::uint64_t percent) {
  if (healed_ || !Chance(percent)) return false;
  ++report_.faults;
  return true;
}

Duration Interleaving::Delay() {
  constexpr std::uint64_t kUsual = 20'000;
  constexpr std::uint64_t kSlow = 2'000'000;
  constexpr std::uint64_t kVeryLate = 45'000'000;
  std::uint64_t most = kUsual;
  if (Fault(6)) most = Chance(25) ? kVeryLate : kSlow;
  return Duration(static_cast<Duration::rep>(1 + Draw(most)));
}

Time Interleaving::LocalTime(const Owner& owner) const {
  const auto real = static_cast<double>(now_.time_since_epoch().count());
  return Time(Duration(static_cast<Duration::rep>(real * owner.rate)));
}

void Interleaving::At(Duration after, Body body) {
  pending_.emplace(std::pair(now_ + after, ++order_), std::move(body));
}

void Interleaving::ToOwner(Owner& owner, Duration after, Body body) {
  At(after, [this, &owner, body = std::move(body)] {
    if (owner.crashed) return;
    if (now_ < owner.paused_until) {
      ToOwner(owner, owner.paused_until - now_, body);
    } else {
      body();
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

void Interleaving::Step(Owner& owner) {
  if (!owner.journal->owned()) {
    owner.crashed = true;
    return;
  }
  RenewHostRow(owner);
  if (Chance(10)) {
    for (const auto& [id, worker] : workers_) Query(owner, id);
  }
  Do(owner, owner.table->Tick(LocalTime(owner)));
  Do(owner, owner.journal->Poll(LocalTime(owner)));
  if (owner.journal->SnapshotDue()) {
    Do(owner,
       owner.journal->BeginSnapshot(owner.table->Snapshot(), LocalTime(owner)));
  }
  ToOwner(owner, kStep, [this, &owner] { Step(owner); });
}

bool Interleaving::StoreReachable(const Owner& owner) const {
  return now_ >= store_down_until_ && now_ >= owner.store_cut_until;
}

void Interleaving::RenewHostRow(Owner& owner) {
  if (owner.lapsed || !StoreReachable(owner)) return;
  owner.renewed_at = now_;
  const Time sent_at = LocalTime(owner);
  ToOwner(owner, Delay(),
          [&owner, sent_at] { owner.table->OnAuthorityConfirmed(sent_at); });
}

void Interleaving::Do(Owner& owner, const TaskActions& actions) {
  for (const TaskAction& action : actions) {
    std::visit(
        Overloaded{
            [&](const AppendRecord& record) { Append(owner, record); },
            [&](const RequestReservation& r) { Reserve(owner, r); },
            [&](const StartAttempt& start) { Start(owner, start); },
            [&](const RenewAttempt& renew) {
              if (LocalTime(owner) >= renew.send_before) return;
              ToWorker(owner, renew.worker,
                       [renew](FakeWorker& worker) { worker.Renew(renew); });
              Query(owner, renew.worker);
            },
            [&](const QueryWorker& query) { Query(owner, query.worker); },
            [&](const StopAttempt& stop) { Stop(owner, stop); },
            [&](const AcknowledgeAttempt& acknowledge) {
              ToWorker(owner, acknowledge.worker,
                       [acknowledge](FakeWorker& worker) {
                         worker.Acknowledge(acknowledge);
                       });
            },
            [&](const Notify& notify) { Tell(notify.status); }},
        action);
  }
}

void Interleaving::Do(Owner& owner, const JournalActions& actions) {
  const Time now = LocalTime(owner);
  for (const JournalAction& action : actions) {
    std::visit(
        Overloaded{[&](const SendTransact& send) { Transact(owner, send); },
                   [&](const SendRead& send) { Read(owner, send); },
                   [&](const PutSnapshotObject& put) { PutObject(owner, put); },
                   [&](const DeleteSnapshotObject& gone) {
                     store_.objects.erase(gone.name);
                   },
                   [&](const Committed& committed) {
                     for (const JournalTicket ticket : committed.tickets) {
                       Do(owner, owner.table->OnDurable(ticket, now));
                     }
                   },
                   [&](const Lost& lost) {
                     for (const JournalTicket ticket : lost.tickets) {
                       Do(owner, owner.table->OnLost(ticket, now));
                     }
                   },
                   [&](const JournalRefused& refused) {
                     for (const JournalTicket ticket : refused.tickets) {
                       Do(owner,
                          owner.table->OnRefused(ticket, now, refused.reason));
                     }
                   }},
        action);
  }
}

void Interleaving::Append(Owner& owner, const AppendRecord& record) {
  const Time now = LocalTime(owner);
  const auto appended = owner.journal->Append(record.text, record.ticket, now);
  if (!appended) {
    Do(owner,
       owner.table->OnRefused(record.ticket, now, appended.error().kind));
  }
}

void Interleaving::Tell(const TaskStatus& status) {
  if (status.error) {
    if (status.was_run == WasRun::kNo) refused_.push_back(status.key);
    return;
  }
  history_.push_back({Event::Type::kAccepted, status.key});
  if (status.state == TaskState::kDone) {
    history_.push_back({Event::Type::kToldDone, status.key, status.attempt,
                        WorkerId(), status.result});
  } else if (status.ended() && status.was_run == WasRun::kNo) {
    history_.push_back({Event::Type::kToldNotRun, status.key});
  }
}

void Interleaving::ToWorker(Owner& owner, const WorkerId& worker,
                            std::function<void(FakeWorker&)> body) {
  if (now_ < owner.workers_cut_until || Fault(3)) return;
  const Duration pause =
      std::max(worker_paused_until_[worker] - now_, Duration(0));
  At(Delay() + pause,
     [this, worker, body = std::move(body)] { body(workers_.at(worker)); });
}

void Interleaving::Reserve(Owner& owner, const RequestReservation& request) {
  const WorkerId chosen("w" + std::to_string(Draw(workers_.size())));
  ToWorker(owner, chosen, [this, &owner, request](FakeWorker& worker) {
    Result<WorkerReading> granted = worker.reading();
    if (!worker.HasRoom()) granted = Fail(ErrorKind::kNoCapacity, "full");
    if (Fault(3)) return;
    ToOwner(owner, Delay(), [this, &owner, request, granted] {
      Do(owner,
         owner.table->OnReservation(request.id, granted, LocalTime(owner)));
    });
  });
}

void Interleaving::Start(Owner& owner, const StartAttempt& start) {
  if (LocalTime(owner) < start.send_before) {
    ++report_.attempts;
    ToWorker(owner, start.worker, [this, &owner, start](FakeWorker& worker) {
      const StartAttemptReply reply = worker.Start(start);
      if (Fault(5)) return;
      ToOwner(owner, Delay(), [this, &owner, start, reply] {
        Do(owner, owner.table->OnStartReply(start.id, reply, LocalTime(owner)));
      });
    });
  }
  ToOwner(owner, kAnswerTimeout, [this, &owner, start] {
    Do(owner, owner.table->OnStartUnknown(start.id, LocalTime(owner)));
  });
}

void Interleaving::Stop(Owner& owner, const StopAttempt& stop) {
  ToWorker(owner, stop.worker, [this, &owner, stop](FakeWorker& worker) {
    const WorkerReading reading = worker.reading();
    std::vector<AttemptReport> reports;
    if (reading.incarnation == stop.incarnation) {
      reports.push_back(worker.Stop(stop));
    }
    if (Fault(5)) return;
    ToOwner(owner, Delay(), [this, &owner, reading, reports] {
      Do(owner,
         owner.table->OnReports(reading, reports, false, LocalTime(owner)));
    });
  });
}

void Interleaving::Query(Owner& owner, const WorkerId& worker) {
  ToWorker(owner, worker, [this, &owner](FakeWorker& asked) {
    const WorkerReading reading = asked.reading();
    const std::vector<AttemptReport> reports = asked.Reports();
    const int copies = Fault(5) ? 2 : 1;
    for (int copy = 0; copy < copies && now_ >= owner.workers_cut_until;
         ++copy) {
      ToOwner(owner, Delay(), [this, &owner, reading, reports] {
        Do(owner,
           owner.table->OnReports(reading, reports, true, LocalTime(owner)));
      });
    }
  });
}

void Interleaving::AnswerLost(Owner& owner, JournalCall call) {
  ToOwner(owner, kAnswerTimeout, [this, &owner, call] {
    const Time now = LocalTime(owner);
    if (safeguards_.read_back) {
      Do(owner, owner.journal->OnTransactUnknown(call, now));
    } else {
      Do(owner, owner.journal->OnTransactReply(
                    call, {true, {RowVersion(1)}, {}}, now));
    }
  });
}

void Interleaving::Transact(Owner& owner, const SendTransact& send) {
  const JournalCall call = send.call;
  if (Fault(3)) {
    ToOwner(owner, Delay(), [this, &owner, call] {
      Do(owner, owner.journal->OnTransactNotApplied(call, LocalTime(owner)));
    });
    return;
  }
  if (!StoreReachable(owner)) return AnswerLost(owner, call);
  TransactCall transact = send.transact;
  if (!safeguards_.fence) transact.checks.erase(transact.checks.begin());
  const bool lost = Fault(8);
  At(Delay(), [this, &owner, call, transact, lost] {
    const TransactReply reply = store_.Transact(transact);
    if (lost) return;
    ToOwner(owner, Delay(), [this, &owner, call, reply] {
      Do(owner, owner.journal->OnTransactReply(call, reply, LocalTime(owner)));
    });
  });
  // Sent in any case: an answer that comes later is late.
  AnswerLost(owner, call);
}

void Interleaving::Read(Owner& owner, const SendRead& send) {
  const bool fails = !StoreReachable(owner) || Fault(5);
  At(Delay(), [this, &owner, send, fails] {
    const std::vector<Row> rows = store_.Read(send.read.keys);
    ToOwner(owner, Delay(), [this, &owner, send, rows, fails] {
      const Time now = LocalTime(owner);
      Do(owner, fails ? owner.journal->OnReadFailed(send.call, now)
                      : owner.journal->OnReadBack(send.call, rows, now));
    });
  });
}

void Interleaving::PutObject(Owner& owner, const PutSnapshotObject& put) {
  const bool stored = StoreReachable(owner) && !Fault(10);
  if (stored || Chance(50)) store_.objects[put.name] = put.text;
  ToOwner(owner, Delay(), [this, &owner, put, stored] {
    Do(owner, owner.journal->OnObjectPut(put.call, stored, LocalTime(owner)));
  });
}

}  // namespace gypsumfall::testing
