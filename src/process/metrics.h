// Counters and histograms, through prometheus-cpp.
#pragma once

#include "apricot.h"

#include <memory>

namespace apricot {

struct MetricsRegistry;

/// Init to a usable zero: makeMetrics() fills it once, at start.
struct Metrics
{
    std::shared_ptr<MetricsRegistry> m_registry;
};

enum class Span : std::uint8_t { FirstToken, BetweenTokens, ColdStart, Queue, Whole };

Metrics makeMetrics();

/// A request was answered; None for a whole answer.
void countAnswer(Metrics &metrics, ErrorKind kind);
void countOrder(Metrics &metrics, OrderKind kind, bool done);
void countPlatformCall(Metrics &metrics, std::string_view call, bool answered);
void countRetry(Metrics &metrics);
void countForward(Metrics &metrics);
void observe(Metrics &metrics, Span span, Millis time);

/// Adds accelerator time during which a loaded slot had no request.
void addIdleTime(Metrics &metrics, Millis time);

/// The text that Prometheus scrapes.
std::string renderMetrics(const Metrics &metrics);

} // namespace apricot
