//! Tracing: one span for each hop of a request.
//!
//! Spans are created and ended through `opentelemetry` and written to a file, one
//! JSON object per line. Without a file nothing is recorded, but `traceparent` is
//! still propagated, so that callers' traces stay connected.

mod file;

use std::{fs::OpenOptions, io, path::Path, rc::Rc};

use opentelemetry::{
    KeyValue, Value,
    trace::{
        Span as _, SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState,
        Tracer as _, TracerProvider as _,
    },
};
use opentelemetry_sdk::trace::{IdGenerator, RandomIdGenerator, SdkTracer, SdkTracerProvider};

/// Name of the header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Starts spans; clones share the exporter.
#[derive(Clone, Debug, Default)]
pub struct Tracer {
    provider: Option<Rc<SdkTracerProvider>>,
    tracer: Option<SdkTracer>,
}

impl Tracer {
    /// A tracer that appends spans to `file`.
    ///
    /// # Errors
    /// The system's error if the file cannot be opened.
    pub fn to_file(file: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(file)?;
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(file::Exporter::new(file))
            .build();
        let tracer = provider.tracer("citrond");
        Ok(Self {
            provider: Some(Rc::new(provider)),
            tracer: Some(tracer),
        })
    }

    /// Starts a child span of `parent`, or a new trace.
    #[must_use]
    pub fn start(&self, name: &'static str, parent: Option<&Context>) -> Span {
        let Some(tracer) = &self.tracer else {
            return Span {
                span: None,
                context: parent.cloned().unwrap_or_else(Context::random),
            };
        };
        let around = match parent {
            Some(parent) => {
                opentelemetry::Context::new().with_remote_span_context(parent.0.clone())
            }
            None => opentelemetry::Context::new(),
        };
        let span = tracer.start_with_context(name, &around);
        let context = Context(span.span_context().clone());
        Span {
            span: Some(span),
            context,
        }
    }

    /// Writes all spans that have ended.
    pub fn flush(&self) {
        if let Some(provider) = &self.provider
            && let Err(error) = provider.force_flush()
        {
            log::warn!("CP0120 spans not written: {error}");
        }
    }
}

/// Identity of a span, as propagated between processes.
#[derive(Clone, Debug, PartialEq)]
pub struct Context(SpanContext);

impl Context {
    /// Parses a `traceparent` header.
    #[must_use]
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.trim().split('-');
        let (version, trace, span, flags) =
            (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        if version.len() != 2
            || version == "ff"
            || trace.len() != 32
            || span.len() != 16
            || flags.len() != 2
        {
            return None;
        }
        let trace = TraceId::from_hex(trace).ok()?;
        let span = SpanId::from_hex(span).ok()?;
        let flags = TraceFlags::new(u8::from_str_radix(flags, 16).ok()?);
        let context = SpanContext::new(trace, span, flags, true, TraceState::NONE);
        context.is_valid().then_some(Self(context))
    }

    /// The identity of a new trace.
    fn random() -> Self {
        let ids = RandomIdGenerator::default();
        let (trace, span) = (ids.new_trace_id(), ids.new_span_id());
        Self(SpanContext::new(
            trace,
            span,
            TraceFlags::NOT_SAMPLED,
            false,
            TraceState::NONE,
        ))
    }

    /// Value of a `traceparent` header.
    #[must_use]
    pub fn header(&self) -> String {
        let flags = self.0.trace_flags().to_u8();
        format!("00-{}-{}-{flags:02x}", self.0.trace_id(), self.0.span_id())
    }
}

/// Span of one hop; ends when dropped.
#[derive(Debug)]
pub struct Span {
    span: Option<opentelemetry_sdk::trace::Span>,
    context: Context,
}

impl Span {
    /// Context to propagate to the next hop.
    #[must_use]
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Sets an attribute.
    pub fn set<V>(&mut self, key: &'static str, value: V)
    where
        V: Into<Value>,
    {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(key, value));
        }
    }
}
