#ifndef REVIEW_LIB_2_WORLD_HPP_
#define REVIEW_LIB_2_WORLD_HPP_

// Stand-ins for the users' platform, its workers and its clients, for the
// scripts of this review: one process that also starts the entry hosts of the
// project as child processes, on loopback addresses and the real clock.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

namespace http = boost::beast::http;
namespace json = boost::json;
using Request = http::request<http::string_body>;
using Clock = std::chrono::steady_clock;

inline std::int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Lines of what was sent, answered and run, with milliseconds since the start.
class Record {
 public:
  void Open(const std::string& path) {
    out_.open(path, std::ios::trunc);
    start_ = SteadyMs();
  }
  void Line(const std::string& text) {
    std::lock_guard lock(mutex_);
    out_ << (SteadyMs() - start_) << " " << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  std::int64_t start_ = 0;
};
inline Record& TheRecord() {
  static Record record;
  return record;
}
template <typename... T>
void Log(const T&... parts) {
  std::ostringstream text;
  (text << ... << parts);
  TheRecord().Line(text.str());
}

// A task's name for the record. With its dots, a name whose job id ends with
// digits reads like an address.
inline std::string Text(std::string task) {
  std::replace(task.begin(), task.end(), '.', '/');
  return task;
}

struct Reply {
  int status = 200;
  std::string body = "{}";
};

// Blocking send and receive over a socket, for Beast.
class FdStream {
 public:
  explicit FdStream(int fd) : fd_(fd) {}
  template <typename Buffers>
  std::size_t read_some(const Buffers& buffers,
                        boost::system::error_code& error) {
    const boost::asio::mutable_buffer buffer =
        *boost::asio::buffer_sequence_begin(buffers);
    const ssize_t n = ::recv(fd_, buffer.data(), buffer.size(), 0);
    if (n > 0) {
      error = {};
      return static_cast<std::size_t>(n);
    }
    error = n == 0 ? boost::system::error_code(http::error::end_of_stream)
                   : boost::system::error_code(
                         errno, boost::system::system_category());
    return 0;
  }
  template <typename Buffers>
  std::size_t read_some(const Buffers& buffers) {
    boost::system::error_code error;
    return read_some(buffers, error);
  }

 private:
  int fd_;
};

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Serves HTTP/1.1, a thread for each connection. The handler returns nothing
// to close the connection without an answer.
class HttpServer {
 public:
  using Handler = std::function<std::optional<Reply>(const Request&)>;

  HttpServer(std::string ip, int port, Handler handler)
      : ip_(std::move(ip)), port_(port), handler_(std::move(handler)) {}
  ~HttpServer() { Close(); }

  bool Open() {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = Address(ip_, port_);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(listener_, 512) != 0) {
      return false;
    }
    if (port_ == 0) {
      sockaddr_in bound{};
      socklen_t size = sizeof bound;
      getsockname(listener_, reinterpret_cast<sockaddr*>(&bound), &size);
      port_ = ntohs(bound.sin_port);
    }
    open_ = true;
    acceptor_ = std::thread([this] { Accept(); });
    return true;
  }

  // Closes the listener and resets all connections, as a crash does.
  void Close() {
    if (!open_.exchange(false)) return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    std::unique_lock lock(mutex_);
    for (const int fd : connections_) {
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      ::shutdown(fd, SHUT_RDWR);
    }
    idle_.wait(lock, [this] { return connections_.empty(); });
  }
  int port() const { return port_; }
  const std::string& ip() const { return ip_; }
  bool is_open() const { return open_; }

 private:
  void Accept() {
    while (open_) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!open_) return;
        SleepMs(5);
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        std::lock_guard lock(mutex_);
        connections_.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    FdStream stream(fd);
    boost::beast::flat_buffer buffer;
    while (open_) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(8 << 20);
      boost::system::error_code error;
      http::read(stream, buffer, parser, error);
      if (error || !open_) break;
      const std::optional<Reply> reply = handler_(parser.get());
      if (!reply || !open_) break;
      std::ostringstream text;
      text << "HTTP/1.1 " << reply->status << " X\r\n"
           << "Content-Type: application/json\r\nContent-Length: "
           << reply->body.size() << "\r\n\r\n"
           << reply->body;
      if (!SendAll(fd, text.str())) break;
    }
    std::lock_guard lock(mutex_);
    ::close(fd);
    connections_.erase(fd);
    idle_.notify_all();
  }

  std::string ip_;
  int port_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> open_{false};
  std::thread acceptor_;
  std::mutex mutex_;
  std::condition_variable idle_;
  std::set<int> connections_;
};

