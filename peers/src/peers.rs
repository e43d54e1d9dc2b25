//! One process's peers: the machine, its effects, and the services on its sockets.

use crate::change_log::ChangeLog;
use crate::codec::{self, Channel, DecodeError, ServiceFrame, MAX_DATAGRAM_BYTES};
use crate::framing::tcp_socket;
use crate::settings::MAX_CONNECTIONS;
use crate::stats::{PeersView, WireStats};
use crate::Settings;
use flaxhead_membership::{Effect, Machine, Micros, Name, Packet};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 64;
/// How often a leaving process looks whether it has left.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A service that sends messages of its own between members, on their sockets.
pub trait ChannelService {
    /// Takes a message of a member. It must not wait.
    fn receive(&self, from: &Name, bytes: &[u8]);
}

pub(crate) struct Inner {
    pub(crate) settings: Settings,
    pub(crate) machine: RefCell<Machine>,
    pub(crate) stats: RefCell<WireStats>,
    change_log: RefCell<ChangeLog>,
    pub(crate) socket: UdpSocket,
    pub(crate) listener: TcpListener,
    pub(crate) started: Instant,
    /// Something came beside the main loop, which is to look at its timers again.
    pub(crate) wake: Notify,
    /// Limits outgoing connections.
    pub(crate) outgoing: Semaphore,
    services: RefCell<BTreeMap<Channel, Rc<dyn ChannelService>>>,
}

/// One process's peers, shared by the tasks of one thread.
#[derive(Clone)]
pub struct Peers(pub(crate) Rc<Inner>);

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Peers at {}", self.0.settings.listen)
    }
}

impl Peers {
    /// File descriptors that it needs at the most.
    pub const DESCRIPTORS: usize = 2 * MAX_CONNECTIONS + 2;

    /// Opens the sockets. `seed` is new with each start. Called where a runtime is.
    ///
    /// # Errors
    ///
    /// The system's, where a socket cannot be opened.
    pub fn bind(settings: Settings, name: Name, seed: u64) -> io::Result<Peers> {
        let udp = std::net::UdpSocket::bind(settings.listen)?;
        udp.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(udp)?;
        let tcp = tcp_socket(&settings.listen)?;
        // A process that was killed leaves connections behind there.
        tcp.set_reuseaddr(true)?;
        tcp.bind(settings.listen)?;
        let listener = tcp.listen(BACKLOG)?;
        let (contacts, config) = (settings.contacts.clone(), settings.config.clone());
        let machine = Machine::new(name, settings.advertise, contacts, config, seed, 0);
        Ok(Peers(Rc::new(Inner {
            settings,
            machine: RefCell::new(machine),
            stats: RefCell::default(),
            change_log: RefCell::default(),
            socket,
            listener,
            started: Instant::now(),
            wake: Notify::new(),
            outgoing: Semaphore::new(MAX_CONNECTIONS),
            services: RefCell::default(),
        })))
    }

    /// Takes part until it is dropped. Runs inside a [`tokio::task::LocalSet`].
    pub async fn serve(&self) {
        tokio::join!(self.serve_datagrams(), self.serve_connections());
    }

    /// Registers a service; one on each channel, the first that came.
    pub fn register(&self, channel: Channel, service: Rc<dyn ChannelService>) {
        // A second one would be a mistake of this program's own, and changes nothing.
        self.0.services.borrow_mut().entry(channel).or_insert(service);
    }

    /// Reads something from the machine, at its time.
    pub fn with_machine<R>(&self, read: impl FnOnce(&Machine, Micros) -> R) -> R {
        read(&self.0.machine.borrow(), self.now())
    }

    /// Sends a service's message to a member, as a datagram where it fits into one. Lost messages are up to the service.
    pub fn send(&self, channel: Channel, to: &Name, body: &[u8]) {
        let (address, bytes) = {
            let machine = self.0.machine.borrow();
            let address = machine.table().get(to).map(|member| member.record.address);
            let frame = ServiceFrame { from: machine.table().me().name.clone(), channel, body };
            (address, codec::encode_service_frame(&self.0.settings.cluster, &frame))
        };
        let (Some(address), Ok(bytes)) = (address, bytes) else { return };
        if bytes.len() > MAX_DATAGRAM_BYTES {
            let peers = self.clone();
            spawn_local(async move { peers.send_over_connection(address, bytes).await });
        } else if self.0.socket.try_send_to(&bytes, address).is_err() {
            self.0.stats.borrow_mut().dropped += 1;
        }
    }

    /// Takes a service's message, which came from an address.
    pub(crate) fn receive_service_frame(&self, source: SocketAddr, bytes: &[u8], max_bytes: usize) {
        if self.0.services.borrow().is_empty() {
            return self.count(DecodeError::Foreign);
        }
        if bytes.len() > max_bytes {
            return self.count(DecodeError::TooLong);
        }
        let frame = match codec::decode_service_frame(&self.0.settings.cluster, bytes) {
            Ok(frame) => frame,
            Err(error) => return self.count(error),
        };
        let ServiceFrame { from, channel, body } = frame;
        let member_ip = self
            .with_machine(|machine, _| machine.table().get(&from).map(|member| member.record.address.ip()));
        if member_ip != Some(source.ip()) {
            self.0.stats.borrow_mut().unknown_senders += 1;
            return;
        }
        // The service may send, so the services must not be borrowed while it is called.
        let service = self.0.services.borrow().get(&channel).cloned();
        match service {
            Some(service) => service.receive(&from, body),
            None => self.0.stats.borrow_mut().unknown_channel += 1,
        }
    }

    /// What operators see.
    pub fn view(&self) -> PeersView {
        let machine = self.0.machine.borrow();
        PeersView {
            view: machine.view(self.now()),
            participates: machine.participates(),
            wire: self.0.stats.borrow().clone(),
        }
    }

    /// Announces that this process leaves, until enough members have received it or two seconds are over.
    pub async fn leave(&self) {
        self.step(|machine, now, effects| machine.leave(now, effects));
        while !self.0.machine.borrow().has_left(self.now()) {
            sleep(LEAVE_POLL_INTERVAL).await;
        }
    }

    pub(crate) fn now(&self) -> Micros {
        Micros::try_from(self.0.started.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    pub(crate) fn count(&self, error: DecodeError) {
        *self.0.stats.borrow_mut().bad.entry(error).or_default() += 1;
    }

    pub(crate) fn decode(&self, bytes: &[u8], max_bytes: usize) -> Result<Packet, DecodeError> {
        if bytes.len() > max_bytes {
            return Err(DecodeError::TooLong);
        }
        codec::decode(&self.0.settings.cluster, bytes)
    }

    /// Has the machine do something, and carries out its effects.
    pub(crate) fn step(&self, act: impl FnOnce(&mut Machine, Micros, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        act(&mut self.0.machine.borrow_mut(), self.now(), &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&self, effect: Effect) {
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
            Effect::Changed(change) => self.0.change_log.borrow_mut().write(Instant::now(), &change),
        }
    }
}
