//! Hosts that are taken out for work while an experiment runs: the operators, and what the nodes' own ledgers say of it.

pub mod judge;
pub mod operators;
pub mod script;
