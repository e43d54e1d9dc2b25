//! What a replay tells, and what it comes to.

/// What a replay came to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Files that were replayed.
    pub files: u64,
    /// Events that the module was fed.
    pub events: u64,
    /// Decisions that were recorded for them.
    pub decisions: u64,
    /// Differences that were told.
    pub differences: u64,
    /// Warnings.
    pub warnings: u64,
}

/// A line for whoever replays.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A difference.
    Difference(String),
    /// Something that could not be replayed.
    Warning(String),
}

/// A replay under way: what it came to so far, and whom it tells.
pub(super) struct Run<'a> {
    pub(super) force: bool,
    pub(super) report: Report,
    pub(super) say: &'a mut dyn FnMut(Line),
}

impl Run<'_> {
    pub(super) fn warn(&mut self, text: String) {
        self.report.warnings += 1;
        (self.say)(Line::Warning(text));
    }

    pub(super) fn differs(&mut self, text: String) {
        self.report.differences += 1;
        (self.say)(Line::Difference(text));
    }
}
