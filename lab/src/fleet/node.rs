//! A node on sockets: it reads requests, has its model do the work, answers, and breaks as it is told.

use super::hand::{attended, InHand};
use super::http::{answer, Reader, Request, Unread};
use super::{grpc, Link, Shared, State};
use crate::experiment::FaultKind;
use crate::ledger::{digest, Fate, Handled};
use crate::model::node::{Admission, Micros};
use rand::Rng;
use socket2::SockRef;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Work of a probe, in microseconds of a core.
const PROBE: f64 = 200.0;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Time for the rest of a request whose first byte has come.
const REST: Duration = Duration::from_secs(10);
/// How long a connection that breaks after its answer still stands.
const STANDS: Duration = Duration::from_millis(50);
/// Most bytes of an answer's body.
const BODY_MOST: usize = 64 << 10;

/// How a connection ends.
pub(super) enum End {
    Close,
    Reset,
}

/// Serves all nodes.
pub(super) fn serve(fleet: &Shared, listeners: Vec<Vec<StdListener>>) {
    for (node, listeners) in listeners.into_iter().enumerate() {
        spawn_local(work(fleet.clone(), node));
        for (proxy, listener) in listeners.into_iter().enumerate() {
            spawn_local(accept(fleet.clone(), node, proxy, listener));
        }
    }
}

/// Ends jobs when the model says that they are done.
async fn work(fleet: Shared, node: usize) {
    let (epoch, changed) = (fleet.borrow().epoch, fleet.borrow().nodes[node].changed.clone());
    loop {
        let next = fleet.borrow().nodes[node].model.next_end();
        match next {
            Some(at) => tokio::select! {
                () = epoch.until(at) => {}
                () = changed.notified() => {}
            },
            None => changed.notified().await,
        }
        let mut state = fleet.borrow_mut();
        let State { nodes, ledger, .. } = &mut *state;
        let place = &mut nodes[node];
        for id in place.model.finished(epoch.now()) {
            if let Some((entry, waits)) = place.jobs.remove(&id) {
                ledger.handled[entry].fate = Fate::Unheard;
                // Whoever waited may have gone: then nobody hears of it.
                let _ = waits.send(());
            }
        }
    }
}

/// Accepts connections of one proxy, as long as the link is up.
async fn accept(fleet: Shared, node: usize, proxy: usize, listener: StdListener) {
    let mut link = fleet.borrow().nodes[node].links[proxy].subscribe();
    let address = fleet.borrow().nodes[node].addresses[proxy];
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let mut listener = Some(listener);
    let mut fillers: Vec<TcpStream> = Vec::new();
    loop {
        let now = *link.borrow_and_update();
        match (now, &listener) {
            (Link::Up, None) => match bind(address) {
                Ok(bound) => listener = Some(bound),
                Err(_) => sleep(Duration::from_millis(5)).await,
            },
            (Link::Up, Some(listening)) => tokio::select! {
                accepted = listening.accept() => if let Ok((stream, peer)) = accepted {
                    let own = fillers.iter().position(|f| f.local_addr().is_ok_and(|at| at == peer));
                    match own {
                        Some(own) => drop(fillers.swap_remove(own)),
                        None => drop(spawn_local(connection(fleet.clone(), node, proxy, stream))),
                    }
                },
                _ = link.changed() => {}
            },
            (Link::Silent, Some(listening)) => {
                // With a full queue of unaccepted connections the kernel drops what would open another.
                let _ = SockRef::from(listening).listen(0);
                for _ in 0..2 {
                    let opened = timeout(Duration::from_millis(20), TcpStream::connect(address)).await;
                    fillers.extend(opened.into_iter().flatten());
                }
                let _ = link.changed().await;
                let _ = SockRef::from(listening).listen(BACKLOG);
            }
            (Link::Down, _) | (Link::Silent, None) => {
                listener = None;
                fillers.clear();
                let _ = link.changed().await;
            }
        }
    }
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG.unsigned_abs())
}

