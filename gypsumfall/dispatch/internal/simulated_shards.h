#ifndef GYPSUMFALL_DISPATCH_INTERNAL_SIMULATED_SHARDS_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_SIMULATED_SHARDS_H_

// A simulation for tests of this library: several shards, each with its
// workers, that read the transfers and cancellations of each other.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace gypsumfall {

/// Several shards with sliced jobs and with jobs that one shard holds at a
/// time. Checks over all shards that no task runs twice at a time and that the
/// run numbers of a task rise.
class SimulatedShards {
 public:
  /// @param balances_jobs whether jobs move because of the load.
  explicit SimulatedShards(int shard_count, bool balances_jobs = false) {
    for (int i = 0; i < shard_count; ++i) {
      const ShardId shard(static_cast<std::uint64_t>(i));
      shards_.push_back(std::make_unique<Shard>(
          shard, static_cast<std::uint64_t>(shard_count - 1), balances_jobs));
      shards_.back()->cluster.on_transfer_stored =
          [this](const TaskTransfer& transfer) {
            changes_.emplace_back(transfer);
          };
      shards_.back()->cluster.on_move_stored = [this](const JobMove& move) {
        changes_.emplace_back(move);
        ++move_count_;
        if (move.for_load && !IsFinal(move.progress.state))
          ++load_moves_[move.record.id];
      };
      shards_.back()->cluster.on_move_removed = [this, shard](const JobId& id) {
        if (homes_.at(id) == shard) changes_.emplace_back(HomeMoveRemoved{id});
      };
      shards_.back()->cluster.read_moves = [this] { return StoredMoves(); };
    }
  }

  int shard_count() const { return static_cast<int>(shards_.size()); }
  SimulatedCluster& shard(int index) {
    return shards_[static_cast<std::size_t>(index)]->cluster;
  }
  Time now() { return shard(0).now(); }

  /// Submits a slice of the job to each shard.
  void Submit(const std::string& id, const JobSpec& spec) {
    for (int i = 0; i < shard_count(); ++i) {
      JobRecord record = shard(i).Record(id, spec);
      record.accepted_epoch = Epoch(1);
      shard(i).Submit(record,
                      {.first = static_cast<std::uint64_t>(i),
                       .stride = static_cast<std::uint64_t>(shard_count())});
    }
  }

  /// Submits a job that is not sliced to its home shard.
  void SubmitWhole(int home, const std::string& id, const JobSpec& spec,
                   int max_attempts = 2) {
    homes_[JobId(id)] = ShardId(static_cast<std::uint64_t>(home));
    for (auto& other : shards_) other->cluster.specs[JobId(id)] = spec;
    shard(home).Submit(shard(home).Record(id, spec, max_attempts));
  }

  /// Submits a job as a host does that accepts it.
  void SubmitAccepted(int home, const std::string& id, const JobSpec& spec) {
    if (IsSliceable(spec)) {
      Submit(id, spec);
    } else {
      SubmitWhole(home, id, spec);
    }
  }

  /// @return the state of a job that is not sliced, as a host that starts at
  ///   the home shard finds it.
  JobStateReply StateOf(const JobId& id) {
    JobStateReply reply = DispatcherOf(homes_.at(id)).StateOf(id);
    for (int hops = 0; reply.moved_to && hops < shard_count(); ++hops) {
      const JobStateReply next = DispatcherOf(*reply.moved_to).StateOf(id);
      if (!next.known) break;
      reply = next;
    }
    return reply;
  }

  /// Cancels a job that is not sliced like a host that repeats the call until
  /// the shard that holds the job has answered.
  /// @return whether that shard was found.
  bool CancelWhole(const JobId& id) {
    ShardId holder = homes_.at(id);
    for (int hops = 0; hops <= shard_count(); ++hops) {
      SimulatedCluster& cluster = shard(static_cast<int>(holder.value()));
      if (cluster.dispatcher().IsMoving(id)) return false;
      if (cluster.dispatcher().Cancel(id, now(), cluster.WallNow()))
        return true;
      const JobStateReply reply = cluster.dispatcher().StateOf(id);
      if (!reply.moved_to) return false;
      holder = *reply.moved_to;
    }
    return false;
  }

