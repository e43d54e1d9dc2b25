//! What an application puts into the messages: its types, and how long each may be.

use flaxhead_membership::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::hash::Hash;

/// What can stand in a message.
pub trait Payload: Clone + Debug + Eq + Hash + Serialize + DeserializeOwned {}

impl<T: Clone + Debug + Eq + Hash + Serialize + DeserializeOwned> Payload for T {}

/// What is settled, as all processes are told it. An application that tells all the same thing has one; one whose word goes
/// to each alone takes `()`.
pub trait Slate: Payload + Default {
    /// Time went by: spans beside the slate are counted on.
    fn age(&mut self, by: Micros) {
        let _ = by;
    }

    /// Takes over what another slate has settled and this one does not have, where nobody knows for sure what is
    /// settled. Whether anything was new.
    fn absorb(&mut self, other: &Self) -> bool {
        let _ = other;
        false
    }
}

impl Slate for () {}

/// A payload that never is: for an application without orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Never {}

/// Why an order came to nothing before its application saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Unsettled {
    /// No holder could be reached.
    #[error(
        "no proxy that settles anything is reached from here: ask again once a majority of the voters runs"
    )]
    NoHolder,
    /// It was not on record in time; it may have been taken.
    #[error("it was not confirmed in time; ask again")]
    TimedOut,
    /// So many wait already.
    #[error("{0} orders wait here already; ask again once they are answered")]
    TooMany(usize),
}

/// The types of an application, and the most bytes of each as it is sent, which the driver holds on both sides.
pub trait Terms: Clone + Debug + Eq + Hash {
    /// What is settled, told to every process.
    type Slate: Slate;
    /// What a process says with each renewal.
    type Word: Payload;
    /// What goes along with the leave of one process.
    type Leave: Payload;
    /// What operators may order; [`Never`] for nothing.
    type Order: Payload;
    /// What an order led to, once it is on record.
    type Answer: Payload;
    /// Why an order changed nothing. [`Unsettled::NoHolder`] as an application's own refusal has the order given again.
    type Refusal: Payload + From<Unsettled>;
    /// What the application goes by, beside the members.
    type Facts;
    /// A step, for the trail and the log of the holder.
    type Note: Clone + Debug + Eq + Hash;

    /// Most bytes of a slate.
    const SLATE_MOST: usize;
    /// Most bytes of a word.
    const WORD_MOST: usize;
    /// Most bytes of what goes along with a leave.
    const LEAVE_MOST: usize;
    /// Most bytes of an order, an answer or a refusal.
    const ORDER_MOST: usize;
}