fn reset(stream: &TcpStream) {
    // A connection that is already gone needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// One connection, until it ends or the link does.
async fn connection(fleet: Shared, node: usize, proxy: usize, mut stream: TcpStream) {
    let mut link = fleet.borrow().nodes[node].links[proxy].subscribe();
    {
        let mut state = fleet.borrow_mut();
        let now = state.epoch.now();
        state.ledger.connections[node] += 1;
        state.ledger.connects.note(now);
        let place = &mut state.nodes[node];
        if place.open >= place.spec.connections {
            return reset(&stream);
        }
        if state.goes_wrong(node, FaultKind::ResetBeforeRequest) {
            return reset(&stream);
        }
        let place = &mut state.nodes[node];
        place.open += 1;
        place.model.burden(now, place.spec.handshake_ms * 1_000.0);
        place.changed.notify_one();
    }
    let _ = stream.set_nodelay(true);
    let end = tokio::select! {
        end = speak(&fleet, node, proxy, &mut stream) => end,
        _ = link.wait_for(|link| *link != Link::Up) => End::Reset,
    };
    // What was cut off learns of it only once it can be reached again.
    let _ = link.wait_for(|link| *link != Link::Silent).await;
    if matches!(end, End::Reset) {
        reset(&stream);
    }
    fleet.borrow_mut().nodes[node].open -= 1;
}

/// A conversation in whichever protocol the other side begins.
async fn speak(fleet: &Shared, node: usize, proxy: usize, stream: &mut TcpStream) -> End {
    let idle = Duration::from_millis(fleet.borrow().nodes[node].spec.idle_ms);
    let mut start = [0; 3];
    let begun = async {
        loop {
            match stream.peek(&mut start).await {
                // What begins with a P is POST or the preface of HTTP/2: more must be there to tell.
                Ok(1 | 2) if start[0] == b'P' && start[1] != b'O' => sleep(Duration::from_millis(1)).await,
                Ok(count) if count > 0 => return true,
                _ => return false,
            }
        }
    };
    match timeout(idle, begun).await {
        Ok(true) if &start == b"PRI" => grpc::converse(fleet, node, proxy, stream).await,
        Ok(true) => converse(fleet, node, proxy, stream).await,
        Ok(false) | Err(_) => End::Close,
    }
}

/// Requests, one after the other.
async fn converse(fleet: &Shared, node: usize, proxy: usize, stream: &mut TcpStream) -> End {
    let (epoch, idle) = {
        let state = fleet.borrow();
        (state.epoch, Duration::from_millis(state.nodes[node].spec.idle_ms))
    };
    let (read, mut write) = stream.split();
    let mut reader = Reader::new(read, epoch);
    let mut ways = 3;
    loop {
        let Ok(Ok(first_byte)) = timeout(idle, reader.begins()).await else { return End::Close };
        if fleet.borrow_mut().goes_wrong(node, FaultKind::ResetInRequest) {
            return End::Reset;
        }
        let request = match timeout(REST, reader.rest(first_byte)).await {
            Ok(Ok(request)) => request,
            Ok(Err(Unread::Bad)) => {
                let _ = write.write_all(&answer(400, "Connection: close\r\n", b"")).await;
                return End::Close;
            }
            Ok(Err(Unread::Ended)) | Err(_) => return End::Close,
        };
        // A new connection has been there and back once before its first request.
        let way = fleet.borrow().way(proxy, node);
        let paused = fleet.borrow().nodes[node].model.paused_until();
        let entry = fleet.borrow_mut().reached(node, proxy, &request);
        let there = way * std::mem::replace(&mut ways, 1);
        let hand = entry.map(|entry| InHand::new(fleet, entry));
        let comes = async {
            away(there).await;
            if paused > epoch.now() {
                epoch.until(paused).await;
            }
        };
        let end = match &hand {
            None => {
                comes.await;
                let said = fleet.borrow_mut().aside(node, &request);
                away(way).await;
                Answer::Say(said)
            }
            Some(hand) => {
                let work = |left| async {
                    comes.await;
                    let done = handle(fleet, node, &request, hand.entry(), left).await;
                    away(way).await;
                    done
                };
                // Boxed, as one request's wait is most of what a connection holds.
                Box::pin(attended(hand, reader.ends(), work)).await
            }
        };
        let broken = |kind| fleet.borrow_mut().goes_wrong(node, kind);
        let answered = || hand.iter().for_each(InHand::answered);
        match end {
            Answer::Left => return End::Close,
            Answer::Say(said) => {
                if write.write_all(&said.http()).await.is_err() {
                    return End::Close;
                }
                answered();
            }
            // What an abrupt GOAWAY is over HTTP/2, a reset is here.
            Answer::Ran(_, _) if broken(FaultKind::ResetAfterRequest) || broken(FaultKind::AbruptGoAway) => {
                return End::Reset
            }
            Answer::Ran(_, _) if broken(FaultKind::HalfClose) => {
                let _ = write.shutdown().await;
                answered();
                reader.ends().await;
                return End::Close;
            }
            Answer::Ran(_, _) if broken(FaultKind::Garbage) => {
                let _ = write.write_all(b"\x16\x03\x01 this is no answer\r\n\r\n").await;
                return End::Close;
            }
            Answer::Ran(entry, _) if broken(FaultKind::LateErrors) => {
                fleet.borrow_mut().ledger.handled[entry].fate = Fate::Failed { ran: true };
                if write.write_all(&answer(500, "", b"")).await.is_err() {
                    return End::Close;
                }
                answered();
            }
            Answer::Ran(entry, body) => {
                let whole = answer(200, "", &body);
                if broken(FaultKind::ResetInAnswer) {
                    let _ = write.write_all(&whole[..whole.len() - body.len() / 2]).await;
                    sleep(Duration::from_millis(1)).await;
                    return End::Reset;
                }
                fleet.borrow_mut().ledger.handled[entry].fate = Fate::Served { body: digest(&body) };
                if write.write_all(&whole).await.is_err() {
                    return End::Close;
                }
                answered();
                if broken(FaultKind::ResetAfterAnswer) {
                    sleep(STANDS).await;
                    return End::Reset;
                }
            }
        }
    }
}

/// The way from or to a proxy. Timers count whole milliseconds: no way takes none.
pub(super) async fn away(way: Duration) {
    if !way.is_zero() {
        sleep(way).await;
    }
}

/// What a node has to say.
pub(super) enum Answer {
    /// This, beside its work.
    Say(Said),
    /// The request at this place of the ledger ran; this is its answer's body.
    Ran(usize, Vec<u8>),
    /// Nothing: the other side has gone.
    Left,
}

/// What a node answers without doing the work.
pub(super) enum Said {
    /// Turned away unseen.
    Rejected,
    /// An error.
    Failed,
    /// What a repeat is answered.
    Repeat(Vec<u8>),
    /// A probe's answer: whether it takes requests.
    Probe(bool),
    /// There is no such thing.
    Unknown,
    /// Nothing: the process is down.
    Nothing,
}

impl Said {
    fn http(&self) -> Vec<u8> {
        match self {
            Said::Rejected => answer(503, "X-Rejected: 1\r\n", b""),
            Said::Failed => answer(500, "", b""),
            Said::Repeat(body) => answer(200, "", body),
            Said::Probe(ready) => answer(if *ready { 200 } else { 503 }, "", b""),
            Said::Unknown => answer(404, "", b""),
            Said::Nothing => Vec::new(),
        }
    }
}

/// One request that carries an id; `gone` is done when its client leaves.
pub(super) async fn handle(
    fleet: &Shared,
    node: usize,
    request: &Request,
    entry: usize,
    gone: oneshot::Receiver<()>,
) -> Answer {
    let (done, id) = match fleet.borrow_mut().admit(node, request, entry) {
        Ok(taken) => taken,
        Err(said) => return Answer::Say(said),
    };
    tokio::select! {
        ran = done => match ran {
            Ok(()) => Answer::Ran(entry, fleet.borrow().body(node, request, entry)),
            Err(_) => Answer::Left,
        },
        _ = gone => {
            let mut state = fleet.borrow_mut();
            let now = state.epoch.now();
            let State { nodes, ledger, pods, .. } = &mut *state;
            let place = &mut nodes[node];
            if place.model.leave(now, id) && ledger.handled[entry].fate == Fate::Open {
                place.jobs.remove(&id);
                ledger.handled[entry].fate = Fate::Dropped;
                // It never ran, so the next with its key is no repeat.
                request.key.iter().for_each(|key| pods[place.pod].forget(key));
            }
            place.changed.notify_one();
            Answer::Left
        }
    }
}

impl State {
    /// Whether a fault hits now.
    pub(super) fn goes_wrong(&mut self, node: usize, kind: FaultKind) -> bool {
        let odds = self.nodes[node].odds.get(&kind).copied().unwrap_or(0.0);
        odds > 0.0 && self.random.random::<f64>() < odds
    }

    /// Notes a request that came whole, if it carries an id.
    pub(super) fn reached(&mut self, node: usize, proxy: usize, request: &Request) -> Option<usize> {
        let call = request.call.clone().filter(|_| request.target.starts_with("/api"))?;
        let place = &mut self.nodes[node];
        let met = std::mem::replace(&mut place.met[proxy], true);
        if !met && place.model.warmth(request.whole) < 1.0 {
            self.ledger.cold_firsts.note(request.whole);
        }
        self.ledger.handled.push(Handled {
            node,
            pod: self.nodes[node].pod,
            proxy,
            call,
            key: request.key.clone(),
            first_byte: request.first_byte,
            whole: request.whole,
            work: request.figure("w").unwrap_or(0.0).max(0.0),
            fate: Fate::Open,
            ended: Micros::MAX,
            left: None,
        });
        Some(self.ledger.handled.len() - 1)
    }

    /// What is answered beside the queue.
    fn aside(&mut self, node: usize, request: &Request) -> Said {
        if request.target != "/ping" {
            return Said::Unknown;
        }
        self.ledger.probes[node] += 1;
        let now = self.epoch.now();
        self.ledger.probed.note(now);
        let place = &mut self.nodes[node];
        place.model.burden(now, PROBE);
        place.changed.notify_one();
        Said::Probe(!place.draining)
    }

    /// Takes a request into work, or says why not.
    fn admit(
        &mut self,
        node: usize,
        request: &Request,
        entry: usize,
    ) -> Result<(oneshot::Receiver<()>, u64), Said> {
        let now = self.epoch.now();
        if self.goes_wrong(node, FaultKind::FastErrors) {
            self.ledger.handled[entry].fate = Fate::Failed { ran: false };
            return Err(Said::Failed);
        }
        let (draining, pod) = (self.nodes[node].draining, self.nodes[node].pod);
        if draining {
            self.ledger.handled[entry].fate = Fate::Rejected;
            return Err(Said::Rejected);
        }
        if let Some(key) = &request.key {
            if self.pods[pod].is_repeat(key, now, self.window) {
                let body = self.body(node, request, entry);
                self.ledger.handled[entry].fate = Fate::Repeat { body: digest(&body) };
                return Err(Said::Repeat(body));
            }
        }
        self.next_job += 1;
        let (id, work) = (self.next_job, self.ledger.handled[entry].work);
        match self.nodes[node].model.arrive(now, id, work) {
            Admission::Taken => {
                let (waits, done) = oneshot::channel();
                let place = &mut self.nodes[node];
                place.jobs.insert(id, (entry, waits));
                place.changed.notify_one();
                Ok((done, id))
            }
            Admission::Full => {
                self.ledger.handled[entry].fate = Fate::Rejected;
                request.key.iter().for_each(|key| self.pods[pod].forget(key));
                Err(Said::Rejected)
            }
            Admission::Down => {
                self.ledger.falls.push((node, now));
                self.stop(node);
                // The connection is reset before anyone reads this.
                Err(Said::Nothing)
            }
        }
    }

    /// A body that only this answer has.
    fn body(&self, node: usize, request: &Request, entry: usize) -> Vec<u8> {
        let call = request.call.as_deref().unwrap_or("");
        let mut body =
            format!("{{\"call\":\"{call}\",\"node\":\"s-{node}\",\"answer\":{entry}}}").into_bytes();
        let size = request.figure("b").map_or(0, |b| b.max(0.0) as usize).min(BODY_MOST);
        body.resize(body.len().max(size), b' ');
        body
    }
}
