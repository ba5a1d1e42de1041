#include <array>
#include <iomanip>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "gypsumfall/telemetry/telemetry.h"

namespace gypsumfall {
namespace {

constexpr std::string_view kPrefix = "gypsumfall_";
// Enough to export gauges such as byte counts without rounding.
constexpr int kSignificantDigits = 15;
constexpr std::array kQuantiles = {0.5, 0.9, 0.99, 0.999};

std::string EscapeLabelValue(const std::string& value) {
  std::string text;
  for (const char c : value) {
    if (c == '\\' || c == '"') text += '\\';
    if (c == '\n') {
      text += "\\n";
    } else {
      text += c;
    }
  }
  return text;
}

// Returns label pairs without braces, such as a="1",b="2".
std::string FormatLabels(const Labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) text += ',';
    text += name + "=\"" + EscapeLabelValue(value) + '"';
  }
  return text;
}

std::string InBraces(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

double ToSeconds(Duration duration) {
  constexpr double kUsPerSecond = 1e6;
  return static_cast<double>(duration.count()) / kUsPerSecond;
}

// Metrics of one type, keyed by name and then by formatted labels.
template <typename Metric>
using Family = std::map<std::string, std::map<std::string, Metric>>;

}  // namespace

class Metrics::Impl {
 public:
  template <typename Metric>
  Metric& Add(Family<Metric>& family, const std::string& name,
              const Labels& labels) {
    const std::lock_guard lock(mutex_);
    return family[name][FormatLabels(labels)];
  }

  std::string Export() const {
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    out << std::setprecision(kSignificantDigits);
    ExportValues(out, counters_, "counter");
    ExportValues(out, gauges_, "gauge");
    for (const auto& [name, by_labels] : latencies_) {
      out << "# TYPE " << kPrefix << name << "_seconds summary\n";
      for (const auto& [labels, latency] : by_labels) {
        ExportSummary(out, std::string(kPrefix) + name + "_seconds", labels,
                      latency);
      }
    }
    return std::move(out).str();
  }

  Family<Counter> counters_;
  Family<Gauge> gauges_;
  Family<LatencyHistogram> latencies_;

 private:
  template <typename Metric>
  static void ExportValues(std::ostream& out, const Family<Metric>& family,
                           std::string_view type) {
    for (const auto& [name, by_labels] : family) {
      out << "# TYPE " << kPrefix << name << ' ' << type << '\n';
      for (const auto& [labels, metric] : by_labels) {
        out << kPrefix << name << InBraces(labels) << ' ' << metric.value()
            << '\n';
      }
    }
  }

  static void ExportSummary(std::ostream& out, const std::string& name,
                            const std::string& labels,
                            const LatencyHistogram& latency) {
    for (const double quantile : kQuantiles) {
      std::ostringstream label;
      label << "quantile=\"" << quantile << '"';
      const std::string all_labels =
          labels.empty() ? label.str() : labels + "," + label.str();
      out << name << InBraces(all_labels) << ' '
          << ToSeconds(latency.Quantile(quantile)) << '\n';
    }
    out << name << "_sum" << InBraces(labels) << ' ' << ToSeconds(latency.sum())
        << '\n';
    out << name << "_count" << InBraces(labels) << ' ' << latency.count()
        << '\n';
  }

  mutable std::mutex mutex_;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

Counter& Metrics::AddCounter(const std::string& name, const Labels& labels) {
  return impl_->Add(impl_->counters_, name, labels);
}

Gauge& Metrics::AddGauge(const std::string& name, const Labels& labels) {
  return impl_->Add(impl_->gauges_, name, labels);
}

LatencyHistogram& Metrics::AddLatency(const std::string& name,
                                      const Labels& labels) {
  return impl_->Add(impl_->latencies_, name, labels);
}

std::string Metrics::Export() const { return impl_->Export(); }

}  // namespace gypsumfall
