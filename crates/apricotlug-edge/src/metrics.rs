//! Counters and latency histograms by `opentelemetry`, and the text page that exposes them.

use std::{fmt::Write, sync::Arc, time::Duration};

use apricotlug_model::StoreVersion;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::{
    InstrumentKind, ManualReader, Pipeline, SdkMeterProvider, Temporality,
    data::{AggregatedMetrics, MetricData, ResourceMetrics},
    reader::MetricReader,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0,
];

#[derive(Clone, Debug)]
struct SharedReader(Arc<ManualReader>);

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: std::sync::Weak<Pipeline>) {
        self.0.register_pipeline(pipeline);
    }

    fn collect(&self, metrics: &mut ResourceMetrics) -> opentelemetry_sdk::error::OTelSdkResult {
        self.0.collect(metrics)
    }

    fn force_flush(&self) -> opentelemetry_sdk::error::OTelSdkResult {
        self.0.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> opentelemetry_sdk::error::OTelSdkResult {
        self.0.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.0.temporality(kind)
    }
}

/// Instruments of the request path.
pub struct Metrics {
    reader: SharedReader,
    // Owns the pipeline that the reader collects from.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    learned_estimates: Counter<u64>,
    ranked: Counter<u64>,
    lookups: Counter<u64>,
    log_lines_dropped: Counter<u64>,
    bad_records: Counter<u64>,
    change_log_bytes: Gauge<u64>,
    answer_buffer_bytes: Gauge<u64>,
    request_body_bytes: Gauge<u64>,
    caller_connections: Gauge<u64>,
    caller_connections_closed: Gauge<u64>,
    caller_connections_refused: Gauge<u64>,
    plan_version: Gauge<u64>,
    store_revision: Gauge<u64>,
    store_era: Gauge<u64>,
    store_era_changes: Counter<u64>,
    store_read_age_ms: Gauge<u64>,
    store_reads: Counter<u64>,
    usage_reports: Counter<u64>,
    usage_requests_lost: Counter<u64>,
    usage_window: Gauge<u64>,
    duty_fence: Gauge<u64>,
    duty_held_ms: Gauge<u64>,
    runtime_delay: Histogram<f64>,
    latency: Histogram<f64>,
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Metrics")
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let reader = SharedReader(Arc::new(ManualReader::builder().build()));
        let provider = SdkMeterProvider::builder()
            .with_reader(reader.clone())
            .build();
        let meter = provider.meter("apricotlug");
        Self {
            requests: meter.u64_counter("apricotlug_requests").build(),
            attempts: meter.u64_counter("apricotlug_attempts").build(),
            learned_estimates: meter.u64_counter("apricotlug_learned_estimates").build(),
            ranked: meter.u64_counter("apricotlug_ranked_requests").build(),
            lookups: meter.u64_counter("apricotlug_lookups").build(),
            log_lines_dropped: meter.u64_counter("apricotlug_log_lines_dropped").build(),
            bad_records: meter.u64_counter("apricotlug_bad_records").build(),
            change_log_bytes: meter.u64_gauge("apricotlug_change_log_bytes").build(),
            answer_buffer_bytes: meter.u64_gauge("apricotlug_answer_buffer_bytes").build(),
            request_body_bytes: meter.u64_gauge("apricotlug_request_body_bytes").build(),
            caller_connections: meter.u64_gauge("apricotlug_caller_connections").build(),
            caller_connections_closed: meter
                .u64_gauge("apricotlug_caller_connections_closed")
                .build(),
            caller_connections_refused: meter
                .u64_gauge("apricotlug_caller_connections_refused")
                .build(),
            plan_version: meter.u64_gauge("apricotlug_plan_version").build(),
            store_revision: meter.u64_gauge("apricotlug_store_revision").build(),
            store_era: meter.u64_gauge("apricotlug_store_era").build(),
            store_era_changes: meter.u64_counter("apricotlug_store_era_changes").build(),
            store_read_age_ms: meter.u64_gauge("apricotlug_store_read_age_ms").build(),
            store_reads: meter.u64_counter("apricotlug_store_reads").build(),
            usage_reports: meter.u64_counter("apricotlug_usage_reports").build(),
            usage_requests_lost: meter.u64_counter("apricotlug_usage_requests_lost").build(),
            usage_window: meter.u64_gauge("apricotlug_usage_window").build(),
            duty_fence: meter.u64_gauge("apricotlug_duty_fence").build(),
            duty_held_ms: meter.u64_gauge("apricotlug_duty_held_ms").build(),
            runtime_delay: meter
                .f64_histogram("apricotlug_runtime_delay_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            latency: meter
                .f64_histogram("apricotlug_latency_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            reader,
            _provider: provider,
        }
    }
}

impl Metrics {
    /// Counts a request by route and result, and records its latency by route.
    pub fn on_request(&self, route: &str, result: &str, latency: Duration) {
        let attributes = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("result", result.to_owned()),
        ];
        self.requests.add(1, &attributes);
        self.latency.record(latency.as_secs_f64(), &attributes[..1]);
    }

    /// Counts an attempt to run a request on a backend server, by result.
    pub fn on_attempt(&self, end: &'static str) {
        self.attempts.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a request whose expected time follows from a learned figure, by figure.
    pub fn on_learned_estimate(&self, figure: &'static str) {
        let attributes = [KeyValue::new("figure", figure)];
        self.learned_estimates.add(1, &attributes);
    }

    /// Counts a request for a service where different ranks compete, by service, rank and whether
    /// it was admitted.
    pub fn on_ranked(&self, service: &str, rank: String, is_admitted: bool) {
        let result = if is_admitted { "admitted" } else { "refused" };
        let attributes = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("rank", rank),
            KeyValue::new("result", result),
        ];
        self.ranked.add(1, &attributes);
    }

