//! nettleworks is a client proxy: it takes an application's requests and passes each to a host of a fleet, as
//! the decision module `ochrepond` says.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod access;
pub mod audit;
pub mod capture;
pub mod config;
pub mod discovery;
pub mod driver;
pub mod features;
pub mod output;
pub mod program;
pub mod server;
pub mod side;
pub mod status;
pub mod upstream;

use config::Config;
use side::Side;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How long a stop waits for its last lines to be written.
const LAST_LINES: Duration = Duration::from_millis(500);

/// Serves until `stop` is done and all that was taken is answered, with the list that is watched at the last
/// address in `discovery` and the features of `side`. Runs inside a [`tokio::task::LocalSet`].
pub async fn run(
    config: Config,
    mut side: Side,
    listener: TcpListener,
    mut discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) {
    let trail = side.trail.clone();
    let driver = driver::Handle::start(Rc::new(config), side.hooks());
    let _dumps = side.dumps.map(|dumps| upstream::spawn(dumps.serve(driver.clone())));
    let _status = side.status.map(|page| upstream::spawn(page.serve(driver.clone())));
    let moving = driver.clone();
    let _moving = upstream::spawn(async move {
        while discovery.changed().await.is_ok() {
            moving.watch_at(*discovery.borrow_and_update());
        }
    });
    server::serve(listener, driver.clone(), side.access, stop).await;
    driver.log_counts();
    if let Some(trail) = trail {
        trail.close().await;
    }
    output::flush(LAST_LINES).await;
}
