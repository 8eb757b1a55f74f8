//! The log: one line on standard error for each event, as text or as JSON.
//!
//! Events go through `tracing`, and `tracing-subscriber` formats the JSON lines. Text lines need a custom formatter:
//! operators search for lines of the form `part: text`, and none of the library's formatters writes a line that begins
//! with a field and has neither time, level nor field names.

use clap::ValueEnum;
use std::cell::Cell;
use std::fmt::{self, Display};
use std::io::stderr;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Lines of the form `part: text`.
    #[default]
    Text,
    /// One JSON object per line with `timestamp`, `level`, `part` and `message`.
    Json,
}

/// Installs the global log subscriber, which writes to standard error. A line that cannot be written is lost: a closed
/// standard error must not terminate the limiter, so the library must not report the failed write there either.
pub fn init(format: LogFormat) {
    let lines = tracing_subscriber::fmt().with_writer(stderr).log_internal_errors(false);
    // Fails only if a subscriber is already set, for example by another test of the same process.
    let _ = match format {
        LogFormat::Text => tracing::subscriber::set_global_default(lines.event_format(TextFormat).finish()),
        LogFormat::Json => tracing::subscriber::set_global_default(
            lines.json().flatten_event(true).with_target(false).finish(),
        ),
    };
}

/// Logs a line. `part` names the part of the program that the line is about.
pub fn log(part: &str, text: impl Display) {
    tracing::info!(part, "{text}");
}

/// Counts an event, and chooses occurrences number 1, 2, 4, 8 and so on for the log, so that a frequent event does not
/// flood it.
#[derive(Default)]
pub struct Occurrences(Cell<u64>);

impl Occurrences {
    /// Counts one more occurrence, and returns its number if it is to be logged.
    pub fn count(&self) -> Option<u64> {
        let number = self.0.get() + 1;
        self.0.set(number);
        number.is_power_of_two().then_some(number)
    }
}

/// Formats an event as `part: text`.
struct TextFormat;

/// The fields of an event that a text line shows.
#[derive(Default)]
struct TextFields {
    part: String,
    message: String,
}

impl Visit for TextFields {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == "part" {
            value.clone_into(&mut self.part);
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.message = format!("{value:?}");
        }
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>, N: for<'a> FormatFields<'a> + 'static> FormatEvent<S, N>
    for TextFormat
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut fields = TextFields::default();
        event.record(&mut fields);
        // Events of libraries have no part: their target, which is the module path, replaces it.
        let part = if fields.part.is_empty() { event.metadata().target() } else { &fields.part };
        writeln!(out, "{part}: {}", fields.message)
    }
}
