//! Standard error. Where a feature writes to it, a thread does all the writing and requests only queue their
//! lines: a pipe that nobody reads must not delay them.

use std::fmt::{self, Debug, Write as _};
use std::io::{self, Write};
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

/// Lines that may wait to be written; further ones are dropped and counted.
const MAX_QUEUED_ITEMS: usize = 256;

enum OutputItem {
    /// Whole lines.
    Lines(String),
    /// Tells when all before it is written.
    Mark(oneshot::Sender<()>),
}

struct Queue {
    items: mpsc::Sender<OutputItem>,
    dropped: AtomicU64,
}

/// `None`: every line is written by whoever has it.
static THREAD: OnceLock<Queue> = OnceLock::new();

/// Starts the thread, unless there is one. Where it cannot be started, lines are written as before.
pub fn start() -> io::Result<()> {
    if THREAD.get().is_some() {
        return Ok(());
    }
    let (items, mut queued) = mpsc::channel(MAX_QUEUED_ITEMS);
    thread::Builder::new().name("output".to_owned()).spawn(move || {
        while let Some(item) = queued.blocking_recv() {
            match item {
                OutputItem::Lines(lines) => write(&lines),
                // Whoever waited may have gone.
                OutputItem::Mark(done) => drop(done.send(())),
            }
            let dropped = THREAD.get().map_or(0, |queue| queue.dropped.swap(0, Ordering::Relaxed));
            if dropped > 0 {
                write(&format(&format!("{dropped} lines dropped"), None));
            }
        }
    })?;
    // Another that was started meanwhile has the lines; this one ends.
    let _ = THREAD.set(Queue { items, dropped: AtomicU64::new(0) });
    Ok(())
}

/// A log that cannot be written to is no reason to stop serving.
fn write(lines: &str) {
    let _ = io::stderr().write_all(lines.as_bytes());
}

/// Lines name the client that they are about.
static CLIENTS: AtomicBool = AtomicBool::new(false);

/// Has every line name its client from now on, or say that it is about none.
pub fn name_clients() {
    CLIENTS.store(true, Ordering::Relaxed);
}

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// `flaxhead: ` and the text.
    #[default]
    Text,
    /// An object with time, level and fields.
    Json,
}

impl FromStr for Form {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Form, &'static str> {
        match text {
            "text" => Ok(Form::Text),
            "json" => Ok(Form::Json),
            _ => Err("text or json"),
        }
    }
}

/// Has the program's events written as lines of the log from now on.
pub fn install(form: Form) {
    let lines = tracing_subscriber::fmt().with_max_level(LevelFilter::INFO).with_writer(Lines);
    // Whoever has set another before, such as a test, keeps it.
    let _ = match form {
        Form::Text => tracing::subscriber::set_global_default(lines.event_format(Text).finish()),
        Form::Json => {
            let lines = lines.json().flatten_event(true).with_current_span(false).with_span_list(false);
            tracing::subscriber::set_global_default(lines.finish())
        }
    };
}

/// Takes an event's line, whole.
#[derive(Clone, Copy)]
struct Lines;

impl MakeWriter<'_> for Lines {
    type Writer = Lines;

    fn make_writer(&self) -> Lines {
        Lines
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        put(String::from_utf8_lossy(line).into_owned());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Text;

impl<S, N> FormatEvent<S, N> for Text
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut fields = Fields::default();
        event.record(&mut fields);
        to.write_str(&format(&fields.message, fields.client.as_deref()))
    }
}

/// What a line of text shows of an event.
#[derive(Default)]
struct Fields {
    message: String,
    client: Option<String>,
}

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        match field.name() {
            // Writing to a string does not fail.
            "message" => drop(write!(self.message, "{value:?}")),
            "client" => self.client = Some(format!("{value:?}")),
            _ => {}
        }
    }
}

/// A line of the log.
pub fn format(text: &str, client: Option<&str>) -> String {
    match client {
        _ if !CLIENTS.load(Ordering::Relaxed) => format!("flaxhead: {text}\n"),
        Some(client) => format!("flaxhead: {text} client={client}\n"),
        None => format!("flaxhead: {text} client=-\n"),
    }
}

/// Writes whole lines, or queues them; never waits for the thread.
pub fn put(lines: String) {
    match THREAD.get() {
        None => write(&lines),
        Some(queue) if queue.items.try_send(OutputItem::Lines(lines)).is_err() => {
            queue.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Some(_) => {}
    }
}

/// Writes whole lines, from a thread that may wait until that is done.
pub fn put_and_wait(lines: String) {
    let Some(queue) = THREAD.get() else { return write(&lines) };
    let (done, written) = oneshot::channel();
    for item in [OutputItem::Lines(lines), OutputItem::Mark(done)] {
        // The thread lives as long as the process.
        let _ = queue.items.blocking_send(item);
    }
    let _ = written.blocking_recv();
}

/// Waits until all that is queued is written, or for so long.
pub async fn flush(limit: Duration) {
    let Some(queue) = THREAD.get() else { return };
    let (done, written) = oneshot::channel();
    let all = async {
        // An end without a word means that there is no thread to wait for.
        if queue.items.send(OutputItem::Mark(done)).await.is_ok() {
            let _ = written.await;
        }
    };
    let _ = timeout(limit, all).await;
}
