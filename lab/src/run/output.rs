//! The files that a run leaves.

use crate::figures::Figures;
use crate::ledger::Try;
use crate::load::sender::histogram;
use hdrhistogram::serialization::interval_log::{IntervalLogWriterBuilder, Tag};
use hdrhistogram::serialization::V2Serializer;
use std::fs::{self, File};
use std::io::{self, BufWriter};
use std::path::Path;
use std::time::Duration;

/// Writes the figures, and the latencies of each second by class as an HDR interval log.
pub(super) fn write(folder: &Path, figures: &Figures, tries: &[Try]) -> io::Result<()> {
    fs::write(folder.join("figures.json"), serde_json::to_vec_pretty(figures)?)?;
    let mut log = BufWriter::new(File::create(folder.join("latency.hlog"))?);
    let mut serializer = V2Serializer::new();
    let mut writer = IntervalLogWriterBuilder::new()
        .with_max_value_divisor(1_000.0)
        .begin_log_with(&mut log, &mut serializer)
        .map_err(io::Error::other)?;
    for (second, _) in figures.timeline.iter().enumerate() {
        for (class, of) in figures.classes.iter().enumerate() {
            let mut latencies = histogram();
            let within =
                tries.iter().filter(|t| t.class == class && (t.intended / 1_000_000) as usize == second);
            within.for_each(|t| latencies.saturating_record(t.ended.saturating_sub(t.intended)));
            let tag = Tag::new(&of.name);
            let written = writer.write_histogram(
                &latencies,
                Duration::from_secs(second as u64),
                Duration::from_secs(1),
                tag,
            );
            written.map_err(|error| io::Error::other(format!("{error:?}")))?;
        }
    }
    Ok(())
}
