//! An HTTP/2 server made of frames (RFC 9113), for stand-ins: it says what it is told to, also what no proper server
//! would say.

use loona_hpack::{Decoder, Encoder};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// What a client's connection begins with.
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// SETTINGS_MAX_CONCURRENT_STREAMS and SETTINGS_INITIAL_WINDOW_SIZE.
pub const MAX_CONCURRENT_STREAMS: u16 = 3;
/// How much may be sent on a stream before its peer says more.
pub const INITIAL_WINDOW_SIZE: u16 = 4;
/// Error codes.
pub const NO_ERROR: u32 = 0;
/// A code of a stream that was not processed at all.
pub const REFUSED_STREAM: u32 = 7;

/// Frame types.
#[allow(missing_docs, reason = "the names are the standard's")]
pub mod kind {
    pub const DATA: u8 = 0;
    pub const HEADERS: u8 = 1;
    pub const RST_STREAM: u8 = 3;
    pub const SETTINGS: u8 = 4;
    pub const PING: u8 = 6;
    pub const GOAWAY: u8 = 7;
    pub const WINDOW_UPDATE: u8 = 8;
    pub const CONTINUATION: u8 = 9;
}

/// END_STREAM, and ACK.
const END: u8 = 1;
const END_HEADERS: u8 = 4;
const PADDED: u8 = 8;
const PRIORITY: u8 = 32;
/// Most bytes of a frame, unless agreed otherwise.
const FRAME: usize = 16_384;
/// Bytes that may be sent on a connection before its peer says more.
const WINDOW: i64 = 65_535;
/// Most bytes of a request that are kept.
const BODY_MOST: usize = 1 << 20;

/// A frame's bytes.
pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(9 + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes()[1..]);
    bytes.extend_from_slice(&[kind, flags]);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Fields as a header block that leaves the peer's table alone.
pub fn block(fields: &[(&str, &str)]) -> Vec<u8> {
    Encoder::new().encode(fields.iter().map(|(name, value)| (name.as_bytes(), value.as_bytes())))
}

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its stream.
    pub stream: u32,
    /// Its path.
    pub path: String,
    /// Its other fields.
    pub fields: HashMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first frame came.
    pub first_byte: Instant,
}

/// What a client says.
#[derive(Clone, Debug)]
pub enum Heard {
    /// A request, whole.
    Request(Request),
    /// It gives a stream up.
    Reset {
        /// Which.
        stream: u32,
    },
    /// It has taken SETTINGS in.
    Acknowledged,
    /// The connection has ended, or what comes is no HTTP/2.
    Ended,
}

/// Reads a client's side of a connection.
pub struct Ear<R> {
    read: R,
    pen: Pen,
    decoder: Decoder<'static>,
    open: HashMap<u32, Request>,
    /// Requests get no more room than the first window gives.
    stalls: bool,
}

impl<R: AsyncRead + Unpin> Ear<R> {
    /// Reads the preface; what must be acknowledged it has `pen` acknowledge. With `stalls` a client gets no more room
    /// to send in than it has from the start.
    pub async fn new(mut read: R, pen: Pen, stalls: bool) -> io::Result<Ear<R>> {
        let mut preface = [0; PREFACE.len()];
        read.read_exact(&mut preface).await?;
        if preface != PREFACE {
            return Err(io::Error::other("no HTTP/2"));
        }
        Ok(Ear { read, pen, decoder: Decoder::new(), open: HashMap::new(), stalls })
    }

    /// What comes next. Not to be dropped before it is there.
    pub async fn next(&mut self) -> Heard {
        loop {
            match self.frame().await {
                Ok(None) => {}
                Ok(Some(heard)) => return heard,
                Err(_) => return Heard::Ended,
            }
        }
    }

