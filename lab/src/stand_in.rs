//! A host over HTTP/2 that does with each request what a test says, and anything at all with its connections.

use crate::http2::{write, Ear, Heard, Pen};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::{spawn_local, AbortHandle, LocalSet};

/// A request at a host.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The connection, from 0.
    pub connection: usize,
    /// Its stream.
    pub stream: u32,
    /// Its path.
    pub path: String,
    /// Its fields.
    pub fields: HashMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
    /// When it was whole.
    pub at: Instant,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// It is answered with its own message.
    Answer,
    /// It is answered so after this time.
    After(Duration),
    /// A status in trailers alone, with these fields.
    Status(u8, &'static [(&'static str, &'static str)]),
    /// A status after a head.
    Trailers(u8),
    /// A head and a message, and no end.
    Half,
    /// Its stream is reset.
    Reset(u32),
    /// A head, then its stream is reset.
    HeadThenReset(u32),
    /// GOAWAY with this code that says that it was not taken, then the connection closes.
    GoAwayBelow(u32),
    /// GOAWAY with this code that says that it was taken, then the connection closes.
    GoAwayAt(u32),
    /// GOAWAY that says that it was taken, then it is answered.
    GoAwayAndAnswer,
    /// A head, then GOAWAY that says that it was not taken.
    HeadThenGoAwayBelow,
    /// The connection closes.
    Close,
    /// Nothing, until the test says so.
    Stall,
}

/// What a test orders, for every connection.
#[derive(Clone, Debug)]
pub enum Order {
    /// SETTINGS.
    Settings(Vec<(u16, u32)>),
    /// What stalls is answered.
    AnswerAll,
    /// GOAWAY that says that all was taken so far.
    GoAway,
    /// These bytes.
    Raw(Vec<u8>),
    /// Pings are no longer answered.
    FallSilent,
    /// The connections close.
    Close,
    /// New connections are accepted, or closed at once.
    Accept(bool),
    /// The host ends.
    Stop,
}

/// Says what becomes of a request, by its number at this host, from 0.
pub type Script = Box<dyn FnMut(&Seen, usize) -> Act + Send>;

/// How a host is.
pub struct Manner {
    /// What its connections begin with.
    pub settings: Vec<(u16, u32)>,
    /// Requests get no room beyond the first window.
    pub stalls: bool,
    /// Pause before a new connection's first byte.
    pub handshake: Duration,
    /// What becomes of each request.
    pub script: Script,
}

impl Manner {
    /// One without a limit, that does with each request what the script says.
    pub fn new(script: impl FnMut(&Seen, usize) -> Act + Send + 'static) -> Manner {
        Manner { settings: Vec::new(), stalls: false, handshake: Duration::ZERO, script: Box::new(script) }
    }

    /// With a limit on streams.
    pub fn streams(self, most: u32) -> Manner {
        Manner { settings: vec![(crate::http2::MAX_CONCURRENT_STREAMS, most)], ..self }
    }
}

#[derive(Debug, Default)]
struct Book {
    seen: Vec<Seen>,
    given_up: usize,
    acknowledged: usize,
    connections: usize,
    open: usize,
}

