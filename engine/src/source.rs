//! Where the list of hosts comes from.

use crate::list::List;
use std::future::Future;
use std::pin::Pin;

/// Any failure, in words.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Takes a list in.
pub type News = Box<dyn FnMut(List)>;

/// A watch under way; it ends with the reason for which it ended.
pub type Watching = Pin<Box<dyn Future<Output = BoxError>>>;

/// Brings the list of hosts and its changes.
pub trait Source {
    /// Watches the list from version `since` on (`None`: from the whole list) and passes on what comes, until the
    /// watch ends. It is ended by dropping it.
    fn watch(&self, since: Option<u64>, news: News) -> Watching;
}