  /// Stores the cancellation of a sliced job; shards that read changes apply
  /// it.
  void Cancel(const JobId& id) {
    for (auto& other : shards_) other->cluster.cancelled_slices.insert(id);
    changes_.emplace_back(id);
  }

  /// Simulates `duration` in steps of 10 ms.
  void Advance(Duration duration) {
    const Time end = now() + duration;
    while (now() < end) {
      for (auto& other : shards_) other->cluster.Advance(kSimulationStep);
      for (int i = 0; i < shard_count(); ++i) {
        if (shards_[static_cast<std::size_t>(i)]->reads_changes) ReadChanges(i);
        DeliverReply(i);
        if (offers_tasks && now() >= NextOffer(i)) OfferTasks(i);
        DeliverJobReply(i);
        if (offers_jobs && now() >= NextJobOffer(i)) OfferJobs(i);
      }
      CheckRuns();
    }
  }

  /// Makes a shard read the changes of `Cancel` and of other shards at once, or
  /// only when it is replaced or `ReadChanges` is called.
  void SetReadsChanges(int index, bool reads) {
    shards_[static_cast<std::size_t>(index)]->reads_changes = reads;
  }

  void ReadChanges(int index) {
    Shard& reader = *shards_[static_cast<std::size_t>(index)];
    for (; reader.position < changes_.size(); ++reader.position) {
      ApplyChange(reader, changes_[reader.position]);
    }
  }

  /// Applies a transfer or move again that the shard has read before.
  /// @param position index of the change, of which only those count.
  void ReadAgain(int index, std::size_t position) {
    Shard& reader = *shards_[static_cast<std::size_t>(index)];
    if (position >= reader.position) return;
    if (const auto* transfer = std::get_if<TaskTransfer>(&changes_[position]))
      reader.cluster.dispatcher().ApplyTransfer(*transfer, now());
    // A successor reads no changes from before its takeover.
    if (position >= reader.first_position &&
        std::holds_alternative<JobMove>(changes_[position])) {
      ApplyChange(reader, changes_[position]);
    }
  }

  /// Replaces the scheduler of a shard by a successor, which reads what all
  /// shards have stored.
  void TakeOver(int index) {
    Shard& successor = *shards_[static_cast<std::size_t>(index)];
    successor.cluster.TakeOver();
    for (auto& other : shards_) {
      if (other.get() == &successor) continue;
      for (const auto& [name, transfer] : other->cluster.stored_transfers) {
        successor.cluster.dispatcher().ApplyTransfer(transfer, now());
      }
    }
    successor.position = successor.first_position = changes_.size();
  }

  /// Offers the waiting tasks of a shard to the next other shard.
  void OfferTasks(int index) {
    Shard& giver = *shards_[static_cast<std::size_t>(index)];
    giver.next_offer = now() + kOfferInterval;
    if (giver.reply) return;
    const int other = (index + giver.next_offset) % shard_count();
    const ShardId other_id(static_cast<std::uint64_t>(other));
    const std::vector<TaskName> tasks =
        giver.cluster.dispatcher().TasksToTransfer(other_id, now(),
                                                   kMaxTasksPerOffer);
    if (tasks.empty()) return;
    giver.next_offset = giver.next_offset % (shard_count() - 1) + 1;
    Reply reply{
        .arrives = now() + reply_delay(), .shard = other_id, .reserved = {}};
    for (const TaskName& name : tasks) {
      const bool unplaceable =
          giver.cluster.dispatcher().IsUnplaceable(name, now());
      if (shard(other).dispatcher().ReservePlace(name, now(), unplaceable))
        reply.reserved.push_back(name);
    }
    giver.reply = std::move(reply);
    DeliverReply(index);
  }