/// A running host. Dropped, it ends.
pub struct Host {
    /// Where it listens.
    pub address: SocketAddr,
    orders: UnboundedSender<Order>,
    book: Arc<Mutex<Book>>,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts one on a thread of its own.
    pub fn start(manner: Manner) -> io::Result<Host> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (orders, ordered) = unbounded_channel();
        let book = Arc::<Mutex<Book>>::default();
        let noted = book.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::Builder::new().name("host".to_owned()).spawn(move || {
            LocalSet::new().block_on(&runtime, async {
                if let Ok(listener) = TcpListener::from_std(listener) {
                    Server { manner, book: noted, connections: HashMap::new(), accepts: true }
                        .run(listener, ordered)
                        .await;
                }
            });
        })?;
        Ok(Host { address, orders, book, thread: Some(thread) })
    }

    /// Orders something.
    pub fn order(&self, order: Order) {
        // One that has ended does nothing more.
        let _ = self.orders.send(order);
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The requests that came whole.
    pub fn seen(&self) -> Vec<Seen> {
        self.book().seen.clone()
    }

    /// Whether one with this id came whole.
    pub fn has(&self, id: &str) -> bool {
        self.book().seen.iter().any(|seen| seen.fields.get("x-call-id").is_some_and(|own| own == id))
    }

    /// How many came whole.
    pub fn count(&self) -> usize {
        self.book().seen.len()
    }

    /// Streams that the client gave up.
    pub fn given_up(&self) -> usize {
        self.book().given_up
    }

    /// SETTINGS that were acknowledged.
    pub fn acknowledged(&self) -> usize {
        self.book().acknowledged
    }

    /// Connections that it took, and those that are open.
    pub fn connections(&self) -> (usize, usize) {
        let book = self.book();
        (book.connections, book.open)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.order(Order::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Server {
    manner: Manner,
    book: Arc<Mutex<Book>>,
    connections: HashMap<usize, Line>,
    accepts: bool,
}

/// An open connection.
struct Line {
    pen: Pen,
    reader: AbortHandle,
    last: u32,
    /// It has said that it takes no more.
    gone: bool,
    stalled: Vec<(u32, Vec<u8>)>,
}

enum News {
    Opened(usize, Pen, AbortHandle),
    Heard(usize, Heard),
    Due(usize, u32, Vec<u8>),
}

impl Server {
    async fn run(mut self, listener: TcpListener, mut orders: UnboundedReceiver<Order>) {
        let (told, mut news) = unbounded_channel();
        let mut next = 0;
        loop {
            tokio::select! {
                biased;
                order = orders.recv() => match order {
                    None | Some(Order::Stop) => return,
                    Some(order) => self.obey(order),
                },
                Some(news) = news.recv() => self.take(news, &told),
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    self.book().connections += 1;
                    if self.accepts {
                        self.open(next, stream, &told);
                        next += 1;
                    }
                },
            }
        }
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self, number: usize, stream: TcpStream, told: &UnboundedSender<News>) {
        let (settings, stalls) = (self.manner.settings.clone(), self.manner.stalls);
        let (pause, told) = (self.manner.handshake, told.clone());
        spawn_local(async move {
            tokio::time::sleep(pause).await;
            // What cannot be set costs time, not correctness.
            let _ = stream.set_nodelay(true);
            let (read, to) = stream.into_split();
            let (pen, written) = Pen::new(&settings);
            spawn_local(write(to, written));
            let heard = told.clone();
            let ear = pen.clone();
            let reader = spawn_local(async move {
                let Ok(mut ear) = Ear::new(read, ear, stalls).await else {
                    return drop(heard.send(News::Heard(number, Heard::Ended)));
                };
                loop {
                    let what = ear.next().await;
                    let ended = matches!(what, Heard::Ended);
                    if heard.send(News::Heard(number, what)).is_err() || ended {
                        return;
                    }
                }
            });
            let _ = told.send(News::Opened(number, pen, reader.abort_handle()));
        });
    }

    fn close(&mut self, number: usize) {
        if let Some(line) = self.connections.remove(&number) {
            line.reader.abort();
            self.book().open -= 1;
        }
    }

    fn obey(&mut self, order: Order) {
        if let Order::Accept(accepts) = order {
            self.accepts = accepts;
        }
        let numbers: Vec<usize> = self.connections.keys().copied().collect();
        for number in numbers {
            let Some(line) = self.connections.get_mut(&number) else { continue };
            match &order {
                Order::Settings(settings) => line.pen.settings(settings),
                Order::AnswerAll => {
                    line.stalled.drain(..).for_each(|(stream, body)| echo(&line.pen, stream, &body));
                }
                Order::GoAway => {
                    line.gone = true;
                    line.pen.go_away(line.last, crate::http2::NO_ERROR);
                }
                Order::Raw(bytes) => line.pen.raw(bytes.clone()),
                Order::FallSilent => line.pen.fall_silent(),
                Order::Close => self.close(number),
                Order::Accept(_) | Order::Stop => {}
            }
        }
        if let Order::Settings(settings) = order {
            self.manner.settings = settings;
        }
    }

    fn take(&mut self, news: News, told: &UnboundedSender<News>) {
        match news {
            News::Opened(number, pen, reader) => {
                self.book().open += 1;
                self.connections
                    .insert(number, Line { pen, reader, last: 0, gone: false, stalled: Vec::new() });
            }
            News::Due(number, stream, body) => {
                if let Some(line) = self.connections.get(&number) {
                    echo(&line.pen, stream, &body);
                }
            }
            News::Heard(number, Heard::Ended) => self.close(number),
            News::Heard(_, Heard::Acknowledged) => self.book().acknowledged += 1,
            News::Heard(number, Heard::Reset { stream }) => {
                self.book().given_up += 1;
                if let Some(line) = self.connections.get_mut(&number) {
                    line.stalled.retain(|(of, _)| *of != stream);
                }
            }
            News::Heard(number, Heard::Request(request)) => {
                let crate::http2::Request { stream, path, fields, body, .. } = request;
                if self.connections.get(&number).is_none_or(|line| line.gone) {
                    return;
                }
                let seen =
                    Seen { connection: number, stream, path, fields, body: body.clone(), at: Instant::now() };
                let number_here = self.book().seen.len();
                let act = (self.manner.script)(&seen, number_here);
                self.book().seen.push(seen);
                self.act(number, stream, body, act, told);
            }
        }
    }

    fn act(&mut self, number: usize, stream: u32, body: Vec<u8>, act: Act, told: &UnboundedSender<News>) {
        let Some(line) = self.connections.get_mut(&number) else { return };
        line.last = line.last.max(stream);
        let pen = line.pen.clone();
        let head = [(":status", "200"), ("content-type", "application/grpc")];
        match act {
            Act::Answer => echo(&pen, stream, &body),
            Act::After(pause) => {
                let told = told.clone();
                spawn_local(async move {
                    tokio::time::sleep(pause).await;
                    let _ = told.send(News::Due(number, stream, body));
                });
            }
            Act::Status(code, fields) => pen.status(stream, code, fields),
            Act::Trailers(code) => {
                pen.headers(stream, &head, false);
                pen.headers(stream, &[("grpc-status", &code.to_string())], true);
            }
            Act::Half => {
                pen.headers(stream, &head, false);
                pen.data(stream, &body);
            }
            Act::Reset(code) => pen.reset(stream, code),
            Act::HeadThenReset(code) => {
                pen.headers(stream, &head, false);
                pen.reset(stream, code);
            }
            Act::GoAwayBelow(code) | Act::GoAwayAt(code) => {
                let below = if matches!(act, Act::GoAwayBelow(_)) { 2 } else { 0 };
                pen.go_away(stream.saturating_sub(below), code);
                self.close(number);
            }
            Act::GoAwayAndAnswer => {
                pen.go_away(stream, crate::http2::NO_ERROR);
                echo(&pen, stream, &body);
            }
            Act::HeadThenGoAwayBelow => {
                pen.headers(stream, &head, false);
                pen.go_away(stream.saturating_sub(2), crate::http2::NO_ERROR);
            }
            Act::Close => self.close(number),
            Act::Stall => line.stalled.push((stream, body)),
        }
    }
}

/// Answers a request with its own message.
fn echo(pen: &Pen, stream: u32, body: &[u8]) {
    pen.answer(stream, body.get(5..).unwrap_or_default(), &[]);
}