    async fn read_frame(&mut self) -> io::Result<(u8, u8, u32, Vec<u8>)> {
        let mut head = [0; 9];
        self.read.read_exact(&mut head).await?;
        let [a, b, c, kind, flags, s @ ..] = head;
        let length = u32::from_be_bytes([0, a, b, c]) as usize;
        if length > FRAME {
            return Err(io::Error::other("a frame is too long"));
        }
        let mut payload = vec![0; length];
        self.read.read_exact(&mut payload).await?;
        Ok((kind, flags, u32::from_be_bytes(s) & 0x7fff_ffff, payload))
    }

    async fn frame(&mut self) -> io::Result<Option<Heard>> {
        let bad = || io::Error::other("a bad frame");
        let (kind, flags, stream, payload) = self.read_frame().await?;
        match kind {
            kind::HEADERS => {
                let first_byte = Instant::now();
                let mut part = payload.as_slice();
                let padding = match flags & PADDED {
                    0 => 0,
                    _ => usize::from(*part.split_off_first().ok_or_else(bad)?),
                };
                if flags & PRIORITY != 0 {
                    part = part.get(5..).ok_or_else(bad)?;
                }
                let mut block = part.get(..part.len().saturating_sub(padding)).ok_or_else(bad)?.to_vec();
                let mut whole = flags & END_HEADERS != 0;
                while !whole {
                    let (kind, flags, _, more) = self.read_frame().await?;
                    if kind != kind::CONTINUATION || block.len() > BODY_MOST {
                        return Err(bad());
                    }
                    block.extend(more);
                    whole = flags & END_HEADERS != 0;
                }
                let fields = self.decoder.decode(&block).map_err(|_| bad())?;
                let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
                let mut fields: HashMap<String, String> =
                    fields.into_iter().map(|(name, value)| (text(name), text(value))).collect();
                let path = fields.remove(":path").unwrap_or_default();
                let request = Request { stream, path, fields, body: Vec::new(), first_byte };
                if flags & END != 0 {
                    return Ok(Some(Heard::Request(request)));
                }
                self.open.insert(stream, request);
            }
            kind::DATA => {
                if !self.stalls && !payload.is_empty() {
                    for of in [0, stream] {
                        self.pen.raw(frame(
                            kind::WINDOW_UPDATE,
                            0,
                            of,
                            &(payload.len() as u32).to_be_bytes(),
                        ));
                    }
                }
                let Some(request) = self.open.get_mut(&stream) else { return Ok(None) };
                if request.body.len() + payload.len() > BODY_MOST {
                    return Err(bad());
                }
                request.body.extend(payload);
                if flags & END != 0 {
                    return Ok(self.open.remove(&stream).map(Heard::Request));
                }
            }
            kind::RST_STREAM => {
                self.open.remove(&stream);
                return Ok(Some(Heard::Reset { stream }));
            }
            kind::SETTINGS if flags & END == 0 => self.pen.raw(frame(kind::SETTINGS, END, 0, &[])),
            kind::SETTINGS => return Ok(Some(Heard::Acknowledged)),
            kind::PING if flags & END == 0 => self.pen.pong(&payload),
            kind::WINDOW_UPDATE if stream == 0 => {
                let more: [u8; 4] = payload.try_into().map_err(|_| bad())?;
                self.pen.widen(i64::from(u32::from_be_bytes(more)));
            }
            _ => {}
        }
        Ok(None)
    }
}

#[derive(Debug)]
struct Queue {
    window: i64,
    /// Frames that wait for room, and the room that each takes.
    waiting: VecDeque<(Vec<u8>, i64)>,
    out: UnboundedSender<Vec<u8>>,
    deaf: bool,
}

/// Writes a server's side of a connection. It closes once all of these are dropped.
#[derive(Clone, Debug)]
pub struct Pen(Rc<RefCell<Queue>>);

