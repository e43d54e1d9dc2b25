//! What a leader keeps, whatever its application: its lease, the roster, and what each process has applied and reported.

mod candidacy;
mod commit;
mod context;
mod dissemination;
mod lease;
mod peer;
mod roster;
mod state;

pub(crate) use candidacy::Candidacy;
pub(crate) use commit::CommittedResponse;
pub use context::LeaderContext;
pub(crate) use dissemination::Audience;
pub use peer::PeerState;
pub use state::LeaderState;
pub(crate) use state::{OwnState, INITIAL_ROUND};