// One HTTP call on a new connection; status 0 means no answer.
inline Reply Call(const std::string& ip, int port, const std::string& method,
                  const std::string& path, const std::string& host,
                  const std::string& body, int timeout_ms) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in address = Address(ip, port);
  Reply reply{.status = 0, .body = ""};
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0) {
    std::ostringstream text;
    text << method << " " << path << " HTTP/1.1\r\nHost: " << host
         << "\r\nX-Deadline-Ms: " << timeout_ms
         << "\r\nConnection: close\r\nContent-Type: application/json\r\n"
         << "Content-Length: " << body.size() << "\r\n\r\n"
         << body;
    if (SendAll(fd, text.str())) {
      FdStream stream(fd);
      boost::beast::flat_buffer buffer;
      http::response_parser<http::string_body> parser;
      boost::system::error_code error;
      http::read(stream, buffer, parser, error);
      if (!error)
        reply = {static_cast<int>(parser.get().result_int()),
                 parser.get().body()};
    }
  }
  ::close(fd);
  return reply;
}

inline std::string DecodeUrl(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

inline std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> fields;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return fields;
  std::istringstream parts(target.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos) continue;
    fields[part.substr(0, equals)] = DecodeUrl(part.substr(equals + 1));
  }
  return fields;
}

inline std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t word = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      word = word << 8U;
      if (k < count) word |= static_cast<unsigned char>(bytes[i + k]);
    }
    for (std::size_t k = 0; k < 4; ++k)
      text += k <= count ? kDigits[word >> (18 - 6 * k) & 63U] : '=';
  }
  return text;
}

// The platform's store, with a transaction for the whole table at a time.
class Store {
 public:
  std::atomic<int> read_ms{4};
  std::atomic<int> write_ms{6};
  // Returns the answer to give instead of serving the call: a reply, or
  // nothing to close the connection; the outer optional is empty to serve it.
  // The second argument is the address of the caller, if it is known.
  std::function<std::optional<std::optional<Reply>>(const Request&)> intercept;
  // Called for each transaction after it was applied or refused; returns
  // whether the answer is sent.
  std::function<bool(const json::object&, int status)> after_transaction;

  explicit Store(const std::string& ip)
      : server_(ip, 0, [this](const Request& r) { return Handle(r); }) {}
  bool Open() { return server_.Open(); }
  void Close() {
    stopping_ = true;
    changed_.notify_all();
    server_.Close();
  }
  std::string address() const {
    return server_.ip() + ":" + std::to_string(server_.port());
  }

