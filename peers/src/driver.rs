//! Sockets and timers for one machine.

use crate::codec::{self, Channel, DecodeError, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
use crate::lines::Lines;
use crate::Settings;
use flaxhead_membership::{Change, CheckResult, Effect, Kind, Machine, MembershipView, Micros, Name, Packet};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Datagrams that are taken before others on this thread may go on.
const A_TURN: usize = 32;
/// Datagrams a second that are looked at, with as many saved up: far more than a fleet of thousands sends to one.
const RATE: f64 = 4_000.0;
/// Connections at once, each way; more wait, or are left out.
const CONNECTIONS: usize = 16;
/// How long a member's machine may take to say whether anything listens, and the member to answer.
const CHECK_WAIT: Duration = Duration::from_millis(250);
/// How long a full exchange may take.
const EXCHANGE_WAIT: Duration = Duration::from_secs(5);
/// Pause after a failure to accept or to read.
const ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 64;

/// What was not taken, by reason.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WireStats {
    /// Bytes that were no packet.
    pub bad: BTreeMap<DecodeError, u64>,
    /// From addresses that are not let in.
    #[serde(rename = "not_let_in")]
    pub not_allowed: u64,
    /// In the name of one that is no member, or is elsewhere.
    #[serde(default)]
    #[serde(rename = "strangers")]
    pub unknown_senders: u64,
    /// By a service that this process does not have.
    #[serde(default)]
    pub unknown_channel: u64,
    /// Past the rate, or sent while the socket was full.
    pub dropped: u64,
}

/// All that is shown of the peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeersView {
    /// What the machine knows.
    #[serde(flatten)]
    pub view: MembershipView,
    /// Whether this process may take part in what is settled in common.
    #[serde(rename = "takes_part")]
    pub participates: bool,
    /// What did not come to the machine.
    pub wire: WireStats,
}

/// What else travels between members, on their sockets: a service of its own that is told who speaks and what.
pub trait ChannelService {
    /// Bytes came from a member. It must not wait.
    fn receive(&self, from: &Name, bytes: &[u8]);
}

struct Inner {
    settings: Settings,
    machine: RefCell<Machine>,
    counts: RefCell<WireStats>,
    lines: RefCell<Lines>,
    socket: UdpSocket,
    listener: TcpListener,
    start: Instant,
    /// Something came beside the main loop: it looks again when it is next wanted.
    stirred: Notify,
    asking: Semaphore,
    services: RefCell<BTreeMap<Channel, Rc<dyn ChannelService>>>,
}

/// One process's peers, shared by the tasks of one thread.
#[derive(Clone)]
pub struct Peers(Rc<Inner>);

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Peers at {}", self.0.settings.listen)
    }
}

impl Peers {
    /// Descriptors that it needs at the most.
    pub const DESCRIPTORS: usize = 2 * CONNECTIONS + 2;

    /// Opens the sockets. `seed` is new with each start. Called where a runtime is.
    pub fn bind(settings: Settings, name: Name, seed: u64) -> io::Result<Peers> {
        let udp = std::net::UdpSocket::bind(settings.listen)?;
        udp.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(udp)?;
        let tcp = tcp_socket(&settings.listen)?;
        // One that was killed leaves connections behind there.
        tcp.set_reuseaddr(true)?;
        tcp.bind(settings.listen)?;
        let listener = tcp.listen(BACKLOG)?;
        let (at, contacts, pace) = (settings.advertise, settings.contacts.clone(), settings.config.clone());
        let machine = RefCell::new(Machine::new(name, at, contacts, pace, seed, 0));
        let (counts, lines) = Default::default();
        let (start, stirred, asking) = (Instant::now(), Notify::new(), Semaphore::new(CONNECTIONS));
        Ok(Peers(Rc::new(Inner {
            settings,
            machine,
            counts,
            lines,
            socket,
            listener,
            start,
            stirred,
            asking,
            services: RefCell::default(),
        })))
    }

    /// Takes part until it is dropped. Runs inside a [`tokio::task::LocalSet`].
    pub async fn serve(&self) {
        tokio::join!(self.datagrams(), self.connections());
    }

    /// Registers a service; one on each channel, the first that came.
    pub fn register(&self, channel: Channel, service: Rc<dyn ChannelService>) {
        // A second one would be a slip of this program's own, and changes nothing.
        self.0.services.borrow_mut().entry(channel).or_insert(service);
    }

