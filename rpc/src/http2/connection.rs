//! One HTTP/2 connection: opened with its peer's limits known, watched until it takes nothing new.

use bytes::Bytes;
use flaxhead_engine::BoxError;
use h2::client::{Builder, Connection, SendRequest};
use h2::{Ping, PingPong};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

/// Most bytes of a peer's headers, as HPACK counts them.
const HEADERS_MOST: u32 = 16 << 10;
/// Bytes that a peer may send ahead, on a stream and on a connection.
const STREAM_WINDOW: u32 = 256 << 10;
const CONNECTION_WINDOW: u32 = 1 << 20;
/// Streams that were given up and whose answers may still be on their way. Past them a late answer counts as an error of
/// the peer, of which h2 bears some thousand before it ends the connection.
const RESET_STREAMS: usize = 4_096;

/// Least time for the answer to a PING: it stands in line behind all else on the connection.
const PONG_LEAST: Duration = Duration::from_secs(1);

/// Opened, with its SETTINGS known.
pub struct Opened {
    /// Sends requests.
    pub sender: SendRequest<Bytes>,
    connection: Connection<TcpStream, Bytes>,
    pings: PingPong,
}

/// What happens to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// Its peer allows so many streams.
    Limit(usize),
    /// It takes nothing new.
    Lost,
}

/// What its owner tells it.
#[derive(Debug, Default)]
pub struct Orders {
    /// An attempt was given up on it: it may be dead.
    pub suspect: Notify,
    /// It is no longer used, and ends once nothing is out on it.
    pub retire: Notify,
}

/// Opens a connection. It is up once its peer has answered a PING: a peer's SETTINGS come first, so its limit on
/// streams is known then (RFC 9113, section 3.4).
pub async fn open(address: SocketAddr, limit: Duration) -> Result<Opened, BoxError> {
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut builder = Builder::new();
        builder
            .enable_push(false)
            .max_header_list_size(HEADERS_MOST)
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_concurrent_reset_streams(RESET_STREAMS)
            .reset_stream_duration(Duration::from_secs(1));
        let (sender, mut connection) = builder.handshake(stream).await?;
        let mut pings = connection.ping_pong().ok_or("no pings")?;
        pings.send_ping(Ping::opaque())?;
        poll_fn(|context| {
            if let Poll::Ready(ended) = pin!(&mut connection).poll(context) {
                return Poll::Ready(Err::<(), BoxError>(match ended {
                    Ok(()) => "it was closed at once".into(),
                    Err(error) => error.into(),
                }));
            }
            pings.poll_pong(context).map_ok(drop).map_err(BoxError::from)
        })
        .await?;
        Ok::<_, BoxError>(Opened { sender, connection, pings })
    };
    timeout(limit, opening).await?
}

impl Opened {
    /// Streams that the peer allows.
    pub fn limit(&self) -> usize {
        self.connection.max_concurrent_send_streams()
    }

    /// Drives the connection until it ends, and tells what happens to it. One that does not answer a PING within
    /// `patience` after an attempt on it was given up is taken for dead.
    pub async fn serve(self, orders: Rc<Orders>, patience: Duration, mut tell: impl FnMut(News)) {
        let Opened { sender, mut connection, mut pings } = self;
        let mut limit = connection.max_concurrent_send_streams();
        let mut sender = Some(sender);
        let patience = patience.max(PONG_LEAST);
        let mut pong_due: Option<Instant> = None;
        loop {
            let progress = poll_fn(|context| {
                let ended = pin!(&mut connection).poll(context).is_ready();
                let now = connection.max_concurrent_send_streams();
                if now != limit {
                    limit = now;
                    return Poll::Ready(Progress::Limit(now));
                }
                if ended {
                    return Poll::Ready(Progress::Ended);
                }
                // A GOAWAY shows here, while streams that are out may still end well.
                match sender.as_mut().map(|sender| sender.poll_ready(context)) {
                    Some(Poll::Ready(Err(_))) => Poll::Ready(Progress::GoesAway),
                    _ => Poll::Pending,
                }
            });
            tokio::select! {
                // What has come is read before its time is found to be over: this thread may have been late itself.
                biased;
                progress = progress => match progress {
                    Progress::Limit(limit) => tell(News::Limit(limit)),
                    Progress::GoesAway => {
                        sender = None;
                        tell(News::Lost);
                    }
                    Progress::Ended => break,
                },
                () = orders.retire.notified() => sender = None,
                () = orders.suspect.notified(), if pong_due.is_none() => {
                    if pings.send_ping(Ping::opaque()).is_ok() {
                        pong_due = Some(Instant::now() + patience);
                    }
                }
                pong = poll_fn(|context: &mut Context| pings.poll_pong(context)), if pong_due.is_some() => match pong {
                    Ok(_) => pong_due = None,
                    Err(_) => break,
                },
                () = sleep_until(pong_due.unwrap_or_else(Instant::now)), if pong_due.is_some() => break,
            }
        }
        tell(News::Lost);
    }
}

enum Progress {
    Limit(usize),
    GoesAway,
    Ended,
}