  // Writes a row as the operator or a worker does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    std::lock_guard lock(mutex_);
    PutRow({table, "", key}, Base64(value), ++version_);
    changed_.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    std::lock_guard lock(mutex_);
    RemoveRow({table, "", key}, ++version_);
    changed_.notify_all();
  }

 private:
  struct Key {
    std::string table, part, key;
    auto operator<=>(const Key&) const = default;
  };
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  struct Change {
    Key key;
    std::string value;
    std::uint64_t version;
    bool deleted;
  };

  static Key KeyOf(const json::value& v) {
    const json::object& o = v.as_object();
    const auto text = [&](const char* name) {
      const json::value* f = o.if_contains(name);
      return f ? std::string(f->as_string()) : std::string();
    };
    return {text("table"), text("part"), text("key")};
  }
  void PutRow(const Key& key, std::string value, std::uint64_t version) {
    rows_[key] = {value, version};
    log_[key.table].push_back({key, std::move(value), version, false});
  }
  void RemoveRow(const Key& key, std::uint64_t version) {
    if (rows_.erase(key) == 0) return;
    log_[key.table].push_back({key, "", version, true});
  }
  static json::object RowJson(const Key& key, const std::string& value,
                              std::uint64_t version) {
    return {{"table", key.table},
            {"part", key.part},
            {"key", key.key},
            {"value", value},
            {"rowVersion", version}};
  }
  Reply Answer(int status, json::array rows, std::uint64_t version, bool more) {
    json::object body{{"rows", std::move(rows)},
                      {"hasMore", more},
                      {"rowVersion", version},
                      {"nowMs", SteadyMs()}};
    return {status, json::serialize(body)};
  }

 public:
  // Serves a call; also for further listeners.
  std::optional<Reply> Handle(const Request& request) {
    if (intercept) {
      if (auto answer = intercept(request)) return *answer;
    }
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    const auto query = Query(target);
    if (path == "/rows-tx") return Transact(request.body());
    SleepMs(read_ms);
    if (path == "/rows-get") return Get(query);
    if (path == "/rows-feed") return Feed(query);
    if (path == "/rows-parts") return Parts(query);
    return Reply{404, "{}"};
  }

 private:
  std::optional<Reply> Transact(const std::string& body) {
    SleepMs(write_ms);
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    if (error) return Reply{400, "{}"};
    const json::object& call = parsed.as_object();
    Reply reply;
    {
      std::lock_guard lock(mutex_);
      json::array current;
      bool holds = true;
      for (const json::value& condition : call.at("expect").as_array()) {
        const Key key = KeyOf(condition);
        const auto found = rows_.find(key);
        const std::uint64_t version =
            found == rows_.end() ? 0 : found->second.version;
        if (found != rows_.end())
          current.push_back(RowJson(key, found->second.value, version));
        if (version !=
            condition.as_object().at("rowVersion").to_number<std::uint64_t>())
          holds = false;
      }
      if (holds) {
        ++version_;
        for (const json::value& put : call.at("puts").as_array())
          PutRow(KeyOf(put),
                 std::string(put.as_object().at("value").as_string()),
                 version_);
        for (const json::value& gone : call.at("remove").as_array())
          RemoveRow(KeyOf(gone), version_);
        changed_.notify_all();
        reply = Answer(200, {}, version_, false);
      } else {
        reply = Answer(412, std::move(current), version_, false);
      }
    }
    if (after_transaction && !after_transaction(call, reply.status))
      return std::nullopt;
    return reply;
  }

  Reply Get(const std::map<std::string, std::string>& query) {
    const auto field = [&](const char* name) {
      const auto found = query.find(name);
      return found == query.end() ? std::string() : found->second;
    };
    const std::size_t limit =
        field("limit").empty() ? 500 : std::stoul(field("limit"));
    std::lock_guard lock(mutex_);
    json::array rows;
    bool more = false;
    const std::string target = field("target");
    for (auto next =
             rows_.lower_bound({field("table"), field("part"), field("from")});
         next != rows_.end() && next->first.table == field("table") &&
         next->first.part == field("part") &&
         (target.empty() || next->first.key < target);
         ++next) {
      if (rows.size() == limit) {
        more = true;
        break;
      }
      rows.push_back(
          RowJson(next->first, next->second.value, next->second.version));
    }
    return Answer(200, std::move(rows), version_, more);
  }

  Reply Feed(const std::map<std::string, std::string>& query) {
    const std::uint64_t after = std::stoull(query.at("after"));
    const auto wait = query.find("waitMs");
    const std::int64_t wait_ms =
        wait == query.end() ? 0 : std::stoll(wait->second);
    const std::string table = query.at("table");
    std::unique_lock lock(mutex_);
    const auto has_change = [&] {
      const auto& log = log_[table];
      return stopping_ || (!log.empty() && log.back().version > after);
    };
    changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), has_change);
    json::array rows;
    std::uint64_t last = version_;
    bool more = false;
    for (const Change& change : log_[table]) {
      if (change.version <= after) continue;
      if (rows.size() >= 500 && change.version != last) {
        more = true;
        break;
      }
      json::object row = RowJson(change.key, change.value, change.version);
      if (change.deleted) row["deleted"] = true;
      rows.push_back(std::move(row));
      last = change.version;
    }
    if (!more) last = version_;
    return Answer(200, std::move(rows), last, more);
  }

  Reply Parts(const std::map<std::string, std::string>& query) {
    std::lock_guard lock(mutex_);
    std::set<std::string> parts;
    for (const auto& [key, row] : rows_)
      if (key.table == query.at("table")) parts.insert(key.part);
    json::array names;
    for (const std::string& part : parts) names.emplace_back(part);
    return {200, json::serialize(json::object{{"parts", std::move(names)},
                                              {"hasMore", false},
                                              {"nowMs", SteadyMs()}})};
  }

  HttpServer server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> stopping_{false};
  std::uint64_t version_ = 1;
  std::map<Key, Row> rows_;
  std::map<std::string, std::vector<Change>> log_;
};

