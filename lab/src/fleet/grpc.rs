//! A node's conversation over gRPC: the same model, faults and ledger as over HTTP/1.1. A request's message is the target
//! that it would have there.

use super::hand::{attended, InHand};
use super::http::Request;
use super::node::{away, handle, Answer, End, Said};
use super::{Epoch, Shared};
use crate::experiment::FaultKind;
use crate::http2::{self, write, Ear, Heard, Pen, MAX_CONCURRENT_STREAMS, NO_ERROR, REFUSED_STREAM};
use crate::ledger::{digest, Fate};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Streams that a connection has.
const STREAMS: u32 = 100;
/// And while they are few.
const FEW: u32 = 2;
/// INTERNAL_ERROR.
const INTERNAL: u32 = 2;
/// How long what was said last stands before the connection ends.
const LAST: Duration = Duration::from_millis(5);

/// What a connection's requests share.
struct Line {
    fleet: Shared,
    node: usize,
    proxy: usize,
    pen: Pen,
    /// It ends so.
    end: Rc<Cell<Option<bool>>>,
    ends: Rc<Notify>,
    last: Cell<u32>,
    /// It has said that it takes no more.
    leaving: Cell<bool>,
}

/// One connection, until it ends.
pub(super) async fn converse(fleet: &Shared, node: usize, proxy: usize, stream: &mut TcpStream) -> End {
    let (read, to) = stream.split();
    let few = |fleet: &Shared| fleet.borrow().nodes[node].odds.contains_key(&FaultKind::FewStreams);
    let streams = |few| if few { FEW } else { STREAMS };
    let mut told = few(fleet);
    let (pen, written) = Pen::new(&[(MAX_CONCURRENT_STREAMS, streams(told))]);
    let line = Rc::new(Line {
        fleet: fleet.clone(),
        node,
        proxy,
        pen: pen.clone(),
        end: Rc::default(),
        ends: Rc::default(),
        last: Cell::new(0),
        leaving: Cell::new(false),
    });
    let listening = async {
        let Ok(mut ear) = Ear::new(read, pen, false).await else { return End::Close };
        let (mut calls, mut out) = (JoinSet::new(), HashMap::new());
        loop {
            // Not within a select: what has been read of a frame must not be lost.
            let heard = ear.next().await;
            while calls.try_join_next().is_some() {}
            if std::mem::replace(&mut told, few(fleet)) != told {
                line.pen.settings(&[(MAX_CONCURRENT_STREAMS, streams(told))]);
            }
            match heard {
                Heard::Ended => return End::Close,
                Heard::Acknowledged => {}
                Heard::Reset { stream } => drop(out.remove(&stream)),
                Heard::Request(_) if line.leaving.get() => {}
                Heard::Request(request) => {
                    if line.goes_wrong(FaultKind::ResetInRequest) {
                        return End::Reset;
                    }
                    let stream = request.stream;
                    line.last.set(line.last.get().max(stream));
                    if line.goes_wrong(FaultKind::RefusedStreams) {
                        line.pen.reset(stream, REFUSED_STREAM);
                        continue;
                    }
                    let (stays, gone) = oneshot::channel::<()>();
                    out.insert(stream, stays);
                    calls.spawn_local(line.clone().serve(request, gone));
                }
            }
        }
    };
    let ends = line.ends.clone();
    tokio::select! {
        end = listening => end,
        () = ends.notified() => match line.end.get() {
            Some(true) => End::Reset,
            _ => End::Close,
        },
        () = write(to, written) => End::Close,
    }
}

impl Line {
    fn goes_wrong(&self, kind: FaultKind) -> bool {
        self.fleet.borrow_mut().goes_wrong(self.node, kind)
    }

    /// The connection ends, for all that is out on it.
    async fn end(&self, reset: bool) {
        sleep(LAST).await;
        self.end.set(Some(reset));
        self.ends.notify_one();
    }

    async fn serve(self: Rc<Line>, request: http2::Request, gone: oneshot::Receiver<()>) {
        let Line { fleet, node, proxy, pen, .. } = &*self;
        let (epoch, stream): (Epoch, u32) = (fleet.borrow().epoch, request.stream);
        let field = |name: &str| request.fields.get(name).cloned();
        let ago = request.first_byte.elapsed().as_micros() as u64;
        let request = Request {
            target: String::from_utf8_lossy(request.body.get(5..).unwrap_or_default()).into_owned(),
            call: field("x-call-id"),
            key: field("idempotency-key"),
            first_byte: epoch.now().saturating_sub(ago),
            whole: epoch.now(),
        };
        let way = fleet.borrow().way(*proxy, *node);
        let paused = fleet.borrow().nodes[*node].model.paused_until();
        let Some(entry) = fleet.borrow_mut().reached(*node, *proxy, &request) else {
            return pen.status(stream, 12, &[]);
        };
        let hand = InHand::new(fleet, entry);
        let gone = async {
            // Its other end is dropped when the client gives the stream up.
            let _ = gone.await;
        };
        let work = |left| async {
            away(way).await;
            if paused > epoch.now() {
                epoch.until(paused).await;
            }
            let done = handle(fleet, *node, &request, entry, left).await;
            away(way).await;
            done
        };
        let done = attended(&hand, gone, work).await;
        match done {
            Answer::Left => {}
            Answer::Say(Said::Rejected) => pen.status(stream, 14, &[("x-rejected", "1")]),
            Answer::Say(Said::Failed) => pen.status(stream, 13, &[]),
            Answer::Say(Said::Repeat(body)) => pen.answer(stream, &body, &[]),
            Answer::Say(Said::Nothing) => self.end(true).await,
            Answer::Say(Said::Probe(_) | Said::Unknown) => pen.status(stream, 12, &[]),
            Answer::Ran(..) if self.goes_wrong(FaultKind::ResetAfterRequest) => pen.reset(stream, INTERNAL),
            Answer::Ran(..) if self.goes_wrong(FaultKind::AbruptGoAway) => {
                self.leaving.set(true);
                pen.go_away(self.last.get(), INTERNAL);
                self.end(false).await;
            }
            Answer::Ran(..) if self.goes_wrong(FaultKind::HalfClose) => self.end(false).await,
            Answer::Ran(..) if self.goes_wrong(FaultKind::Garbage) => {
                pen.raw(b"\xff\xff\xff this is no frame of any kind".to_vec());
                self.end(false).await;
            }
            Answer::Ran(entry, _) if self.goes_wrong(FaultKind::LateErrors) => {
                fleet.borrow_mut().ledger.handled[entry].fate = Fate::Failed { ran: true };
                pen.headers(stream, &[(":status", "200"), ("content-type", "application/grpc")], false);
                pen.headers(stream, &[("grpc-status", "13")], true);
            }
            Answer::Ran(_, body) if self.goes_wrong(FaultKind::ResetInAnswer) => {
                pen.headers(stream, &[(":status", "200"), ("content-type", "application/grpc")], false);
                pen.data(stream, &body[..body.len() / 2]);
                pen.reset(stream, INTERNAL);
            }
            Answer::Ran(entry, body) => {
                fleet.borrow_mut().ledger.handled[entry].fate = Fate::Served { body: digest(&body) };
                pen.answer(stream, &body, &[]);
                if self.goes_wrong(FaultKind::GoAway) || self.goes_wrong(FaultKind::ResetAfterAnswer) {
                    self.leaving.set(true);
                    pen.go_away(self.last.get(), NO_ERROR);
                }
            }
        }
        hand.answered();
    }
}
