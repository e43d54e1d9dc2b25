//! Clients and hosts that make a proxy hold much: slow ones, large ones, and such that do not read.

use super::{request, Message, Reader};
use crate::common::serve::{bound, serve_each};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Most bytes of a body.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// A field of a head that is nearly as large as heads may be.
const LARGE_FIELD_BYTES: usize = 60_000;
/// Fields that a head may have beside those of a request.
const SHORT_FIELDS: usize = 90;
/// Pause between two pieces of a slow sender.
const PIECE_DELAY: Duration = Duration::from_millis(10);

/// What a client does that is no sound one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Abuse {
    /// Says nothing.
    Idle,
    /// Sends a body of 3,000 bytes ten at a time.
    BodyInPieces,
    /// Sends the largest request but for its last byte.
    LacksLastByte,
    /// Sends a head of many short fields, but for its end.
    ShortFields,
    /// The same with far more fields than a head may have.
    TooManyFields,
    /// Sends a large head a hundred bytes at a time.
    HeadInPieces,
    /// Asks once, rests, and then sends a large head but for its end.
    RestsFirst,
    /// Sends much behind a request.
    SendsBehind,
    /// Asks, and does not read the response.
    DoesNotRead,
    /// Sends the largest request, whole.
    Whole,
    /// Sends a request with an id that is nearly as long as a head may be.
    LongId,
}

pub const ABUSES: [Abuse; 11] = [
    Abuse::Idle,
    Abuse::BodyInPieces,
    Abuse::LacksLastByte,
    Abuse::ShortFields,
    Abuse::TooManyFields,
    Abuse::HeadInPieces,
    Abuse::RestsFirst,
    Abuse::SendsBehind,
    Abuse::DoesNotRead,
    Abuse::Whole,
    Abuse::LongId,
];

/// A request that nobody else sends.
fn fresh(class: &str, more: &str, body: &str) -> String {
    thread_local!(static LAST: Cell<u64> = const { Cell::new(0) });
    let number = LAST.get() + 1;
    LAST.set(number);
    request(class, more, body).replace("9b1f03aa5c7e2d41", &format!("ab{number:014}"))
}

fn largest() -> String {
    fresh("unsafe", &large_field(), &"x".repeat(MAX_BODY_BYTES))
}

fn large_field() -> String {
    format!("X-Fill: {}\r\n", "f".repeat(LARGE_FIELD_BYTES))
}

fn but_last(text: &str) -> &[u8] {
    &text.as_bytes()[..text.len() - 1]
}

async fn in_pieces(stream: &mut TcpStream, bytes: &[u8], length: usize) -> std::io::Result<()> {
    for piece in bytes.chunks(length) {
        stream.write_all(piece).await?;
        sleep(PIECE_DELAY).await;
    }
    Ok(())
}

impl Abuse {
    /// Opens so many connections and misuses them, for as long as the caller holds what is returned.
    pub async fn begin(self, address: SocketAddr, count: usize) -> Vec<flaxhead_engine::Task> {
        let mut clients = Vec::new();
        for _ in 0..count {
            let socket = TcpSocket::new_v4().expect("a socket");
            if self == Abuse::DoesNotRead {
                socket.set_recv_buffer_size(4 << 10).expect("it is set");
            }
            // More than the proxy has places for may come.
            let Ok(mut stream) = socket.connect(address).await else { continue };
            clients.push(flaxhead_engine::spawn(async move {
                // The proxy may refuse it, or close.
                let _ = self.misuse(&mut stream).await;
                std::future::pending::<()>().await;
            }));
        }
        clients
    }