  /// Offers the waiting jobs of a shard to the next other shard.
  void OfferJobs(int index) {
    Shard& giver = *shards_[static_cast<std::size_t>(index)];
    giver.next_job_offer = now() + kOfferInterval;
    if (giver.job_reply) return;
    const int other = (index + giver.next_job_offset) % shard_count();
    const ShardId other_id(static_cast<std::uint64_t>(other));
    const std::vector<JobOffer> offers = giver.cluster.dispatcher().JobsToMove(
        other_id, now(), kMaxJobsPerOffer);
    const std::vector<LoadOffer> load_offers =
        giver.cluster.dispatcher().JobsToMoveForLoad(now(), kMaxJobsPerOffer);
    if (offers.empty() && load_offers.empty()) return;
    giver.next_job_offset = giver.next_job_offset % (shard_count() - 1) + 1;
    Dispatcher& receiver = shard(other).dispatcher();
    JobReply reply{
        .arrives = now() + reply_delay(),
        .shard = other_id,
        .epoch = receiver.epoch(),
        .wanted = {},
        .wanted_for_load = receiver.ChooseForLoad(load_offers, now())};
    for (const JobOffer& offer : offers) {
      if (receiver.WantsJob(offer, now())) reply.wanted.push_back(offer.job);
    }
    giver.job_reply = std::move(reply);
    DeliverJobReply(index);
  }

  /// @return the moves that all shards have stored.
  std::vector<JobMove> StoredMoves() const {
    std::vector<JobMove> moves;
    for (const auto& other : shards_) {
      for (const auto& [id, move] : other->cluster.stored_moves)
        moves.push_back(move);
    }
    return moves;
  }

  /// @return the number of runs of the task in all shards.
  int RunningNow(const TaskName& name) const {
    int count = 0;
    for (const auto& other : shards_) count += other->cluster.RunningNow(name);
    return count;
  }
  /// @return the highest number of a run of the task.
  RunNumber HighestRun(const TaskName& name) const {
    const auto found = latest_runs_.find(name);
    return found == latest_runs_.end() ? RunNumber() : found->second.number;
  }
  /// @return the number of transfers that shards have stored.
  int transfer_count() const {
    return static_cast<int>(
        std::count_if(changes_.begin(), changes_.end(), [](const auto& change) {
          return std::holds_alternative<TaskTransfer>(change);
        }));
  }
  /// @return the number of moves that shards have stored, ends included.
  int move_count() const { return move_count_; }
  /// @return by job, the number of moves for load and of later moves of the
  ///   same job before its end.
  const std::map<JobId, int>& load_moves() const { return load_moves_; }
  /// @return the number of starts of the task in all shards.
  int StartsOf(const TaskName& name) const {
    int count = 0;
    for (const auto& other : shards_) {
      const auto found = other->cluster.starts.find(name);
      if (found != other->cluster.starts.end()) count += found->second;
    }
    return count;
  }
  /// @return the number of stored changes that shards read.
  std::size_t change_count() const { return changes_.size(); }
  /// @return descriptions of violated invariants.
  std::vector<std::string> Violations() const {
    std::vector<std::string> all = violations_;
    for (const auto& other : shards_) {
      const auto& found = other->cluster.violations;
      all.insert(all.end(), found.begin(), found.end());
    }
    return all;
  }

  /// Whether shards offer waiting tasks, and waiting jobs, to each other.
  bool offers_tasks = true;
  bool offers_jobs = true;
  /// Returns the time after which the answer to an offer is applied.
  std::function<Duration()> reply_delay = [] { return Duration{0}; };

 private:
  // Those of the transfer service of the scheduler.
  static constexpr Duration kOfferInterval = milliseconds(500);
  static constexpr std::size_t kMaxTasksPerOffer = 16;
  static constexpr std::size_t kMaxJobsPerOffer = 64;

  /// The answer to an offer of tasks.
  struct Reply {
    Time arrives{};
    ShardId shard;
    std::vector<TaskName> reserved;
  };

  /// The answer to an offer of jobs.
  struct JobReply {
    Time arrives{};
    ShardId shard;
    Epoch epoch;
    std::vector<JobId> wanted;
    std::vector<JobId> wanted_for_load;
  };

  struct Shard {
    Shard(ShardId id, std::uint64_t other_shards, bool balances_jobs)
        : cluster(0, {}, id, other_shards, balances_jobs) {}

    SimulatedCluster cluster;
    bool reads_changes = true;
    /// Number of changes that the scheduler has read.
    std::size_t position = 0;
    /// Number of changes that were stored before its takeover.
    std::size_t first_position = 0;
    Time next_offer{};
    int next_offset = 1;
    std::optional<Reply> reply;
    Time next_job_offer{};
    int next_job_offset = 1;
    std::optional<JobReply> job_reply;
  };

