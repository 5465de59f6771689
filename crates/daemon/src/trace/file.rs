//! Writes ended spans to a file as JSON lines.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use opentelemetry_sdk::{
    error::{OTelSdkError, OTelSdkResult},
    trace::{SpanData, SpanExporter},
};
use serde_json::{Map, Value, json};

/// Exporter that writes to one file.
#[derive(Debug)]
pub(super) struct Exporter {
    file: Mutex<BufWriter<File>>,
}

impl Exporter {
    /// An exporter that appends to `file`.
    pub(super) fn new(file: File) -> Self {
        Self {
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    fn write(&self, batch: &[SpanData]) -> OTelSdkResult {
        let failed =
            |error: &dyn std::fmt::Display| OTelSdkError::InternalFailure(error.to_string());
        let mut file = self.file.lock().map_err(|error| failed(&error))?;
        for span in batch {
            writeln!(file, "{}", line(span)).map_err(|error| failed(&error))?;
        }
        file.flush().map_err(|error| failed(&error))
    }
}

impl SpanExporter for Exporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.write(&batch)
    }
}

fn line(span: &SpanData) -> Value {
    let attributes: Map<String, Value> = span
        .attributes
        .iter()
        .map(|pair| (pair.key.to_string(), Value::String(pair.value.to_string())))
        .collect();
    json!({
        "trace": span.span_context.trace_id().to_string(),
        "span": span.span_context.span_id().to_string(),
        "parent": span.parent_span_id.to_string(),
        "name": span.name,
        "start_us": micros(span.start_time),
        "end_us": micros(span.end_time),
        "attributes": attributes,
    })
}

fn micros(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