struct Kind {
  std::string label = "a";
  std::int64_t cpu = 32000;
  std::int64_t mem = 128000;
};

// What a task needs and does, as its client described it.
struct TaskPlan {
  std::int64_t cpu = 0;
  std::int64_t mem = 0;
  std::int64_t run_ms = 1000;
  bool lasts = false;
  bool fills = false;
  // Tail of the response times of a task that lasts.
  std::int64_t tail_ms = 20;
};

struct StartEvent {
  std::int64_t at = 0;
  std::string worker;
  std::int64_t born = 0;
  std::string task;
  std::uint64_t run = 0;
  std::int64_t used_cpu = 0;
  std::int64_t capacity_cpu = 0;
  std::string kind;
};
struct EndEvent {
  std::int64_t at = 0;
  std::string worker;
  std::string task;
  std::uint64_t run = 0;
  std::string how;
};

// A worker as the pages describe it. Does not guard its capacity.
class Worker {
 public:
  struct Settings {
    std::string id, ip, service, zone, rack;
    std::int64_t heartbeat_ms = 1100;
    std::int64_t max_hold_ms = 6000;
    std::int64_t stop_ms = 100;
    std::int64_t tick_ms = 5;
  };
  // Returns the plan of a task.
  std::function<TaskPlan(const std::string& task)> plan_of;
  std::function<void(const StartEvent&)> on_start;
  std::function<void(const EndEvent&)> on_end;
  // Returns how a run that reaches its end ends.
  std::function<std::string(const std::string& task, std::uint64_t run)> how_of;
  // Called before an order is handled; the answer to give instead of it, as in
  // `Store::intercept`.
  std::function<std::optional<std::optional<Reply>>(const std::string& path,
                                                    const json::object&)>
      intercept;

  Worker(Settings settings, Store& store)
      : settings_(std::move(settings)),
        store_(store),
        server_(settings_.ip, 0,
                [this](const Request& r) { return Handle(r); }) {}
  ~Worker() { Crash(); }

  // Starts an incarnation and registers it.
  bool Start(const Kind& kind) {
    {
      std::lock_guard lock(mutex_);
      kind_ = kind;
      born_ = UnixMs();
      clock_start_ = SteadyMs() - 1000;
      fence_ = 0;
      lease_ = 0;
      next_end_ = 1;
      sequence_ = 0;
      state_ = "ready";
      runs_.clear();
      ends_.clear();
      highest_.clear();
      alive_ = true;
    }
    if (!server_.Open()) return false;
    Log("worker ", settings_.id, " starts, born ", born_, ", kind ", kind.label,
        ", cpu ", kind.cpu);
    ticker_ = std::thread([this] { Tick(); });
    beater_ = std::thread([this] { Beat(); });
    return true;
  }
  // Ends the incarnation without a word.
  void Crash() {
    {
      std::lock_guard lock(mutex_);
      if (!alive_) return;
      alive_ = false;
      changed_.notify_all();
    }
    server_.Close();
    ticker_.join();
    beater_.join();
    std::lock_guard lock(mutex_);
    Log("worker ", settings_.id, " is down with ", runs_.size(), " runs");
    for (const auto& [key, run] : runs_)
      if (on_end)
        on_end({SteadyMs(), settings_.id, key.first, key.second, "crash"});
    runs_.clear();
  }
  void SetState(const std::string& state) {
    std::lock_guard lock(mutex_);
    state_ = state;
    beat_now_ = true;
    changed_.notify_all();
  }
  const std::string& id() const { return settings_.id; }
  std::size_t running() {
    std::lock_guard lock(mutex_);
    return runs_.size();
  }
  // Processors that the runs need, those that fill left out.
  std::int64_t used_cpu() {
    std::lock_guard lock(mutex_);
    return UsedCpu();
  }
  // Whether the worker is cut off from the store. The platform removes its
  // entry after three heartbeat intervals of silence.
  std::atomic<bool> cut_from_store{false};

