//! What goes wrong in a step.

/// A fault that lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lasting {
    /// Stopped, with all that comes meanwhile waiting for it.
    Frozen,
    /// It neither hears nor is heard.
    Apart,
    /// It hears nobody.
    Deaf,
    /// Nobody hears it.
    Mute,
}

impl Lasting {
    /// All.
    pub const ALL: &[Lasting] = &[Lasting::Frozen, Lasting::Apart, Lasting::Deaf, Lasting::Mute];
}

/// What befalls a step. `F`: what processes that all start again find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Act<F> {
    /// Nothing does.
    Nothing,
    /// The message of this place in the step is lost.
    Lose(usize),
    /// It is delivered, and once more later.
    Keep(usize),
    /// The kept one comes.
    Again,
    /// A process crashes and starts again before the message of this place.
    Crash(usize, usize),
    /// Something that lasts begins at a process before the message of this place.
    Begin(usize, Lasting, usize),
    /// All crash before the message of this place, and start again.
    Restart(F, usize),
}
