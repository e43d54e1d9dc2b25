//! A replay's way through the captured files.

use super::super::form::{frame, version, Frame, Opened, Version, SEED};
use super::error::Problem;
use super::replayed::Replayed;
use super::report::Run;
use flaxhead_policy::{Balancer, RestoreError};

impl Run<'_> {
    /// Replays the files of a piece, one behind the other.
    pub(super) fn piece(&mut self, mut rest: &[u8]) -> Result<(), Problem> {
        while !rest.is_empty() {
            let Some((seed, after)) = rest.split_first_chunk::<SEED>() else {
                self.warn("a file is cut off before its version".to_owned());
                return Ok(());
            };
            rest = after;
            let Some(wrote) = version(&mut rest) else {
                return Err(Problem::NoVersion);
            };
            if wrote != Version::own() {
                let wrote = format!("{}, form {}", wrote.program, wrote.format);
                let own = Version::own().program.into_owned();
                if !self.force {
                    return Err(Problem::Version { wrote, own });
                }
                self.warn(format!("written by {wrote:?}, this is {own}"));
            }
            let opened: Opened = match frame(&mut rest) {
                Frame::Body(body) => postcard::from_bytes(body).map_err(Problem::Opening)?,
                Frame::End | Frame::Cut => {
                    self.warn("a file is cut off in its opening".to_owned());
                    return Ok(());
                }
            };
            self.file(u64::from_be_bytes(*seed), opened, &mut rest)?;
        }
        Ok(())
    }

    /// Replays one file and leaves what follows it.
    fn file(&mut self, seed: u64, opened: Opened, rest: &mut &[u8]) -> Result<(), Problem> {
        let Opened { number, origin, missed, settings, state, .. } = opened;
        if missed > 0 {
            self.warn(format!("{missed} events before file {number} are in no file"));
        }
        let unusable = |reason| Problem::State { number, reason };
        let balancer = match state {
            Some(state) => state.restore(settings).map_err(unusable)?,
            None if settings.is_in_range() => Balancer::new(seed, settings),
            None => return Err(unusable(RestoreError::InvalidSettings)),
        };
        let mut replayed = Replayed::new(balancer, origin);
        self.report.files += 1;
        for place in 1_u64.. {
            match frame(rest) {
                Frame::Body(body) => {
                    let record = postcard::from_bytes(body).ok();
                    if record.and_then(|record| replayed.take(record, self)).is_none() {
                        self.warn(format!(
                            "record {place} of file {number} is damaged; its replay ends there"
                        ));
                        while let Frame::Body(_) = frame(rest) {}
                        return Ok(());
                    }
                }
                Frame::End => break,
                Frame::Cut => {
                    *rest = &[];
                    replayed.compare(self, true);
                    self.warn(format!("file {number} is cut off behind {} records", place - 1));
                    return Ok(());
                }
            }
        }
        replayed.compare(self, false);
        Ok(())
    }
}