 private:
  struct Run {
    TaskPlan plan;
    std::int64_t started = 0;
    std::int64_t stop_at = 0;
    std::string saved;
  };
  using RunKey = std::pair<std::string, std::uint64_t>;
  struct End {
    std::uint64_t number;
    RunKey run;
    std::string how;
  };

  std::int64_t ClockMs() const { return SteadyMs() - clock_start_; }
  std::int64_t UsedCpu() const {
    std::int64_t used = 0;
    for (const auto& [key, run] : runs_)
      if (!run.plan.fills) used += run.plan.cpu;
    return used;
  }

  Reply Refuse(const char* reason) {
    return {409,
            json::serialize(json::object{
                {"clockMs", ClockMs()}, {"born", born_}, {"reason", reason}})};
  }
  Reply Ok() {
    return {200, json::serialize(
                     json::object{{"clockMs", ClockMs()}, {"born", born_}})};
  }

  std::optional<Reply> Handle(const Request& request) {
    const std::string path(request.target());
    if (path == "/health") return Reply{};
    if (request["X-Target-Instance"] != settings_.id) return Reply{421, "{}"};
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body(), error);
    if (error || !parsed.is_object()) return Reply{400, "{}"};
    const json::object& call = parsed.as_object();
    if (intercept) {
      if (auto answer = intercept(path, call)) return *answer;
    }
    return Execute(path, call);
  }

 public:
  // Carries an order out; also for orders that are carried out late.
  std::optional<Reply> Execute(const std::string& path,
                               const json::object& call) {
    std::unique_lock lock(mutex_);
    if (!alive_) return std::nullopt;
    const auto number = [&](const char* name) -> std::int64_t {
      const json::value* f = call.if_contains(name);
      return f ? f->to_number<std::int64_t>() : 0;
    };
    const std::uint64_t fence =
        static_cast<std::uint64_t>(number("fencingToken"));
    if (fence < fence_) return Refuse("fence");
    fence_ = fence;
    if (call.contains("deadlineMs"))
      lease_ = std::max(lease_, std::min(number("deadlineMs"),
                                         ClockMs() + settings_.max_hold_ms));
    if (path == "/run-start") return StartRun(call, number("deadlineMs"));
    if (path == "/run-stop") return StopRun(call);
    if (path == "/pace") return Ok();
    if (path != "/hold") return Reply{404, "{}"};
    const auto seen = static_cast<std::uint64_t>(number("lastSeen"));
    std::erase_if(ends_, [&](const End& end) { return end.number <= seen; });
    const std::int64_t born = born_;
    changed_.wait_for(lock, std::chrono::milliseconds(number("waitMs")), [&] {
      return !alive_ || born_ != born || !ends_.empty();
    });
    if (!alive_ || born_ != born) return std::nullopt;
    json::array running;
    for (const auto& [key, run] : runs_) {
      const std::int64_t elapsed = SteadyMs() - run.started;
      const std::int64_t percent =
          run.plan.lasts
              ? std::min<std::int64_t>(100, elapsed / 4)
              : std::min<std::int64_t>(
                    99,
                    100 * elapsed / std::max<std::int64_t>(1, run.plan.run_ms));
      running.push_back(
          json::array{key.first, key.second, run.saved, percent,
                      run.plan.lasts ? run.plan.tail_ms : run.plan.cpu});
    }
    json::array ended;
    for (const End& end : ends_) {
      if (ended.size() == 500) break;
      ended.push_back(
          json::array{end.number, end.run.first, end.run.second, end.how, ""});
    }
    return Reply{
        200, json::serialize(json::object{{"clockMs", ClockMs()},
                                          {"born", born_},
                                          {"running", std::move(running)},
                                          {"endedRuns", std::move(ended)}})};
  }

 private:
  Reply StartRun(const json::object& call, std::int64_t deadline) {
    const std::string task(call.at("task").as_string());
    const auto run = call.at("run").to_number<std::uint64_t>();
    if (runs_.contains({task, run})) return Ok();
    if (deadline <= ClockMs()) return Refuse("late");
    if (highest_.contains(task) && run <= highest_[task]) return Refuse("old");
    Run entry{.plan = plan_of(task),
              .started = SteadyMs(),
              .stop_at = 0,
              .saved = ""};
    runs_[{task, run}] = entry;
    const StartEvent event{SteadyMs(), settings_.id, born_,     task,
                           run,        UsedCpu(),    kind_.cpu, kind_.label};
    Log("start ", Text(task), " run ", run, " on ", settings_.id, " born ",
        born_, ", uses ", event.used_cpu, " of ", kind_.cpu);
    if (on_start) on_start(event);
    return Ok();
  }
  Reply StopRun(const json::object& call) {
    const std::string task(call.at("task").as_string());
    const auto number = call.at("run").to_number<std::uint64_t>();
    highest_[task] = std::max(highest_[task], number);
    for (auto& [key, run] : runs_)
      if (key.first == task && key.second <= number && run.stop_at == 0)
        run.stop_at = SteadyMs() + settings_.stop_ms;
    return Ok();
  }
  void EndRun(std::map<RunKey, Run>::iterator run, const std::string& how) {
    const RunKey key = run->first;
    runs_.erase(run);
    highest_[key.first] = std::max(highest_[key.first], key.second);
    ends_.push_back({next_end_++, key, how});
    Log("end ", Text(key.first), " run ", key.second, " on ", settings_.id, " ",
        how);
    if (on_end) on_end({SteadyMs(), settings_.id, key.first, key.second, how});
    changed_.notify_all();
  }

  void Tick() {
    while (true) {
      SleepMs(settings_.tick_ms);
      std::lock_guard lock(mutex_);
      if (!alive_) return;
      const std::int64_t now = SteadyMs();
      const bool lapsed = ClockMs() > lease_;
      for (auto next = runs_.begin(); next != runs_.end();) {
        const auto run = next++;
        if (lapsed) {
          EndRun(run, "lapsed");
        } else if (run->second.stop_at != 0 && now >= run->second.stop_at) {
          EndRun(run, "stopped");
        } else if (!run->second.plan.lasts &&
                   now >= run->second.started + run->second.plan.run_ms) {
          EndRun(run, how_of ? how_of(run->first.first, run->first.second)
                             : std::string("done"));
        }
      }
    }
  }

  void Beat() {
    std::unique_lock lock(mutex_);
    while (alive_) {
      json::object entry{
          {"service", settings_.service},
          {"address", settings_.ip + ":" + std::to_string(server_.port())},
          {"zone", settings_.zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", state_},
          {"coldRemainingMs", 0},
          {"capacity",
           json::object{{"cpu", kind_.cpu}, {"memMb", kind_.mem}, {"gpus", 0}}},
          {"labels", json::array{kind_.label, settings_.rack}},
          {"clockMs", ClockMs()},
          {"born", born_},
          {"sequence", ++sequence_}};
      if (state_ == "draining") entry["remainingMs"] = 2000;
      const std::string text = json::serialize(entry);
      if (!cut_from_store) {
        lock.unlock();
        SleepMs(store_.write_ms);
        store_.Put("servers", settings_.id, text);
        lock.lock();
        last_beat_ = SteadyMs();
        listed_ = true;
      } else if (listed_ &&
                 SteadyMs() > last_beat_ + 3 * settings_.heartbeat_ms) {
        store_.Remove("servers", settings_.id);
        Log("entry of ", settings_.id, " expires");
        listed_ = false;
      }
      beat_now_ = false;
      // A worker that is cut off tries again soon.
      changed_.wait_for(lock,
                        std::chrono::milliseconds(
                            cut_from_store ? 50 : settings_.heartbeat_ms),
                        [&] { return !alive_ || beat_now_; });
    }
  }

  Settings settings_;
  Store& store_;
  HttpServer server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool alive_ = false;
  Kind kind_;
  std::int64_t born_ = 0;
  std::int64_t clock_start_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t lease_ = 0;
  std::uint64_t next_end_ = 1;
  std::uint64_t sequence_ = 0;
  std::string state_ = "ready";
  bool beat_now_ = false;
  bool listed_ = false;
  std::int64_t last_beat_ = 0;
  std::map<RunKey, Run> runs_;
  std::vector<End> ends_;
  std::map<std::string, std::uint64_t> highest_;
  std::thread ticker_;
  std::thread beater_;
};