    /// Looks at the machine.
    pub fn with_machine<R>(&self, look: impl FnOnce(&Machine, Micros) -> R) -> R {
        look(&self.0.machine.borrow(), self.now())
    }

    /// Sends what a service says to a member, as a datagram where it fits into one. What is lost is up to the service.
    pub fn send(&self, channel: Channel, to: &Name, body: &[u8]) {
        let (at, bytes) = {
            let machine = self.0.machine.borrow();
            let at = machine.table().get(to).map(|member| member.record.address);
            (
                at,
                codec::encode_service_frame(
                    &self.0.settings.cluster,
                    &machine.table().me().name,
                    channel,
                    body,
                ),
            )
        };
        let (Some(at), Ok(bytes)) = (at, bytes) else { return };
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            if self.0.socket.try_send_to(&bytes, at).is_err() {
                self.0.counts.borrow_mut().dropped += 1;
            }
            return;
        }
        let peers = self.clone();
        spawn_local(async move {
            let Ok(_place) = peers.0.asking.try_acquire() else { return };
            let sending = async {
                let mut stream = peers.connect(at).await?;
                write_frame(&mut stream, &bytes).await?;
                // It is read before the other side closes.
                stream.read_u8().await
            };
            // The service sends again what it has no answer to.
            let _ = timeout(EXCHANGE_WAIT, sending).await;
        });
    }

    /// What a service of the other side said.
    fn ridden(&self, source: SocketAddr, bytes: &[u8], most: usize) {
        if self.0.services.borrow().is_empty() {
            return self.count(DecodeError::Foreign);
        }
        if bytes.len() > most {
            return self.count(DecodeError::TooLong);
        }
        let (from, channel, body) = match codec::decode_service_frame(&self.0.settings.cluster, bytes) {
            Ok(said) => said,
            Err(bad) => return self.count(bad),
        };
        let at = self.0.machine.borrow().table().get(&from).map(|member| member.record.address.ip());
        if at != Some(source.ip()) {
            self.0.counts.borrow_mut().unknown_senders += 1;
            return;
        }
        // It may post, and so is not held.
        let service = self.0.services.borrow().get(&channel).cloned();
        match service {
            Some(service) => service.receive(&from, body),
            None => self.0.counts.borrow_mut().unknown_channel += 1,
        }
    }

    /// What is shown.
    pub fn view(&self) -> PeersView {
        let machine = self.0.machine.borrow();
        let (view, takes_part) = (machine.view(self.now()), machine.participates());
        PeersView { view, participates: takes_part, wire: self.0.counts.borrow().clone() }
    }

    /// Says that this process goes, until enough have heard it or two seconds are over.
    pub async fn leave(&self) {
        self.step(|machine, now, out| machine.leave(now, out));
        while !self.0.machine.borrow().is_gone(self.now()) {
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn now(&self) -> Micros {
        self.0.start.elapsed().as_micros() as Micros
    }

    async fn datagrams(&self) {
        let Inner { socket, stirred, .. } = &*self.0;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let (mut saved, mut refilled) = (RATE, Instant::now());
        loop {
            self.step(|machine, now, out| machine.tick(now, out));
            let wake = self.0.start + Duration::from_micros(self.0.machine.borrow().next_wake());
            tokio::select! {
                ready = socket.readable() => if let Err(error) = ready {
                    tracing::info!("peers: {error}");
                    sleep(ERROR_PAUSE).await;
                },
                () = sleep_until(wake) => {}
                () = stirred.notified() => {}
            }
            let now = Instant::now();
            saved = (saved + RATE * (now - refilled).as_secs_f64()).min(RATE);
            refilled = now;
            for _ in 0..A_TURN {
                // What a host that is gone has sent back shows as an error here, and says nothing.
                match socket.try_recv_from(&mut buffer) {
                    Ok((length, source)) if saved >= 1.0 => {
                        saved -= 1.0;
                        self.datagram(source, &buffer[..length]);
                    }
                    Ok(_) => self.0.counts.borrow_mut().dropped += 1,
                    Err(_) => break,
                }
            }
            yield_now().await;
        }
    }

    fn datagram(&self, source: SocketAddr, bytes: &[u8]) {
        if !self.0.settings.is_allowed(source.ip()) {
            self.0.counts.borrow_mut().not_allowed += 1;
            return;
        }
        if codec::is_service_frame(bytes) {
            return self.ridden(source, bytes, MAX_DATAGRAM_BYTES);
        }
        match self.decode(bytes, MAX_DATAGRAM_BYTES) {
            Ok(packet) => self.step(|machine, now, out| machine.receive(now, source, packet, out)),
            Err(bad) => self.count(bad),
        }
    }

    fn decode(&self, bytes: &[u8], most: usize) -> Result<Packet, DecodeError> {
        if bytes.len() > most {
            return Err(DecodeError::TooLong);
        }
        codec::decode(&self.0.settings.cluster, bytes)
    }

    fn count(&self, bad: DecodeError) {
        *self.0.counts.borrow_mut().bad.entry(bad).or_default() += 1;
    }

    /// Has the machine do something, and carries out what it says.
    fn step(&self, act: impl FnOnce(&mut Machine, Micros, &mut Vec<Effect>)) {
        let mut out = Vec::new();
        act(&mut self.0.machine.borrow_mut(), self.now(), &mut out);
        for effect in out {
            match effect {
                Effect::Send { to, packet } => self.send_packet(to, &packet),
                Effect::Check { seq, address } => {
                    let peers = self.clone();
                    spawn_local(async move { peers.check(seq, address).await });
                }
                Effect::Exchange { address } => {
                    let peers = self.clone();
                    spawn_local(async move { peers.exchange(address).await });
                }
                Effect::Changed(change) => {
                    self.0.lines.borrow_mut().write(Instant::now(), || line(&change));
                }
            }
        }
    }

    fn send_packet(&self, to: SocketAddr, packet: &Packet) {
        let sent = match codec::encode(&self.0.settings.cluster, packet) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => self.0.socket.try_send_to(&bytes, to).is_ok(),
            _ => false,
        };
        if !sent {
            self.0.counts.borrow_mut().dropped += 1;
        }
    }

    // Connections.

    /// Asks a member's machine, and the member, over a connection.
    async fn check(&self, seq: u32, at: SocketAddr) {
        let Ok(_place) = self.0.asking.try_acquire() else { return };
        let verdict = match timeout(CHECK_WAIT, self.connect(at)).await {
            Ok(Ok(stream)) => {
                // The name is not asked for: whoever answers says who it is.
                let packet = {
                    let machine = self.0.machine.borrow();
                    machine.packet(Kind::Ping { seq, to: machine.table().me().name.clone() })
                };
                match timeout(CHECK_WAIT, self.ask(stream, &packet)).await {
                    Ok(Ok(answer)) => CheckResult::Answered(answer.from),
                    // What breaks a connection may be on the way; what only waits is the process.
                    Ok(Err(_)) => CheckResult::Unreachable,
                    Err(_) => CheckResult::Stalled,
                }
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => CheckResult::Refused,
            Ok(Err(_)) | Err(_) => CheckResult::Unreachable,
        };
        self.step(|machine, now, out| machine.check_completed(now, seq, verdict, out));
        self.0.stirred.notify_one();
    }

    async fn exchange(&self, at: SocketAddr) {
        let Ok(_place) = self.0.asking.try_acquire() else { return };
        let exchange = async {
            let stream = self.connect(at).await?;
            let packet = self.0.machine.borrow().full_state();
            self.ask(stream, &packet).await
        };
        // One that does not come about is made again when views are next compared.
        if let Ok(Ok(packet)) = timeout(EXCHANGE_WAIT, exchange).await {
            self.step(|machine, now, out| machine.receive_full_state(now, at, packet, out));
            self.0.stirred.notify_one();
        }
    }

    /// Connects from the address that others know this process by.
    async fn connect(&self, at: SocketAddr) -> io::Result<TcpStream> {
        let socket = tcp_socket(&at)?;
        let own = self.0.settings.listen.ip();
        if !own.is_unspecified() {
            socket.bind(SocketAddr::new(own, 0))?;
        }
        let stream = socket.connect(at).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn ask(&self, mut stream: TcpStream, packet: &Packet) -> io::Result<Packet> {
        self.write(&mut stream, packet).await?;
        self.read(&mut stream).await
    }

    async fn write(&self, stream: &mut TcpStream, packet: &Packet) -> io::Result<()> {
        let bytes = codec::encode(&self.0.settings.cluster, packet).map_err(io::Error::other)?;
        write_frame(stream, &bytes).await
    }

    async fn read(&self, stream: &mut TcpStream) -> io::Result<Packet> {
        let bytes = self.read_frame(stream).await?;
        self.decoded(&bytes)
    }

    fn decoded(&self, bytes: &[u8]) -> io::Result<Packet> {
        self.decode(bytes, MAX_FRAME_BYTES).map_err(|bad| {
            self.count(bad);
            io::Error::other(bad)
        })
    }

    async fn read_frame(&self, stream: &mut TcpStream) -> io::Result<Vec<u8>> {
        let length = stream.read_u32().await? as usize;
        if length > MAX_FRAME_BYTES {
            self.count(DecodeError::TooLong);
            return Err(io::Error::other(DecodeError::TooLong));
        }
        // Read as it comes: a length alone takes no memory.
        let mut bytes = Vec::new();
        stream.take(length as u64).read_to_end(&mut bytes).await?;
        Ok(bytes)
    }

    async fn connections(&self) {
        let places = Arc::new(Semaphore::new(CONNECTIONS));
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            let (stream, source) = match self.0.listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::info!("peers: accept: {error}");
                    sleep(ERROR_PAUSE).await;
                    continue;
                }
            };
            if !self.0.settings.is_allowed(source.ip()) {
                self.0.counts.borrow_mut().not_allowed += 1;
                continue;
            }
            let peers = self.clone();
            spawn_local(async move {
                // One that is slow, or goes, is left; it asks again.
                let _ = timeout(EXCHANGE_WAIT, peers.answer(stream, source)).await;
                drop(place);
            });
        }
    }

    async fn answer(&self, mut stream: TcpStream, source: SocketAddr) -> io::Result<()> {
        let bytes = self.read_frame(&mut stream).await?;
        if codec::is_service_frame(&bytes) {
            self.ridden(source, &bytes, MAX_FRAME_BYTES);
            return stream.write_u8(0).await;
        }
        let packet = self.decoded(&bytes)?;
        let answer = match packet.kind {
            Kind::Ping { seq, .. } => {
                let answer = self.0.machine.borrow().packet(Kind::Ack { seq });
                let news = Packet { kind: Kind::Gossip, ..packet };
                self.step(|machine, now, out| machine.receive(now, source, news, out));
                answer
            }
            _ => {
                let answer = self.0.machine.borrow().full_state();
                self.step(|machine, now, out| machine.receive_full_state(now, source, packet, out));
                answer
            }
        };
        self.0.stirred.notify_one();
        self.write(&mut stream, &answer).await
    }
}

