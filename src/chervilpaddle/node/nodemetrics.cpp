#include <chervilpaddle/node/nodemetrics.h>

#include <chervilpaddle/mesh/meshcore.h>
#include <chervilpaddle/node/nodecore.h>

#include <limits>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace chervilpaddle {

class NodeMetrics::Impl
{
public:
    std::string scrape(const NodeCore &core)
    {
        scrapeConfiguration(core);
        return scrapeCommon(core, {});
    }

    std::string scrape(const MeshCore &core)
    {
        const MeshCounters &counters = core.counters();
        counter("chervilpaddle_requests_total", "Requests that arrived at this node's entry", counters.requests);
        counter("chervilpaddle_requests_served_total", "Requests with a whole answer", counters.served);
        counter("chervilpaddle_requests_refused_total", "Requests that have not run", counters.refused);
        counter("chervilpaddle_requests_overloaded_total", "Requests refused for want of room in their tree", counters.overloaded);
        gauge("chervilpaddle_clearing_rank", "Requests that the entries must refuse", core.executor().clearingRank());
        counter("chervilpaddle_requests_failed_total", "Requests that may have run and have no answer", counters.failed);
        counter("chervilpaddle_requests_left_total", "Requests whose caller went away", counters.callerDisconnects);
        counter("chervilpaddle_unreadable_entries_total", "Entries of the platform that name no instance", counters.invalidInstanceEntries);
        for (std::size_t reason = 0; reason < closeReasonCount; ++reason) {
            const prometheus::Labels labels = {{"reason", toText(static_cast<CloseReason>(reason))}};
            counter("chervilpaddle_caller_connections_closed_total",
                    "Connections of callers that ended",
                    counters.closedConnections[reason],
                    labels);
            counter("chervilpaddle_caller_requests_unanswered_total",
                    "Requests whose connection ended before the whole answer was sent",
                    counters.unansweredRequests[reason],
                    labels);
        }
        counter("chervilpaddle_failed_handlers_total", "Exceptions that left a handler", counters.failedHandlers);
        gauge("chervilpaddle_ready", "1 while callers may be sent here", core.isReady() ? 1 : 0);
        gauge("chervilpaddle_configuration_revision", "Version in force", static_cast<double>(core.routes().revision().value()));
        gauge("chervilpaddle_instances_revision",
              "Last change of the instance list in force",
              static_cast<double>(core.replication().instances().lastChange().revision.value()));
        gauge("chervilpaddle_store_era",
              "Era of the store to which the instance list belongs",
              static_cast<double>(core.replication().instances().lastChange().era.value()));
        counter("chervilpaddle_store_era_changes_total", "Newer eras of the store that were taken over", counters.storeEraChanges);
        counter("chervilpaddle_store_timeouts_total", "Requests to the store without a response in time", counters.storeTimeouts);
        scrapeReplication(core.replication());
        std::vector<prometheus::MetricFamily> latencies = {requestLatencies(counters)};
        return scrapeCommon(core, std::move(latencies));
    }

private:
    void scrapeReplication(const StoreReplication &replication)
    {
        const ReplicationCounters &counters = replication.counters();
        counter("chervilpaddle_replication_documents_sent_total", "Documents sent to peers", counters.documentsSent);
        counter("chervilpaddle_replication_bytes_sent_total", "Size of these documents", counters.documentBytesSent);
        counter("chervilpaddle_replication_documents_applied_total", "Documents of peers that were newer", counters.documentsApplied);
        counter("chervilpaddle_replication_requests_total", "Requests to peers for changes that were missed", counters.requestsSent);
        counter("chervilpaddle_replication_reports_total", "Reports sent to the nodes that rely on this one", counters.reportsSent);
        gauge("chervilpaddle_store_reader", "1 while this node is selected to read the store", replication.role().isSelected() ? 1 : 0);
        gauge("chervilpaddle_store_available",
              "1 while the store is known to be available",
              replication.instances().availableSince() ? 1 : 0);
    }

    //! Built from the core's histograms, as the histograms of prometheus-cpp would have to be updated during requests.
    static prometheus::MetricFamily requestLatencies(const MeshCounters &counters)
    {
        prometheus::MetricFamily family;
        family.name = "chervilpaddle_request_seconds";
        family.help = "Time from a request's arrival to its answer";
        family.type = prometheus::MetricType::Histogram;
        family.metric = {latencyMetric("served", counters.servedLatency),
                         latencyMetric("refused", counters.refusedLatency),
                         latencyMetric("failed", counters.failedLatency)};
        return family;
    }

    static prometheus::ClientMetric latencyMetric(const char *outcome, const LatencyHistogram &latency)
    {
        prometheus::ClientMetric metric;
        metric.label = {{"outcome", outcome}};
        metric.histogram.sample_count = latency.count();
        metric.histogram.sample_sum = latency.sumSeconds();
        for (std::size_t bucket = 0; bucket < LatencyHistogram::bucketCount; ++bucket) {
            metric.histogram.bucket.push_back({latency.cumulativeCount(bucket), toSeconds(LatencyHistogram::upperBound(bucket))});
        }
        metric.histogram.bucket.push_back({latency.count(), std::numeric_limits<double>::infinity()});
        return metric;
    }