    /// Counts a look-up.
    pub fn on_lookup(&self) {
        self.lookups.add(1, &[]);
    }

    /// Counts log lines dropped because the queue was full.
    pub fn on_log_lines_dropped(&self, lines: u64) {
        self.log_lines_dropped.add(lines, &[]);
    }

    /// Counts a record of the store that cannot be used.
    pub fn on_bad_record(&self) {
        self.bad_records.add(1, &[]);
    }

    /// Records how many bytes of the store's items and changes are held for other instances.
    pub fn set_change_log_bytes(&self, bytes: usize) {
        self.change_log_bytes.record(bytes as u64, &[]);
    }

    /// Records how many bytes of response bodies are buffered.
    pub fn set_answer_buffer_bytes(&self, bytes: usize) {
        self.answer_buffer_bytes.record(bytes as u64, &[]);
    }

    /// Records the bytes of room that request bodies have, how many connections callers have, and how
    /// many were closed for others or refused since the start.
    pub fn set_caller_state(&self, body_bytes: u64, open: usize, closed: u64, refused: u64) {
        self.request_body_bytes.record(body_bytes, &[]);
        self.caller_connections.record(open as u64, &[]);
        self.caller_connections_closed.record(closed, &[]);
        self.caller_connections_refused.record(refused, &[]);
    }

    /// Records the version of the plan in force, the store's version up to which changes are known,
    /// and the age of the last read in milliseconds; each `None` before the first.
    pub fn set_read_state(
        &self,
        plan: Option<u64>,
        version: Option<StoreVersion>,
        age_ms: Option<u64>,
    ) {
        let gauges = [
            (&self.plan_version, plan),
            (
                &self.store_revision,
                version.map(|version| version.revision),
            ),
            (&self.store_era, version.map(|version| version.era)),
            (&self.store_read_age_ms, age_ms),
        ];
        for (gauge, value) in gauges {
            if let Some(value) = value {
                gauge.record(value, &[]);
            }
        }
    }

    /// Counts a change of the store's era, after which its state may be an older one.
    pub fn on_store_era(&self) {
        self.store_era_changes.add(1, &[]);
    }

    /// Counts a read of the store's items, by what was read from and by result.
    pub fn on_store_read(&self, from: &'static str, result: &'static str) {
        let attributes = [KeyValue::new("from", from), KeyValue::new("result", result)];
        self.store_reads.add(1, &attributes);
    }

    /// Counts a report of usage that this instance sent, by result.
    pub fn on_usage_report(&self, result: &'static str) {
        self.usage_reports
            .add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts requests of this instance that are missing from a report of usage.
    pub fn on_usage_lost(&self, requests: u64) {
        self.usage_requests_lost.add(requests, &[]);
    }

    /// Records the latest window of usage whose report is settled.
    pub fn set_usage_window(&self, number: u64) {
        self.usage_window.record(number, &[]);
    }

    /// Records the number of this instance's hold of the usage duty and for how long it has had it, in
    /// milliseconds; both 0 where it does not hold it.
    pub fn set_duty(&self, fence: u64, held_ms: u64) {
        self.duty_fence.record(fence, &[]);
        self.duty_held_ms.record(held_ms, &[]);
    }

    /// Records how late a task ran after its time had come.
    pub fn on_runtime_delay(&self, delay: Duration) {
        self.runtime_delay.record(delay.as_secs_f64(), &[]);
    }

    /// Renders all instruments in the text exposition format, one line per value.
    #[must_use]
    pub fn page(&self) -> String {
        let mut collected = ResourceMetrics::default();
        if let Err(e) = self.reader.collect(&mut collected) {
            return format!("# metrics could not be collected: {e}\n");
        }
        let mut page = String::new();
        for metric in collected.scope_metrics().flat_map(|scope| scope.metrics()) {
            render(&mut page, metric.name(), metric.data());
        }
        page
    }
}

fn render(page: &mut String, name: &str, data: &AggregatedMetrics) {
    match data {
        AggregatedMetrics::U64(MetricData::Sum(sum)) => {
            for point in sum.data_points() {
                let labels = labels(point.attributes(), None);
                let _ = writeln!(page, "{name}_total{labels} {}", point.value());
            }
        }
        AggregatedMetrics::U64(MetricData::Gauge(gauge)) => {
            for point in gauge.data_points() {
                let labels = labels(point.attributes(), None);
                let _ = writeln!(page, "{name}{labels} {}", point.value());
            }
        }
        AggregatedMetrics::F64(MetricData::Histogram(histogram)) => {
            for point in histogram.data_points() {
                let mut cumulative = 0;
                let bounds = point.bounds().map(|bound| bound.to_string());
                let bounds = bounds.chain(["+Inf".to_owned()]);
                for (bound, count) in bounds.zip(point.bucket_counts()) {
                    cumulative += count;
                    let labels = labels(point.attributes(), Some(&bound));
                    let _ = writeln!(page, "{name}_bucket{labels} {cumulative}");
                }
                let labels = labels(point.attributes(), None);
                let _ = writeln!(page, "{name}_sum{labels} {}", point.sum());
                let _ = writeln!(page, "{name}_count{labels} {}", point.count());
            }
        }
        _ => {}
    }
}

fn labels<'a>(attributes: impl Iterator<Item = &'a KeyValue>, bound: Option<&str>) -> String {
    let mut pairs: Vec<String> = attributes
        .map(|kv| format!("{}=\"{}\"", kv.key, kv.value))
        .collect();
    pairs.sort();
    pairs.extend(bound.map(|bound| format!("le=\"{bound}\"")));
    if pairs.is_empty() {
        String::new()
    } else {
        format!("{{{}}}", pairs.join(","))
    }
}
