//! The replay of captured files: the decision module is fed what it was fed, at the recorded times, and each
//! decision that differs is told.

mod error;
mod read;
mod replayed;
mod report;
mod run;
#[cfg(test)]
mod tests;

pub use error::{Error, Problem};
use read::read;
pub use read::{requests, Asked};
use report::Run;
pub use report::{Line, Report};
use std::path::Path;

/// Replays a ring file, or standard error as it was saved, and passes on what there is to say. Files of another
/// version are refused unless `force` is set.
///
/// # Errors
///
/// Where the file cannot be read, or what is captured in it cannot be replayed: [`Problem`].
pub fn replay(path: &Path, force: bool, say: &mut dyn FnMut(Line)) -> Result<Report, Error> {
    let mut run = Run { force, report: Report::default(), say };
    let all = read(path, &mut |line| run.warn(line)).map_err(Problem::from);
    let done = all.and_then(|pieces| pieces.iter().try_for_each(|piece| run.piece(piece)));
    done.map(|()| run.report).map_err(|problem| Error { file: path.to_owned(), problem })
}
