//! Where the endpoint list comes from.

use crate::endpoint_list::EndpointList;
use std::future::Future;
use std::pin::Pin;

/// Any failure.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Receives each list of a watch.
pub type ListHandler = Box<dyn FnMut(EndpointList)>;

/// A watch in progress; it ends with the reason for which it ended.
pub type WatchFuture = Pin<Box<dyn Future<Output = BoxError>>>;

/// Delivers the endpoint list and its changes.
pub trait ListSource {
    /// Watches the list from version `since` on (`None`: from the full list) and passes what comes to the handler, until
    /// the watch ends. Dropping the future ends it.
    fn watch(&self, since: Option<u64>, handler: ListHandler) -> WatchFuture;
}