  /// The home shard of a job has removed its move.
  struct HomeMoveRemoved {
    JobId id;
  };

  struct LatestRun {
    RunNumber number;
    std::size_t shard = 0;
    WorkerId worker;
  };

  /// A stored transfer or move, or the id of a cancelled job.
  using Change = std::variant<TaskTransfer, JobId, JobMove, HomeMoveRemoved>;

  Dispatcher& DispatcherOf(ShardId id) {
    return shard(static_cast<int>(id.value())).dispatcher();
  }

  Time NextJobOffer(int index) const {
    return shards_[static_cast<std::size_t>(index)]->next_job_offer;
  }

  Time NextOffer(int index) const {
    return shards_[static_cast<std::size_t>(index)]->next_offer;
  }

  void ApplyChange(Shard& reader, const Change& change) {
    Dispatcher& dispatcher = reader.cluster.dispatcher();
    if (const auto* transfer = std::get_if<TaskTransfer>(&change)) {
      dispatcher.ApplyTransfer(*transfer, now());
    } else if (const auto* move = std::get_if<JobMove>(&change)) {
      dispatcher.ApplyMove(*move, now(), reader.cluster.WallNow());
    } else if (const auto* removed = std::get_if<HomeMoveRemoved>(&change)) {
      dispatcher.OnHomeMoveRemoved(removed->id, now());
    } else {
      dispatcher.Cancel(std::get<JobId>(change), now(),
                        reader.cluster.WallNow());
    }
  }

  void DeliverReply(int index) {
    Shard& giver = *shards_[static_cast<std::size_t>(index)];
    if (!giver.reply || now() < giver.reply->arrives) return;
    for (const TaskName& name : giver.reply->reserved) {
      giver.cluster.dispatcher().TransferTask(name, giver.reply->shard);
    }
    giver.reply.reset();
  }

  void DeliverJobReply(int index) {
    Shard& giver = *shards_[static_cast<std::size_t>(index)];
    if (!giver.job_reply || now() < giver.job_reply->arrives) return;
    for (const JobId& id : giver.job_reply->wanted) {
      giver.cluster.dispatcher().MoveJob(id, giver.job_reply->shard,
                                         giver.job_reply->epoch, now());
    }
    for (const JobId& id : giver.job_reply->wanted_for_load) {
      giver.cluster.dispatcher().MoveJobForLoad(id, giver.job_reply->shard,
                                                giver.job_reply->epoch, now());
    }
    giver.job_reply.reset();
  }

  void CheckRuns() {
    std::map<TaskName, int> counts;
    for (std::size_t i = 0; i < shards_.size(); ++i) {
      for (const auto& [id, worker] : shards_[i]->cluster.workers()) {
        for (const auto& [name, run] : worker.runs) {
          if (++counts[name] == 2) AddViolation("runs in two places", name);
          CheckNumber(name, {run.number, i, id});
        }
      }
    }
  }

  void CheckNumber(const TaskName& name, const LatestRun& run) {
    const auto [found, first] = latest_runs_.try_emplace(name, run);
    if (first) return;
    LatestRun& latest = found->second;
    const bool same = latest.number == run.number &&
                      latest.shard == run.shard && latest.worker == run.worker;
    if (same) return;
    if (run.number <= latest.number)
      AddViolation("has a run whose number does not rise", name);
    latest = run;
  }

  void AddViolation(const std::string& text, const TaskName& name) {
    violations_.push_back(
        name.job.str() + "/" + std::to_string(name.index) + " " + text +
        " at " + std::to_string((now() - kSimulationStart) / milliseconds(1)) +
        " ms");
  }

  std::vector<std::unique_ptr<Shard>> shards_;
  std::vector<Change> changes_;
  int move_count_ = 0;
  std::map<JobId, int> load_moves_;
  /// Home shards of the jobs that are not sliced.
  std::map<JobId, ShardId> homes_;
  std::map<TaskName, LatestRun> latest_runs_;
  std::vector<std::string> violations_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_SIMULATED_SHARDS_H_