// An entry host of the project, as a child process.
class Host {
 public:
  Host(std::string name, std::string zone, std::string ip, std::string folder,
       std::string store, double share)
      : name_(std::move(name)), ip_(std::move(ip)), folder_(std::move(folder)) {
    settings_ = folder_ + "/" + name_ + ".ini";
    std::ofstream out(settings_);
    out << "[host]\nid = " << name_ << "\ndata_centre = " << zone
        << "\nlisten_callers = " << ip_ << ":8161\nlisten_health = " << ip_
        << ":8167\nlisten_peers = " << ip_ << ":7720\nlisten_metrics = " << ip_
        << ":9464\nprocessor_share = " << share
        << "\n\n[platform]\ntable_service = " << store
        << "\n\n[timings]\nmax_worker_lease = 6000ms\n"
        << "worker_heartbeat = 1100ms\n";
  }
  ~Host() { Kill(); }

  void Start() {
    const std::string log = folder_ + "/" + name_ + ".log";
    const pid_t child = fork();
    if (child == 0) {
      // The host ends with this process, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 1024; ++fd) close(fd);
      const char* program = "target/gypsumfall/main/gypsumfall";
      execl(program, program, "schedule", settings_.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    pid_ = child;
    Log("host ", name_, " starts");
  }
  void Signal(int signal) {
    if (pid_ <= 0) return;
    Log("host ", name_, " gets signal ", signal);
    kill(pid_, signal);
  }
  // Ends the process and waits for it.
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    Log("host ", name_, " is killed");
    pid_ = -1;
  }
  bool HasExited() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    Log("host ", name_, " exited, status ", status);
    pid_ = -1;
    return true;
  }
  bool IsReady() const {
    return Call(ip_, 8167, "GET", "/ready", ip_, "", 500).status == 200;
  }
  Reply Request(const std::string& method, const std::string& path,
                const std::string& body, int timeout_ms = 3000) const {
    return Call(ip_, 8161, method, path, "desk.example", body, timeout_ms);
  }
  const std::string& name() const { return name_; }
  const std::string& ip() const { return ip_; }
  // Whether the log has a line with the text.
  bool LogHas(const std::string& text) const {
    std::ifstream in(folder_ + "/" + name_ + ".log");
    std::string line;
    while (std::getline(in, line))
      if (line.find(text) != std::string::npos) return true;
    return false;
  }