impl Pen {
    /// One, and what is to be written; it begins with SETTINGS.
    pub fn new(settings: &[(u16, u32)]) -> (Pen, UnboundedReceiver<Vec<u8>>) {
        let (out, written) = unbounded_channel();
        let queue = Queue { window: WINDOW, waiting: VecDeque::new(), out, deaf: false };
        let pen = Pen(Rc::new(RefCell::new(queue)));
        pen.settings(settings);
        (pen, written)
    }

    /// These bytes, whatever they are.
    pub fn raw(&self, bytes: Vec<u8>) {
        self.push(bytes, 0);
    }

    fn push(&self, bytes: Vec<u8>, room: i64) {
        let mut queue = self.0.borrow_mut();
        queue.waiting.push_back((bytes, room));
        queue.flush();
    }

    fn widen(&self, more: i64) {
        let mut queue = self.0.borrow_mut();
        queue.window += more;
        queue.flush();
    }

    /// Pings are not answered from now on.
    pub fn fall_silent(&self) {
        self.0.borrow_mut().deaf = true;
    }

    fn pong(&self, payload: &[u8]) {
        if !self.0.borrow().deaf {
            self.raw(frame(kind::PING, END, 0, payload));
        }
    }

    /// SETTINGS.
    pub fn settings(&self, settings: &[(u16, u32)]) {
        let pair = |(id, value): &(u16, u32)| [&id.to_be_bytes()[..], &value.to_be_bytes()].concat();
        let payload: Vec<u8> = settings.iter().flat_map(pair).collect();
        self.raw(frame(kind::SETTINGS, 0, 0, &payload));
    }

    /// HEADERS: the head of an answer, its trailers or both.
    pub fn headers(&self, stream: u32, fields: &[(&str, &str)], end: bool) {
        let end = if end { END } else { 0 };
        self.raw(frame(kind::HEADERS, END_HEADERS | end, stream, &block(fields)));
    }

    /// DATA, as the connection's window allows.
    pub fn data(&self, stream: u32, bytes: &[u8]) {
        for part in bytes.chunks(FRAME) {
            self.push(frame(kind::DATA, 0, stream, part), part.len() as i64);
        }
    }

    /// A whole gRPC answer with one message.
    pub fn answer(&self, stream: u32, message: &[u8], fields: &[(&str, &str)]) {
        self.headers(stream, &[(":status", "200"), ("content-type", "application/grpc")], false);
        let mut framed = vec![0];
        framed.extend_from_slice(&(message.len() as u32).to_be_bytes());
        framed.extend_from_slice(message);
        self.data(stream, &framed);
        self.headers(stream, &[&[("grpc-status", "0")], fields].concat(), true);
    }

    /// A gRPC answer of trailers only.
    pub fn status(&self, stream: u32, code: u8, fields: &[(&str, &str)]) {
        let code = code.to_string();
        let head = [(":status", "200"), ("content-type", "application/grpc"), ("grpc-status", &*code)];
        self.headers(stream, &[&head, fields].concat(), true);
    }

    /// RST_STREAM.
    pub fn reset(&self, stream: u32, code: u32) {
        self.raw(frame(kind::RST_STREAM, 0, stream, &code.to_be_bytes()));
    }

    /// GOAWAY.
    pub fn go_away(&self, last: u32, code: u32) {
        self.raw(frame(kind::GOAWAY, 0, 0, &[last.to_be_bytes(), code.to_be_bytes()].concat()));
    }
}

impl Queue {
    fn flush(&mut self) {
        while self.waiting.front().is_some_and(|(_, room)| *room <= self.window) {
            let Some((bytes, room)) = self.waiting.pop_front() else { return };
            self.window -= room;
            // Whoever reads may have gone.
            let _ = self.out.send(bytes);
        }
    }
}

/// Writes what a pen says until it is dropped, or the connection breaks.
pub async fn write(mut to: impl AsyncWrite + Unpin, mut written: UnboundedReceiver<Vec<u8>>) {
    while let Some(bytes) = written.recv().await {
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
    // One that has broken needs no end.
    let _ = to.shutdown().await;
}
