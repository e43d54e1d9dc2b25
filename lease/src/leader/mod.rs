//! State of a leader that does not depend on the kind of application: the leader's lease, the roster, and
//! what it knows of each process.

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
pub(crate) use dissemination::ReceiverSet;
pub use peer::PeerState;
pub use state::LeaderState;
pub(crate) use state::{OwnState, INITIAL_RENEWAL_ROUND};
