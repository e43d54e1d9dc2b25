//! The relay proves itself: each fault does what it says to bytes that are counted, in one direction alone.

use flaxhead_lab::peers::relay::{LinkFault, Relay};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::{Duration, Instant};

const DATAGRAMS: usize = 400;
const PATIENCE: Duration = Duration::from_secs(20);

struct Ends {
    relay: Relay,
    sockets: Vec<UdpSocket>,
}

fn ends(seed: u64) -> Ends {
    let relay = Relay::start(2, seed).expect("a relay");
    let sockets = [0, 1].map(|place| {
        let socket = UdpSocket::bind(relay.own(place)).expect("a socket");
        socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a limit");
        socket
    });
    Ends { relay, sockets: sockets.into() }
}

impl Ends {
    /// Sends numbered datagrams one way and gives what came out, until the relay's count says that all is through.
    fn play(&self, from: usize, to: usize) -> Vec<(Vec<u8>, SocketAddr)> {
        let before = self.relay.carried(from, to);
        let mut got = Vec::new();
        let mut buffer = [0; 64];
        let mut drain = |got: &mut Vec<_>| {
            while let Ok((length, source)) = self.sockets[to].recv_from(&mut buffer) {
                got.push((buffer[..length].to_vec(), source));
            }
        };
        for number in 0..DATAGRAMS {
            // Said twice: no turned bit makes another datagram of it.
            let text = format!("datagram {number:04} {number:04}");
            self.sockets[from].send_to(text.as_bytes(), self.relay.front(to)).expect("sent");
            if number % 40 == 39 {
                drain(&mut got);
            }
        }
        let start = Instant::now();
        loop {
            drain(&mut got);
            let now = self.relay.carried(from, to);
            let through = now.came - before.came == DATAGRAMS as u64;
            if through && got.len() as u64 == now.passed - before.passed {
                return got;
            }
            assert!(start.elapsed() < PATIENCE, "{now:?}, {} came out", got.len());
        }
    }
}

fn fault(change: impl FnOnce(&mut LinkFault)) -> LinkFault {
    let mut fault = LinkFault::default();
    change(&mut fault);
    fault
}

#[test]
fn what_comes_seems_to_come_from_its_senders_front() {
    let ends = ends(1);
    let got = ends.play(0, 1);
    assert_eq!(got.len(), DATAGRAMS);
    assert!(got.iter().all(|(_, source)| *source == ends.relay.front(0)));
    assert_eq!(ends.play(1, 0).len(), DATAGRAMS);
}

#[test]
fn each_fault_does_what_it_says_in_its_direction_alone_and_the_same_each_time() {
    let play = |change: fn(&mut LinkFault)| {
        let ends = ends(7);
        ends.relay.set(0, 1, |link| *link = fault(change));
        let start = Instant::now();
        let got: Vec<Vec<u8>> = ends.play(0, 1).into_iter().map(|(bytes, _)| bytes).collect();
        let took = start.elapsed();
        let back = ends.play(1, 0).len();
        assert_eq!(back, DATAGRAMS, "the way back is whole");
        (got, ends.relay.carried(0, 1), took)
    };
    let sorted = |mut got: Vec<Vec<u8>>| {
        got.sort();
        got
    };
    let whole = sorted(play(|_| ()).0);
    let (got, carried, _) = play(|link| link.cut = true);
    assert_eq!((got.len(), carried.lost), (0, DATAGRAMS as u64));
    let (lossy, carried, _) = play(|link| link.loss = 0.3);
    assert_eq!(lossy.len() as u64, DATAGRAMS as u64 - carried.lost);
    assert!((80..160).contains(&carried.lost), "{carried:?}");
    assert_eq!(sorted(lossy), sorted(play(|link| link.loss = 0.3).0), "the same seed loses the same");
    let (twice, carried, _) = play(|link| link.duplicate = 0.5);
    assert_eq!(twice.len() as u64, DATAGRAMS as u64 + carried.copies);
    assert!((140..260).contains(&carried.copies), "{carried:?}");
    let (turned, carried, _) = play(|link| link.corrupt = 0.25);
    let bad = turned.iter().filter(|bytes| !whole.contains(bytes)).count() as u64;
    assert!(carried.turned == bad && (60..140).contains(&bad), "{carried:?}, {bad}");
    let (late, _, took) =
        play(|link| (link.delay, link.jitter) = (Duration::from_millis(150), Duration::from_millis(50)));
    assert_eq!(sorted(late), whole);
    assert!(took >= Duration::from_millis(150), "{took:?}");
    let (mixed, carried, _) = play(|link| link.reorder = 0.2);
    assert!(carried.held > 40 && mixed != whole && sorted(mixed) == whole, "{carried:?}");
}

#[test]
fn connections_are_carried_reset_where_a_way_is_cut_and_refused_where_a_process_is_down() {
    let ends = ends(3);
    let listener = TcpListener::bind(ends.relay.own(1)).expect("a port");
    let serving = std::thread::spawn(move || {
        let mut sources = Vec::new();
        for stream in listener.incoming().take(2) {
            let mut stream = stream.expect("accepted");
            sources.push(stream.peer_addr().expect("an address").ip());
            let mut buffer = [0; 4];
            while let Ok(4) = stream.read(&mut buffer) {
                if stream.write_all(&buffer).is_err() {
                    break;
                }
            }
        }
        sources
    });
    let connect = || {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::new(ends.relay.own(0).ip(), 0).into()).expect("bound");
        socket.set_read_timeout(Some(PATIENCE)).expect("a limit");
        socket.connect(&ends.relay.front(1).into()).map(|()| std::net::TcpStream::from(socket))
    };
    let echo = |stream: &mut std::net::TcpStream| {
        stream.write_all(b"ping").and_then(|()| {
            let mut buffer = [0; 4];
            stream.read_exact(&mut buffer).map(|()| buffer)
        })
    };
    let mut open = connect().expect("it connects");
    assert_eq!(echo(&mut open).expect("an echo"), *b"ping");
    ends.relay.set(1, 0, |link| link.cut = true);
    let start = Instant::now();
    while echo(&mut open).is_ok() {
        assert!(start.elapsed() < PATIENCE, "an open connection outlives the cut");
    }
    let refused = connect().and_then(|mut stream| echo(&mut stream));
    assert!(refused.is_err() && ends.relay.carried(0, 1).resets >= 2, "{refused:?}");
    ends.relay.set(1, 0, |link| link.cut = false);
    let mut open = connect().expect("it connects");
    assert_eq!(echo(&mut open).expect("an echo"), *b"ping");
    drop(open);
    let sources = serving.join().expect("it served");
    assert!(sources.iter().all(|source| *source == ends.relay.front(0).ip()), "{sources:?}");
    ends.relay.down(1);
    assert_eq!(connect().expect_err("closed").kind(), ErrorKind::ConnectionRefused);
    ends.relay.up(1).expect("it opens again");
    connect().expect("it connects");
}