 private:
  std::string name_, ip_, folder_, settings_;
  pid_t pid_ = -1;
};

inline std::string RandomIp(std::mt19937& random) {
  const auto part = [&](int low, int high) {
    return std::to_string(
        std::uniform_int_distribution<int>(low, high)(random));
  };
  return "127." + part(10, 250) + "." + part(1, 250) + "." + part(2, 250);
}

inline std::string RandomId(std::mt19937_64& random) {
  std::ostringstream text;
  text << std::hex;
  text.width(16);
  text.fill('0');
  text << random();
  return text.str();
}

// Whether there is room for a task twice over, and under half of the capacity
// is in use, as LOST asks. The workers in `eligible` can run the task.
inline bool HasRoomTwice(const std::vector<Worker*>& all,
                         const std::vector<Worker*>& eligible,
                         std::int64_t worker_cpu, std::int64_t task_cpu) {
  std::int64_t used = 0;
  for (Worker* worker : all) used += worker->used_cpu();
  std::int64_t places = 0;
  for (Worker* worker : eligible)
    places += (worker_cpu - worker->used_cpu()) / task_cpu;
  Log("in use ", used, " of ",
      worker_cpu * static_cast<std::int64_t>(all.size()),
      ", places for the task ", places);
  return places >= 2 &&
         2 * used < worker_cpu * static_cast<std::int64_t>(all.size());
}

// The job part of a task's name.
inline std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

// A temporary folder for settings and logs, which is removed at the end unless
// KEEP is set.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    char path[] = "/tmp/review-XXXXXX";
    path_ = mkdtemp(path);
    if (std::getenv("KEEP") != nullptr) Log("folder ", path_);
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

inline bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace world

#endif  // REVIEW_LIB_2_WORLD_HPP_
