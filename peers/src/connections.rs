//! Connections: checks of a member's machine, full exchanges, and service messages that fit into no datagram.

use crate::codec::{self, DecodeError, MAX_FRAME_BYTES};
use crate::framing::{read_frame, tcp_socket, write_frame};
use crate::peers::Peers;
use crate::settings::MAX_CONNECTIONS;
use flaxhead_membership::{CheckResult, Kind, Packet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long a member's machine may take to accept a connection, and the member to answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a full exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failure to accept.
const ERROR_PAUSE: Duration = Duration::from_millis(10);
/// What answers a service's message, so that it is read before the other side closes.
const SERVICE_ACK: u8 = 0;

impl Peers {
    /// Sends a service's message over a connection. The service sends again what it has no answer to.
    pub(crate) async fn send_over_connection(&self, address: SocketAddr, bytes: Vec<u8>) {
        let Ok(_permit) = self.0.outgoing.try_acquire() else { return };
        let sending = async {
            let mut stream = self.connect(address).await?;
            write_frame(&mut stream, &bytes).await?;
            stream.read_u8().await
        };
        let _ = timeout(EXCHANGE_TIMEOUT, sending).await;
    }

    /// Asks a member's machine, and the member, over a connection.
    pub(crate) async fn check(&self, seq: u32, address: SocketAddr) {
        let Ok(_permit) = self.0.outgoing.try_acquire() else { return };
        let result = match timeout(CHECK_TIMEOUT, self.connect(address)).await {
            Ok(Ok(stream)) => self.check_over(stream, seq).await,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => CheckResult::Refused,
            Ok(Err(_)) | Err(_) => CheckResult::Unreachable,
        };
        self.step(|machine, now, effects| machine.check_completed(now, seq, result, effects));
        self.0.wake.notify_one();
    }

    async fn check_over(&self, stream: TcpStream, seq: u32) -> CheckResult {
        // The name is not asked for: whoever answers says who it is.
        let packet = self.with_machine(|machine, _| {
            machine.packet(Kind::Ping { seq, to: machine.table().me().name.clone() })
        });
        match timeout(CHECK_TIMEOUT, self.request(stream, &packet)).await {
            Ok(Ok(answer)) => CheckResult::Answered(answer.from),
            // What breaks a connection may be on the path; what only waits is the process.
            Ok(Err(_)) => CheckResult::Unreachable,
            Err(_) => CheckResult::Stalled,
        }
    }

    /// Exchanges full states with a member. An exchange that fails is made again when views are next compared.
    pub(crate) async fn exchange(&self, address: SocketAddr) {
        let Ok(_permit) = self.0.outgoing.try_acquire() else { return };
        let exchange = async {
            let stream = self.connect(address).await?;
            let packet = self.0.machine.borrow().full_state();
            self.request(stream, &packet).await
        };
        if let Ok(Ok(packet)) = timeout(EXCHANGE_TIMEOUT, exchange).await {
            self.step(|machine, now, effects| {
                machine.receive_full_state(now, address, &packet, effects);
            });
            self.0.wake.notify_one();
        }
    }

    /// Connects from the address that others know this process by.
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let socket = tcp_socket(&address)?;
        let own = self.0.settings.listen.ip();
        if !own.is_unspecified() {
            socket.bind(SocketAddr::new(own, 0))?;
        }
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn request(&self, mut stream: TcpStream, packet: &Packet) -> io::Result<Packet> {
        self.write_packet(&mut stream, packet).await?;
        let bytes = self.read_bytes(&mut stream).await?;
        self.decode_frame(&bytes)
    }

    async fn write_packet(&self, stream: &mut TcpStream, packet: &Packet) -> io::Result<()> {
        let bytes = codec::encode(&self.0.settings.cluster, packet).map_err(io::Error::other)?;
        write_frame(stream, &bytes).await
    }

    async fn read_bytes(&self, stream: &mut TcpStream) -> io::Result<Vec<u8>> {
        match read_frame(stream).await? {
            Some(bytes) => Ok(bytes),
            None => Err(self.counted(DecodeError::TooLong)),
        }
    }

    fn decode_frame(&self, bytes: &[u8]) -> io::Result<Packet> {
        self.decode(bytes, MAX_FRAME_BYTES).map_err(|error| self.counted(error))
    }

    fn counted(&self, error: DecodeError) -> io::Error {
        self.count(error);
        io::Error::other(error)
    }

    /// Accepts connections, for good.
    pub(crate) async fn serve_connections(&self) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            let (stream, source) = match self.0.listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::info!("peers: accept: {error}");
                    sleep(ERROR_PAUSE).await;
                    continue;
                }
            };
            if !self.0.settings.is_allowed(source.ip()) {
                self.0.stats.borrow_mut().not_allowed += 1;
                continue;
            }
            let peers = self.clone();
            spawn_local(async move {
                // A member that is slow, or goes, is left; it asks again.
                let _ = timeout(EXCHANGE_TIMEOUT, peers.answer(stream, source)).await;
                drop(permit);
            });
        }
    }

    async fn answer(&self, mut stream: TcpStream, source: SocketAddr) -> io::Result<()> {
        let bytes = self.read_bytes(&mut stream).await?;
        if codec::is_service_frame(&bytes) {
            self.receive_service_frame(source, &bytes, MAX_FRAME_BYTES);
            return stream.write_u8(SERVICE_ACK).await;
        }
        let packet = self.decode_frame(&bytes)?;
        let answer = self.answer_to(packet, source);
        self.0.wake.notify_one();
        self.write_packet(&mut stream, &answer).await
    }

    fn answer_to(&self, packet: Packet, source: SocketAddr) -> Packet {
        if let Kind::Ping { seq, .. } = packet.kind {
            let answer = self.0.machine.borrow().packet(Kind::Ack { seq });
            let gossip = Packet { kind: Kind::Gossip, ..packet };
            self.step(|machine, now, effects| machine.receive(now, source, gossip, effects));
            return answer;
        }
        let answer = self.0.machine.borrow().full_state();
        self.step(|machine, now, effects| machine.receive_full_state(now, source, &packet, effects));
        answer
    }
}
