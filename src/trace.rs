//! Distributed tracing with OpenTelemetry. Spans are written to a file as JSON lines, and the trace context is
//! propagated in the W3C `traceparent` header.

use std::{
    collections::HashMap,
    fs::File,
    io::Write,
    path::Path,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use opentelemetry::{
    global,
    propagation::TextMapPropagator,
    trace::{SpanId, TracerProvider},
};
use opentelemetry_sdk::{
    error::{OTelSdkError, OTelSdkResult},
    propagation::TraceContextPropagator,
    trace::{Sampler, SdkTracerProvider, SpanData, SpanExporter},
};
use parking_lot::Mutex;
use serde::Serialize;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::{Layer, filter::Targets, layer::SubscriberExt};

const TRACEPARENT: &str = "traceparent";

/// Keeps tracing active. When it is dropped, it writes the spans that are still buffered.
#[derive(Default)]
pub struct Guard {
    provider: Option<SdkTracerProvider>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(provider) = self.provider.take() {
            let _ = provider.shutdown();
        }
    }
}

/// Starts tracing to a file; without a file tracing stays off. One request in `one_in` is sampled, but if a request
/// carries a `traceparent`, its sampled flag decides.
pub fn init(host: &str, file: Option<&Path>, one_in: u64) -> eyre::Result<Guard> {
    let Some(file) = file else { return Ok(Guard::default()) };
    let file = File::options().create(true).append(true).open(file)?;
    let exporter = Exporter { host: host.to_owned(), file: Mutex::new(file) };
    let ratio = Sampler::TraceIdRatioBased(1.0 / one_in.max(1) as f64);
    let provider = SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .with_sampler(Sampler::ParentBased(Box::new(ratio)))
        .build();
    global::set_text_map_propagator(TraceContextPropagator::new());
    let layer = tracing_opentelemetry::layer()
        .with_tracer(provider.tracer("gentianpass"))
        .with_filter(Targets::new().with_target("gentianpass", tracing::Level::INFO));
    tracing::subscriber::set_global_default(tracing_subscriber::registry().with(layer))?;
    Ok(Guard { provider: Some(provider) })
}

/// Makes the span a child of the span in a request's `traceparent` header, if there is one.
pub fn set_remote_parent(span: &Span, traceparent: Option<&str>) {
    let Some(value) = traceparent else { return };
    let carrier = HashMap::from([(TRACEPARENT.to_owned(), value.to_owned())]);
    let _ = span.set_parent(TraceContextPropagator::new().extract(&carrier));
}

/// The `traceparent` value to send with requests that this span makes; `None` if tracing is off.
pub fn traceparent(span: &Span) -> Option<String> {
    if span.is_disabled() {
        return None;
    }
    let mut carrier = HashMap::new();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.remove(TRACEPARENT)
}

/// A span as a line of the trace file.
#[derive(Serialize)]
struct SpanLine<'a> {
    trace: String,
    span: String,
    parent: Option<String>,
    host: &'a str,
    name: &'a str,
    start_us: u128,
    duration_us: u128,
    fields: HashMap<&'a str, String>,
}

#[derive(Debug)]
struct Exporter {
    host: String,
    file: Mutex<File>,
}

impl Exporter {
    fn write(&self, span: &SpanData) -> std::io::Result<()> {
        let since =
            |from: SystemTime, to: SystemTime| to.duration_since(from).unwrap_or(Duration::ZERO);
        let parent = span.parent_span_id;
        let line = SpanLine {
            trace: span.span_context.trace_id().to_string(),
            span: span.span_context.span_id().to_string(),
            parent: (parent != SpanId::INVALID).then(|| parent.to_string()),
            host: &self.host,
            name: &span.name,
            start_us: since(UNIX_EPOCH, span.start_time).as_micros(),
            duration_us: since(span.start_time, span.end_time).as_micros(),
            fields: span
                .attributes
                .iter()
                .map(|it| (it.key.as_str(), it.value.to_string()))
                .collect(),
        };
        let mut text = serde_json::to_string(&line)?;
        text.push('\n');
        self.file.lock().write_all(text.as_bytes())
    }
}

impl SpanExporter for Exporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        batch
            .iter()
            .try_for_each(|it| self.write(it))
            .map_err(|err| OTelSdkError::InternalFailure(err.to_string()))
    }
}
