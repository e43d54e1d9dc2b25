//! Datagrams, and the timers of the machine.

use crate::codec::{self, MAX_DATAGRAM_BYTES};
use crate::peers::Peers;
use flaxhead_membership::Packet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, Instant};

/// Datagrams that are taken before others on this thread may go on.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
/// Datagrams a second that are looked at, with as many saved up: far more than a fleet of thousands sends to one process.
const MAX_DATAGRAMS_PER_SECOND: f64 = 4_000.0;
/// Pause after a failure to read.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// A token bucket.
struct RateLimit {
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    fn new() -> RateLimit {
        RateLimit { tokens: MAX_DATAGRAMS_PER_SECOND, refilled_at: Instant::now() }
    }

    fn refill(&mut self) {
        let now = Instant::now();
        let gained = MAX_DATAGRAMS_PER_SECOND * (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(MAX_DATAGRAMS_PER_SECOND);
        self.refilled_at = now;
    }

    /// Takes a token. Returns whether there was one.
    fn take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

impl Peers {
    /// Receives datagrams and ticks the machine, for good.
    pub(crate) async fn serve_datagrams(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut rate_limit = RateLimit::new();
        loop {
            self.step(|machine, now, effects| machine.tick(now, effects));
            let next_wake = Duration::from_micros(self.0.machine.borrow().next_wake());
            tokio::select! {
                ready = self.0.socket.readable() => if let Err(error) = ready {
                    tracing::info!("peers: {error}");
                    sleep(ERROR_PAUSE).await;
                },
                () = sleep_until(self.0.started + next_wake) => {}
                () = self.0.wake.notified() => {}
            }
            rate_limit.refill();
            self.receive_datagrams(&mut buffer, &mut rate_limit);
            yield_now().await;
        }
    }

    fn receive_datagrams(&self, buffer: &mut [u8], rate_limit: &mut RateLimit) {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            // What the machine of a host that is gone has sent back shows as an error here, and says nothing.
            let Ok((length, source)) = self.0.socket.try_recv_from(buffer) else { return };
            if rate_limit.take() {
                self.receive_datagram(source, &buffer[..length]);
            } else {
                self.0.stats.borrow_mut().dropped += 1;
            }
        }
    }

    fn receive_datagram(&self, source: SocketAddr, bytes: &[u8]) {
        if !self.0.settings.is_allowed(source.ip()) {
            self.0.stats.borrow_mut().not_allowed += 1;
            return;
        }
        if codec::is_service_frame(bytes) {
            return self.receive_service_frame(source, bytes, MAX_DATAGRAM_BYTES);
        }
        match self.decode(bytes, MAX_DATAGRAM_BYTES) {
            Ok(packet) => {
                self.step(|machine, now, effects| machine.receive(now, source, packet, effects));
            }
            Err(error) => self.count(error),
        }
    }

    pub(crate) fn send_packet(&self, to: SocketAddr, packet: &Packet) {
        let is_sent = match codec::encode(&self.0.settings.cluster, packet) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => self.0.socket.try_send_to(&bytes, to).is_ok(),
            _ => false,
        };
        if !is_sent {
            self.0.stats.borrow_mut().dropped += 1;
        }
    }
}
