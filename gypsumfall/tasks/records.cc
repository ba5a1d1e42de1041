#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

#include "gypsumfall/tasks/internal/durable_task.h"

namespace gypsumfall {
namespace {

namespace json = boost::json;

// Reads the fields of one JSON object. After a missing field or one of another
// type, ok() returns false.
class FieldReader {
 public:
  explicit FieldReader(const json::value& value) : object_(value.if_object()) {}

  bool ok() const { return ok_ && object_ != nullptr; }

  std::string Text(std::string_view name) {
    const json::value* value = Find(name);
    const json::string* text = value ? value->if_string() : nullptr;
    if (text == nullptr) {
      ok_ = false;
      return {};
    }
    return std::string(text->data(), text->size());
  }

  std::int64_t Number(std::string_view name) {
    const json::value* value = Find(name);
    const std::int64_t* number = value ? value->if_int64() : nullptr;
    if (number == nullptr) ok_ = false;
    return number ? *number : 0;
  }

  bool Flag(std::string_view name) { return Number(name) != 0; }

  template <typename Strong>
  Strong As(std::string_view name) {
    return Strong(static_cast<decltype(Strong().value())>(Number(name)));
  }

 private:
  const json::value* Find(std::string_view name) const {
    return object_ ? object_->if_contains(name) : nullptr;
  }

