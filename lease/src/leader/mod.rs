//! What a leader keeps, whatever its application: its lease, the roster, and what each process has applied and reported.

mod candidacy;
mod command;
mod commit;
mod context;
mod dissemination;
mod lease;
mod peer;
mod roster;
mod state;
mod voter_record;

pub(crate) use candidacy::Candidacy;
pub(crate) use command::CommittedResponse;
pub use context::LeaderContext;
pub(crate) use dissemination::Audience;
pub use peer::PeerState;
pub use state::LeaderState;
pub(crate) use state::{OwnState, INITIAL_ROUND};
