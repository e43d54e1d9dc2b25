//! Trait of the sources that deliver the endpoint list, such as a discovery client.

use crate::endpoint_list::EndpointList;
use std::future::Future;
use std::pin::Pin;

/// Error of any type, for sources that fail in different ways.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Callback that receives each list of a watch.
pub type ListHandler = Box<dyn FnMut(EndpointList)>;

/// Watch in progress; completes with the error that ended it.
pub type WatchFuture = Pin<Box<dyn Future<Output = BoxError>>>;

/// Source of the endpoint list and its changes, such as a discovery client.
pub trait ListSource {
    /// Watches the list and passes each list received to the handler. `since` is the version that the caller
    /// has; `None` requests the full list. Dropping the future ends the watch.
    fn watch(&self, since: Option<u64>, handler: ListHandler) -> WatchFuture;
}