    async fn misuse(self, stream: &mut TcpStream) -> std::io::Result<()> {
        match self {
            Abuse::Idle => Ok(()),
            Abuse::BodyInPieces => {
                let text = fresh("unsafe", "", &"x".repeat(3_000));
                let (head, body) = text.as_bytes().split_at(text.len() - 3_000);
                stream.write_all(head).await?;
                in_pieces(stream, body, 10).await
            }
            Abuse::LacksLastByte => stream.write_all(but_last(&largest())).await,
            Abuse::ShortFields => {
                let fields: String = (0..SHORT_FIELDS).map(|number| format!("a{number}:b\r\n")).collect();
                stream.write_all(but_last(&fresh("unsafe", &fields, "x"))).await
            }
            Abuse::TooManyFields => {
                stream.write_all(but_last(&fresh("unsafe", &"a:b\r\n".repeat(12_000), "x"))).await
            }
            Abuse::HeadInPieces => {
                in_pieces(stream, fresh("unsafe", &large_field(), "").as_bytes(), 100).await
            }
            Abuse::RestsFirst => {
                stream.write_all(fresh("free", "", "").as_bytes()).await?;
                let mut reader = Reader::new(stream);
                if reader.message().await.is_none() {
                    return Ok(());
                }
                sleep(Duration::from_millis(300)).await;
                reader.stream.write_all(but_last(&fresh("unsafe", &large_field(), ""))).await
            }
            Abuse::SendsBehind => {
                let text = fresh("free", "", "") + &"z".repeat(15_000);
                stream.write_all(text.as_bytes()).await
            }
            Abuse::DoesNotRead => {
                for _ in 0..4 {
                    stream.write_all(fresh("free", "", "").as_bytes()).await?;
                }
                Ok(())
            }
            Abuse::Whole => stream.write_all(largest().as_bytes()).await,
            Abuse::LongId => {
                let text = fresh("unsafe", "", "x");
                let long = format!("X-Call-Id: {}ab", "f".repeat(LARGE_FIELD_BYTES));
                stream.write_all(text.replace("X-Call-Id: ab", &long).as_bytes()).await
            }
        }
    }
}

/// How a host answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// At once and shortly.
    Soundly,
    /// With the largest body.
    Largely,
    /// With 3,000 bytes, ten at a time.
    InPieces,
    /// With a large head and the largest body, of which the last byte never comes.
    WithoutLastByte,
    /// The same without a length.
    WithoutEnd,
    /// With as many fields as a head may have.
    WithManyFields,
    /// Not at all.
    Never,
}

pub const ANSWERS: [Answers; 7] = [
    Answers::Soundly,
    Answers::Largely,
    Answers::InPieces,
    Answers::WithoutLastByte,
    Answers::WithoutEnd,
    Answers::WithManyFields,
    Answers::Never,
];

/// How often hosts have had each id.
pub type Runs = Rc<RefCell<BTreeMap<String, usize>>>;

impl Answers {
    /// A host that answers so, and counts in `runs`. Small requests that it is told are sound are answered soundly.
    pub async fn host(self, runs: Runs) -> SocketAddr {
        let (listener, address) = bound().await;
        serve_each(listener, move |stream| {
            let runs = runs.clone();
            async move {
                let mut reader = Reader::new(stream);
                while let Some(message) = reader.message().await {
                    *runs.borrow_mut().entry(id_of(&message)).or_default() += 1;
                    let is_sound = id_of(&message).starts_with(SOUND_PREFIX);
                    let answers = if is_sound { Answers::Soundly } else { self };
                    if answers.write(&mut reader.stream).await.is_err() {
                        return;
                    }
                }
            }
        });
        address
    }

    async fn write(self, stream: &mut TcpStream) -> std::io::Result<()> {
        let body = vec![b'x'; MAX_BODY_BYTES];
        match self {
            Answers::Soundly => stream.write_all(&whole("", b"ok")).await,
            Answers::Largely => stream.write_all(&whole("", &body)).await,
            Answers::InPieces => in_pieces(stream, &whole("", &body[..3_000]), 10).await,
            Answers::WithoutLastByte => {
                let text = whole(&large_field(), &body);
                stream.write_all(&text[..text.len() - 1]).await?;
                until_closed(stream).await
            }
            Answers::WithoutEnd => {
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfff0\r\n";
                stream.write_all(head).await?;
                stream.write_all(&body[..60_000]).await?;
                until_closed(stream).await
            }
            Answers::WithManyFields => {
                let fields: String = (0..SHORT_FIELDS).map(|number| format!("a{number}: b\r\n")).collect();
                stream.write_all(&whole(&fields, b"ok")).await
            }
            Answers::Never => until_closed(stream).await,
        }
    }
}

/// What the ids of sound requests begin with.
pub const SOUND_PREFIX: &str = "50";

fn id_of(message: &Message) -> String {
    message.header("x-call-id").expect("an id").to_owned()
}

fn whole(more: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\n{more}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

async fn until_closed(stream: &mut TcpStream) -> std::io::Result<()> {
    let _ = stream.read(&mut [0; 8]).await?;
    Err(std::io::ErrorKind::ConnectionAborted.into())
}

/// Runs a future beside others, whatever becomes of it.
pub fn beside(future: impl std::future::Future<Output = ()> + 'static) {
    spawn_local(future);
}
