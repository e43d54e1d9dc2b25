//! Client proxies that know of each other: the membership's machine by the hundreds in virtual time, and real processes
//! with a relay between them that breaks what they say.

pub mod judge;
pub mod relay;
pub mod rig;
pub mod virtual_net;