async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(io::Error::other(DecodeError::TooLong));
    }
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(bytes).await
}

fn tcp_socket(at: &SocketAddr) -> io::Result<TcpSocket> {
    if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}

fn line(change: &Change) -> String {
    match change {
        Change::Joined(name) => format!("{name} joined"),
        Change::Restarted(name) => format!("{name} was started anew"),
        Change::Suspected { name, by, cause } => format!("{name} is suspected by {by}: {}", word(*cause)),
        Change::Recovered(name) => format!("{name} is back"),
        Change::Died { name, by, cause } => format!("{name} is gone, by the word of {by}: {}", word(*cause)),
        Change::Left(name) => format!("{name} left"),
        Change::CutOff(None) => "this process is no longer cut off".to_owned(),
        Change::CutOff(Some(how)) => format!("this process is cut off: {how:?}"),
        Change::Refuted => "this process was suspected and said that it runs".to_owned(),
        Change::NameClaimed => {
            "another process that runs claims this name; it is the younger and must go".to_owned()
        }
        Change::Displaced => {
            "another process that runs has this name and is the older: this one is no member".to_owned()
        }
    }
}

fn word(cause: flaxhead_membership::Cause) -> &'static str {
    match cause {
        flaxhead_membership::Cause::Silent => "nothing is heard of it",
        flaxhead_membership::Cause::Stalled => "its machine takes connections and it does not answer",
        flaxhead_membership::Cause::Refused => "nothing listens there",
    }
}