    template<typename Core>
    std::string scrapeCommon(const Core &core, std::vector<prometheus::MetricFamily> additionalFamilies)
    {
        scrapeExecutor(core.executor());
        scrapeRouter(core.router());
        gauge("chervilpaddle_response_memory_bytes",
              "Memory that answers of backend servers take",
              static_cast<double>(core.responseMemory()->heldBytes()));
        counter("chervilpaddle_responses_given_up_total", "Answers for which there was no memory left", core.responseMemory()->givenUp());
        gauge("chervilpaddle_links", "Open links to peers", static_cast<double>(core.links().linkCount()));
        scrapeTraffic("chervilpaddle_peer_sent", "sent to peers", core.transport().sent());
        scrapeTraffic("chervilpaddle_peer_received", "received from peers", core.transport().received());
        std::vector<prometheus::MetricFamily> families = m_registry.Collect();
        families.insert(families.end(), additionalFamilies.begin(), additionalFamilies.end());
        return prometheus::TextSerializer().Serialize(families);
    }

    void scrapeExecutor(const Executor &executor)
    {
        const ExecutorCounters &counters = executor.counters();
        gauge("chervilpaddle_running", "Calls at the backend server", executor.running());
        gauge("chervilpaddle_slot_limit", "Calls that may be at the backend server", executor.slotLimit());
        gauge("chervilpaddle_queued", "Calls waiting for a slot", static_cast<double>(executor.queued()));
        gauge("chervilpaddle_price", "Lowest rank admitted", executor.localPrice());
        gauge("chervilpaddle_service_time_seconds", "Mean service time", toSeconds(executor.meanServiceTime()));
        gauge("chervilpaddle_draining", "1 while the node drains", executor.isDraining() ? 1 : 0);
        counter("chervilpaddle_arrivals_total", "Calls that arrived", counters.arrivals);
        counter("chervilpaddle_started_total", "Calls handed to the backend server", counters.started);
        counter("chervilpaddle_finished_total", "Runs that ended", counters.finished);
        counter("chervilpaddle_shed_total", "Calls shed for work of more worth", counters.shed);
        counter("chervilpaddle_expired_total", "Calls dropped for their deadline", counters.expired);
        counter("chervilpaddle_duplicates_total", "Duplicates answered from records", counters.duplicates);
    }

    void scrapeRouter(const Router &router)
    {
        const RouterCounters &counters = router.counters();
        gauge("chervilpaddle_outstanding", "Calls waiting for an answer", static_cast<double>(router.outstanding()));
        counter("chervilpaddle_calls_total", "Calls sent on", counters.calls);
        counter("chervilpaddle_attempts_total", "Attempts of calls", counters.attempts);
        counter("chervilpaddle_repeats_total", "Repeats paid from an allowance", counters.retries);
        counter("chervilpaddle_refused_by_price_total", "Calls that could not pay the price", counters.refusedByPrice);
        counter("chervilpaddle_late_answers_total", "Late or duplicated answers that were dropped", counters.lateResponses);
    }

    void scrapeConfiguration(const NodeCore &core)
    {
        const SyncCounters &counters = core.sync().counters();
        gauge("chervilpaddle_configuration_revision",
              "Revision in force",
              static_cast<double>(core.configuration().version().revision.value()));
        gauge("chervilpaddle_instances_revision",
              "Revision of the instance list in force",
              static_cast<double>(core.membership().version().revision.value()));
        counter("chervilpaddle_platform_reads_total", "Reads of the platform", counters.reads);
        counter("chervilpaddle_platform_watches_total", "Watches of the platform", counters.watches);
        counter("chervilpaddle_platform_failures_total", "Failed reads and watches", counters.failures);
    }

    void gauge(const std::string &name, const std::string &help, double value)
    {
        prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add({}).Set(value);
    }

    void scrapeTraffic(const std::string &prefix, const std::string &what, const PeerTraffic &traffic)
    {
        for (const PeerTraffic::Entry &entry : traffic.entries()) {
            counter(prefix + "_frames_total", "Frames " + what, entry.frames, {{"kind", entry.kind}});
            counter(prefix + "_bytes_total", "Bytes " + what, entry.bytes, {{"kind", entry.kind}});
        }
    }

    void counter(const std::string &name, const std::string &help, std::uint64_t value, const prometheus::Labels &labels = {})
    {
        auto &metric = prometheus::BuildCounter().Name(name).Help(help).Register(m_registry).Add(labels);
        metric.Increment(static_cast<double>(value) - metric.Value());
    }

    prometheus::Registry m_registry{prometheus::Registry::InsertBehavior::Merge};
};

NodeMetrics::NodeMetrics()
    : m_impl(std::make_unique<Impl>())
{
}

NodeMetrics::~NodeMetrics() = default;

std::string NodeMetrics::scrape(const NodeCore &core)
{
    return m_impl->scrape(core);
}

std::string NodeMetrics::scrape(const MeshCore &core)
{
    return m_impl->scrape(core);
}

} // namespace chervilpaddle
