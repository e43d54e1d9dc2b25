//! Several services on one process's sockets: each hears its own channel and no other's.

use flaxhead_membership::{Config, Name};
use flaxhead_peers::{Channel, ChannelService, Peers, Settings};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

#[derive(Default)]
struct Heard(RefCell<Vec<(String, usize)>>);

impl ChannelService for Heard {
    fn receive(&self, from: &Name, bytes: &[u8]) {
        self.0.borrow_mut().push((from.to_string(), bytes.len()));
    }
}

/// Two ports that were free a moment ago, for datagrams and for connections: held until both are drawn, so that they
/// are not the same.
fn free() -> [SocketAddr; 2] {
    let draw = || {
        std::iter::repeat_with(|| {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let at = listener.local_addr()?;
            Ok::<_, std::io::Error>((at, listener, UdpSocket::bind(at)?))
        })
        .take(100)
        .find_map(Result::ok)
        .expect("a port")
    };
    let (one, other) = (draw(), draw());
    [one.0, other.0]
}

fn peers(name: &str, listen: SocketAddr, contact: SocketAddr) -> Peers {
    let networks = vec!["127.0.0.0/8".parse().expect("a network")];
    let (advertise, contacts, cluster) = (listen, vec![contact], "palermo".to_owned());
    let settings = Settings { listen, advertise, contacts, cluster, networks, config: Config::default() };
    let peers = Peers::bind(settings, Name::new(name).expect("a name"), 7).expect("free ports");
    let serving = peers.clone();
    spawn_local(async move { serving.serve().await });
    peers
}

async fn until(what: &str, done: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if done() {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("never came: {what}");
}

#[test]
fn two_riders_hear_each_their_own_and_a_third_channel_is_counted() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let [at, other] = free();
        let (one, two) = (peers("n1", at, other), peers("n2", other, at));
        let services = [Channel::MAINTENANCE, Channel::QUOTA].map(|channel| {
            let heard = Rc::new(Heard::default());
            two.register(channel, heard.clone());
            // One on each: this changes nothing.
            two.register(channel, Rc::new(Heard::default()));
            heard
        });
        let n2 = Name::new("n2").expect("a name");
        let knows = |peers: &Peers| peers.with_machine(|machine, _| machine.table().others().count() == 1);
        until("they know each other", || knows(&one) && knows(&two)).await;
        // Too long for a datagram: over a connection.
        for (channel, length) in [(Channel::MAINTENANCE, 3), (Channel::QUOTA, 5_000), (Channel(9), 4)] {
            one.send(channel, &n2, &vec![0; length]);
        }
        until("each heard one", || services.iter().all(|heard| !heard.0.borrow().is_empty())).await;
        until("the third is counted", || two.view().wire.unknown_channel == 1).await;
        let heard = services.map(|heard| heard.0.borrow().clone());
        assert_eq!(heard, [vec![("n1".to_owned(), 3)], vec![("n1".to_owned(), 5_000)]]);
    });
}