  const json::object* object_;
  bool ok_ = true;
};

template <typename Strong>
std::int64_t ToInt64(Strong strong) {
  return static_cast<std::int64_t>(strong.value());
}

std::int64_t ToInt64(bool flag) { return flag ? 1 : 0; }

json::object ForKey(std::string_view type, const TaskKey& key) {
  return {{"t", type}, {"c", key.customer.str()}, {"k", key.task.str()}};
}

TaskKey ReadKey(FieldReader& reader) {
  return {CustomerId(reader.Text("c")), TaskId(reader.Text("k"))};
}

void AddSpec(const TaskSpec& spec, json::object& object) {
  object["kind"] = spec.kind.str();
  object["cpu"] = ToInt64(spec.resources.cpu);
  object["mem"] = ToInt64(spec.resources.memory);
  object["acc"] = ToInt64(spec.resources.accelerators);
  object["idem"] = ToInt64(spec.idempotent);
  object["resum"] = ToInt64(spec.resumable);
  object["urg"] = spec.urgency;
  object["rwc_us"] = spec.run_without_contact.count();
}

TaskSpec ReadSpec(FieldReader& reader) {
  TaskSpec spec;
  spec.kind = KindId(reader.Text("kind"));
  spec.resources = {reader.As<MilliCores>("cpu"), reader.As<MebiBytes>("mem"),
                    reader.As<Accelerators>("acc")};
  spec.idempotent = reader.Flag("idem");
  spec.resumable = reader.Flag("resum");
  spec.urgency = static_cast<int>(reader.Number("urg"));
  spec.run_without_contact = Duration(reader.Number("rwc_us"));
  return spec;
}

json::object ToJson(const AcceptedRecord& record) {
  json::object object = ForKey("accepted", record.key);
  AddSpec(record.spec, object);
  object["pay"] = record.payload;
  object["arr"] = ToInt64(JournalSequence(record.arrival));
  object["prev"] = ToInt64(record.previous_attempt);
  return object;
}

json::object ToJson(const IntentRecord& record) {
  json::object object = ForKey("intent", record.key);
  object["n"] = ToInt64(record.attempt);
  object["w"] = record.worker.str();
  object["inc"] = ToInt64(record.incarnation);
  return object;
}

json::object ToJson(const StoppedRecord& record) {
  json::object object = ForKey("stopped", record.key);
  object["n"] = ToInt64(record.attempt);
  object["run"] = WasRunName(record.started);
  object["fail"] = ToInt64(record.failed);
  object["end"] = ToInt64(record.give_up);
  object["cp"] = record.checkpoint;
  object["txt"] = record.text;
  return object;
}

json::object ToJson(const DoneRecord& record) {
  json::object object = ForKey("done", record.key);
  object["n"] = ToInt64(record.attempt);
  object["res"] = record.result;
  return object;
}

json::object ToJson(const CancelRecord& record) {
  return ForKey("cancel", record.key);
}

json::object ToJson(const DurableTask& task) {
  json::object object = ForKey("task", task.key);
  AddSpec(task.spec, object);
  object["pay"] = task.payload;
  // Numbers are read back as int64, which cannot hold every 64-bit hash, so
  // the hash is stored as text.
  object["hash"] = std::to_string(task.content_hash);
  object["arr"] = ToInt64(JournalSequence(task.arrival));
  object["st"] = static_cast<int>(task.state);
  object["n"] = ToInt64(task.attempt);
  object["w"] = task.worker.str();
  object["inc"] = ToInt64(task.incarnation);
  object["cp"] = task.checkpoint;
  object["run"] = WasRunName(task.ran);
  object["fails"] = task.failed_attempts;
  object["cancel"] = ToInt64(task.cancel_requested);
  object["res"] = task.result;
  return object;
}

DurableTask ReadTask(FieldReader& reader) {
  DurableTask task;
  task.key = ReadKey(reader);
  task.spec = ReadSpec(reader);
  task.payload = reader.Text("pay");
  task.content_hash = std::strtoull(reader.Text("hash").c_str(), nullptr, 10);
  task.arrival = reader.As<JournalSequence>("arr").value();
  task.state = static_cast<TaskState>(reader.Number("st"));
  task.attempt = reader.As<AttemptNumber>("n");
  task.worker = WorkerId(reader.Text("w"));
  task.incarnation = reader.As<Incarnation>("inc");
  task.checkpoint = reader.Text("cp");
  task.ran = WasRunFromName(reader.Text("run"));
  task.failed_attempts = static_cast<int>(reader.Number("fails"));
  task.cancel_requested = reader.Flag("cancel");
  task.result = reader.Text("res");
  return task;
}

bool IsSnapshotState(TaskState state) {
  return state == TaskState::kQueued || state == TaskState::kStarting ||
         (state >= TaskState::kDone && state <= TaskState::kCancelled);
}

TaskRecord ReadAttemptRecord(std::string_view type, FieldReader& reader) {
  const TaskKey key = ReadKey(reader);
  const auto attempt = reader.As<AttemptNumber>("n");
  if (type == "intent") {
    return IntentRecord{key, attempt, WorkerId(reader.Text("w")),
                        reader.As<Incarnation>("inc")};
  }
  if (type == "done") return DoneRecord{key, attempt, reader.Text("res")};
  return StoppedRecord{key,
                       attempt,
                       WasRunFromName(reader.Text("run")),
                       reader.Flag("fail"),
                       reader.Flag("end"),
                       reader.Text("cp"),
                       reader.Text("txt")};
}

TaskRecord ReadRecord(std::string_view type, FieldReader& reader) {
  if (type == "cancel") return CancelRecord{ReadKey(reader)};
  if (type != "accepted") return ReadAttemptRecord(type, reader);
  AcceptedRecord record;
  record.key = ReadKey(reader);
  record.spec = ReadSpec(reader);
  record.payload = reader.Text("pay");
  record.arrival = reader.As<JournalSequence>("arr").value();
  record.previous_attempt = reader.As<AttemptNumber>("prev");
  return record;
}

// Payloads and results come from callers and workers and may contain invalid
// UTF-8.
json::value Parse(std::string_view text, json::error_code& error) {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  return json::parse(text, error, {}, options);
}

tl::unexpected<Error> Damaged(std::string_view what) {
  return Fail(ErrorKind::kInternal, std::string(what) + " is damaged");
}

}  // namespace

std::string EncodeRecord(const TaskRecord& record) {
  return std::visit(
      [](const auto& value) { return json::serialize(ToJson(value)); }, record);
}

Result<TaskRecord> DecodeRecord(std::string_view text) {
  json::error_code error;
  const json::value value = Parse(text, error);
  if (error) return Damaged("a task record");
  FieldReader reader(value);
  const std::string type = reader.Text("t");
  TaskRecord record = ReadRecord(type, reader);
  if (!reader.ok()) return Damaged("a task record");
  return record;
}

std::string EncodeSnapshot(const TaskSnapshot& snapshot) {
  json::array tasks;
  for (const DurableTask& task : snapshot.tasks) {
    tasks.emplace_back(ToJson(task));
  }
  return json::serialize(json::object{
      {"floor", ToInt64(snapshot.attempt_floor)}, {"tasks", std::move(tasks)}});
}

Result<TaskSnapshot> DecodeSnapshot(std::string_view text) {
  json::error_code error;
  const json::value value = Parse(text, error);
  if (error) return Damaged("a task snapshot");
  FieldReader reader(value);
  TaskSnapshot snapshot;
  snapshot.attempt_floor = reader.As<AttemptNumber>("floor");
  const json::value* tasks =
      reader.ok() ? value.get_object().if_contains("tasks") : nullptr;
  if (tasks == nullptr || !tasks->is_array()) return Damaged("a snapshot");
  for (const json::value& entry : tasks->get_array()) {
    FieldReader task_reader(entry);
    snapshot.tasks.push_back(ReadTask(task_reader));
    if (!task_reader.ok() || !IsSnapshotState(snapshot.tasks.back().state)) {
      return Damaged("a task in a snapshot");
    }
  }
  return snapshot;
}

}  // namespace gypsumfall
