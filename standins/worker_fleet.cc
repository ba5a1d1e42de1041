#include "standins/internal/worker_fleet.h"

#include <charconv>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "standins/internal/http_text.h"

namespace gypsumfall::standins {
namespace {

constexpr std::string_view kWorkersPath = "/workers/";
constexpr Duration kRegisterTimeout = seconds(2);
constexpr Duration kRegisterRetryDelay = milliseconds(500);

std::string WorkerName(std::size_t index) {
  std::string digits = std::to_string(index);
  return "w" + std::string(digits.size() < 4 ? 4 - digits.size() : 0, '0') +
         digits;
}

}  // namespace

WorkerFleet::WorkerFleet(boost::asio::io_context& io,
                         const FleetOptions& options)
    : io_(io),
      options_(options),
      pool_(io, {}),
      control_(io, {.listen = options.control},
               [this](const HttpRequest& request, Responder respond) {
                 HandleControl(request, std::move(respond));
               }),
      register_retry_(io) {}

Result<std::string> WorkerFleet::Start() {
  for (int i = 0; i < options_.count; ++i) {
    const int port = options_.base_port == 0 ? 0 : options_.base_port + i;
    const auto index = static_cast<std::size_t>(i);
    auto worker = std::make_unique<WorkerService>(
        io_, WorkerModel(WorkerId(WorkerName(index)), options_.worker),
        options_.ip + ":" + std::to_string(port), options_.key, log_);
    Result<std::string> address = worker->Start();
    if (!address) return address;
    hosts_.hosts.push_back(HostOf(index, *address));
    workers_.push_back(std::move(worker));
  }
  Register();
  return control_.Start();
}

ListedHost WorkerFleet::HostOf(std::size_t index,
                               const std::string& address) const {
  const std::size_t rack =
      index / static_cast<std::size_t>(options_.workers_per_rack);
  ListedHost host;
  host.id = WorkerId(WorkerName(index));
  host.address = address;
  host.rack = RackId("rack" + std::to_string(rack));
  host.data_centre =
      DataCentreId(options_.data_centres[rack % options_.data_centres.size()]);
  host.capacity = options_.worker.capacity;
  return host;
}

void WorkerFleet::Register() {
  if (options_.platform.empty()) return;
  pool_.Call(options_.platform,
             {.method = HttpMethod::kPut,
              .path = "/standin/hosts",
              .body = Encode(hosts_)},
             kRegisterTimeout, [this](const CallOutcome& outcome) {
               if (!outcome.failure && outcome.status == 200) return;
               std::cerr << "cannot register with the platform; retrying\n";
               register_retry_.expires_after(kRegisterRetryDelay);
               register_retry_.async_wait(
                   [this](const boost::system::error_code& error) {
                     if (!error) Register();
                   });
             });
}

void WorkerFleet::HandleControl(const HttpRequest& request, Responder respond) {
  if (request.path == "/stats") return respond({.body = Stats()});
  std::string_view rest = request.path;
  if (!rest.starts_with(kWorkersPath)) {
    return respond(ErrorResponse(ErrorKind::kNotFound, rest));
  }
  rest.remove_prefix(kWorkersPath.size());
  const std::size_t slash = rest.find('/');
  const std::string selector(rest.substr(0, slash));
  if (slash == std::string_view::npos) {
    return respond({.body = WorkerStats(selector)});
  }
  const std::string fault(rest.substr(slash + 1));
  if (!InjectFault(selector, fault, request)) {
    return respond(ErrorResponse(ErrorKind::kBadRequest, request.path));
  }
  respond({.body = "{}"});
}

std::vector<std::size_t> WorkerFleet::SelectWorkers(
    const std::string& selector) const {
  std::vector<std::size_t> selected;
  std::size_t index = workers_.size();
  std::from_chars(selector.data(), selector.data() + selector.size(), index);
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (selector == "all" || i == index) selected.push_back(i);
  }
  return selected;
}

bool WorkerFleet::InjectFault(const std::string& selector,
                              const std::string& fault,
                              const HttpRequest& request) {
  const std::vector<std::size_t> selected = SelectWorkers(selector);
  bool known = !selected.empty();
  for (const std::size_t index : selected) {
    known = workers_[index]->InjectFault(fault, request) && known;
    ListedHost& host = hosts_.hosts[index];
    host.leaving = workers_[index]->model().leaving();
    if (fault == "die" || fault == "restart") host.live = fault == "restart";
  }
  if (known) Register();
  return known;
}

std::string WorkerFleet::WorkerStats(const std::string& selector) const {
  std::string text = "[";
  for (const std::size_t index : SelectWorkers(selector)) {
    if (text.size() > 1) text += ',';
    text += workers_[index]->Stats();
  }
  return text + "]";
}

std::string WorkerFleet::Stats() const {
  std::size_t violations = log_.violations().size();
  std::string first =
      log_.violations().empty() ? "" : log_.violations().front();
  std::uint64_t overcommits = 0;
  for (const auto& worker : workers_) {
    const auto& found = worker->model().violations();
    violations += found.size();
    overcommits += worker->model().overcommits();
    if (first.empty() && !found.empty()) first = found.front();
  }
  return "{\"requests_started\":" + std::to_string(log_.requests_started()) +
         ",\"attempts_started\":" + std::to_string(log_.attempts_started()) +
         ",\"overcommits\":" + std::to_string(overcommits) +
         ",\"violations\":" + std::to_string(violations) +
         ",\"first_violation\":\"" + first + "\"}";
}

}  // namespace gypsumfall::standins
