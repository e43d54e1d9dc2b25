//! Address lists over real sockets, from several loopback addresses.

mod common;

use common::*;
use flaxhead_policy::Access;
use flaxhead_proxy::config::Config;
use flaxhead_proxy::enabled_features::EnabledFeatures;
use std::fs;
use std::net::SocketAddr;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;
use tokio::time::timeout;

async fn listed(host: &Host, allow: &str, deny: &str, proxy_from: &str) -> Proxy {
    let networks = |text: &str| text.parse().expect(text);
    let access = Access { allow: networks(allow), deny: networks(deny), proxy_from: networks(proxy_from) };
    let side = |_: &mut Config| EnabledFeatures { access: Some(access), ..EnabledFeatures::default() };
    Proxy::with_side(&Discovery::quiet().await, from_ref(host), |_| (), side).await
}

/// A client at this address.
async fn from(address: &str, proxy: SocketAddr) -> Client {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::new(address.parse().expect(address), 0)).expect("bound");
    Reader::new(socket.connect(proxy).await.expect("it accepts"))
}

/// What comes back for bytes: a status, or `None` for a connection that is closed without an answer.
async fn said(mut client: Client, text: &[u8]) -> Option<u16> {
    use tokio::io::AsyncWriteExt;
    // A connection that is closed already may refuse them.
    let _ = client.stream.write_all(text).await;
    client.message().await.map(|message| message.status())
}

fn v2(command: u8, family: u8, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u16).to_be_bytes();
    [b"\r\n\r\n\0\r\nQUIT\n", &[command, family][..], &length, payload].concat()
}

/// A version 2 header for a client at this IPv4 address, with a TLV.
fn v2_from(client: [u8; 4]) -> Vec<u8> {
    v2(0x21, 0x11, &[&client[..], &[10, 0, 0, 1, 0x9c, 0x40, 0x0b, 0xb8, 0x04, 0, 1, 0]].concat())
}

#[test]
fn a_peer_outside_the_lists_is_closed_before_it_says_anything() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = listed(&host, "127.0.0.0/29", "127.0.0.3", "").await;
        let good = request("unsafe", "", "");
        assert_eq!(said(from("127.0.0.2", proxy.address).await, good.as_bytes()).await, Some(200));
        for outside in ["127.0.0.3", "127.0.0.8"] {
            let mut client = from(outside, proxy.address).await;
            assert!(client.message().await.is_none(), "{outside} has said nothing");
        }
        assert_eq!(host.count(), 1);
    });
}

#[test]
fn the_lists_apply_to_the_address_that_a_trusted_front_names() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = listed(&host, "10.8.0.0/16, fd00:12::/48", "10.8.7.0/24", "127.0.0.9").await;
        let good = request("unsafe", "", "the body");
        let v1 = |client: &str| format!("PROXY TCP4 {client} 10.0.0.1 40000 3000\r\n").into_bytes();
        let v6 = |client: &str| format!("PROXY TCP6 {client} ::1 40000 3000\r\n").into_bytes();
        let cases = [
            (v1("10.8.3.4"), Some(200)),
            (v6("fd00:12::9"), Some(200)),
            (v6("::ffff:10.8.3.4"), Some(200)),
            (v2_from([10, 8, 3, 4]), Some(200)),
            (v1("10.9.3.4"), None),
            (v1("10.8.7.4"), None),
            (v6("fd00:13::9"), None),
            (v6("::ffff:10.8.7.4"), None),
            (v2_from([10, 9, 3, 4]), None),
            (v2_from([10, 8, 7, 4]), None),
            // Whom nobody speaks for stands for itself: the front is in no list.
            (v2(0x20, 0x00, &[]), None),
            (b"PROXY UNKNOWN\r\n".to_vec(), None),
            (v2(0x21, 0x31, &[0; 216]), None),
            (b"PROXY TCP4 10.8.3.4\r\n".to_vec(), None),
            (b"PROXY TCP4 10.8.3.4 10.0.0.1 40000 3000 \r\n".to_vec(), None),
            (v2(0x21, 0x11, &[0; 11]), None),
            (v2(0x21, 0x11, &[0; 60_000]), None),
            (Vec::new(), None),
        ];
        for (header, status) in cases {
            let seen = host.count();
            let bytes = [&header[..], good.as_bytes()].concat();
            let client = from("127.0.0.9", proxy.address).await;
            assert_eq!(said(client, &bytes).await, status, "{}", String::from_utf8_lossy(&header));
            assert_eq!(host.count(), seen + usize::from(status.is_some()));
        }
        assert!(host.seen.borrow().iter().all(|message| message.body == b"the body"));
    });
}

/// The header and what follows come in single bytes; the connection then goes on as any other.
#[test]
fn a_header_in_pieces_is_followed_by_requests() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = listed(&host, "10.8.0.0/16", "", "127.0.0.9").await;
        let v1 = b"PROXY TCP4 10.8.3.4 10.0.0.1 40000 3000\r\n".to_vec();
        for header in [v1, v2_from([10, 8, 3, 4])] {
            let mut client = from("127.0.0.9", proxy.address).await;
            client.stream.set_nodelay(true).expect("set");
            for byte in [&header[..], b"GET /_he"].concat() {
                use tokio::io::AsyncWriteExt;
                client.stream.write_all(&[byte]).await.expect("written");
                tokio::task::yield_now().await;
            }
            assert_eq!(client.ask("alth HTTP/1.1\r\n\r\n").await.status(), 200);
            assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"served");
        }
    });
}

#[test]
fn a_local_header_keeps_the_fronts_own_address() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = listed(&host, "127.0.0.9", "", "127.0.0.9, 127.0.0.10").await;
        let health = [v2(0x20, 0x00, &[]), HEALTH.into()].concat();
        assert_eq!(said(from("127.0.0.9", proxy.address).await, &health).await, Some(200));
        assert_eq!(said(from("127.0.0.10", proxy.address).await, &health).await, None);
    });
}

#[test]
fn a_header_from_any_other_peer_closes_the_connection() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = listed(&host, "", "", "127.0.0.9").await;
        let v1 = b"PROXY TCP4 10.8.3.4 10.0.0.1 40000 3000\r\n".to_vec();
        for header in [v1, b"PROXY ".to_vec(), v2_from([10, 8, 3, 4]), v2(0x20, 0x00, &[])] {
            let bytes = [&header[..], HEALTH.as_bytes()].concat();
            assert_eq!(said(from("127.0.0.2", proxy.address).await, &bytes).await, None);
        }
        assert_eq!(said(from("127.0.0.2", proxy.address).await, HEALTH.as_bytes()).await, Some(200));
        assert_eq!(said(from("127.0.0.2", proxy.address).await, b"no http\r\n\r\n").await, Some(400));
    });
}

/// A peer that begins with nothing proper is owed an end within 3 s, whoever it is.
#[test]
fn a_header_that_does_not_end_is_not_waited_for() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = listed(&host, "", "", "127.0.0.9").await;
        let start = Instant::now();
        let waits =
            [("127.0.0.9", ""), ("127.0.0.9", "PROXY TCP4 10.8"), ("127.0.0.2", ""), ("127.0.0.2", "P")];
        let mut waiting = Vec::new();
        for (address, text) in waits {
            let mut client = from(address, proxy.address).await;
            client.send(text).await;
            waiting.push(client);
        }
        for mut client in waiting {
            let left = Duration::from_secs(3).saturating_sub(start.elapsed());
            assert!(timeout(left, client.message()).await.expect("closed in time").is_none());
        }
    });
}

/// Every line says whom it is about: a client's true address, or nobody's.
#[test]
fn every_line_of_the_log_names_a_client() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let address = free_address();
        let config = configuration_at(address, Discovery::quiet().await.address, from_ref(&host));
        let own = folder("access-log").join("own.ini");
        let text = "[access]\nallow = 127.0.0.1, 10.8.0.0/16\ndeny = 127.0.0.2\nproxy_from = 127.0.0.9\n";
        fs::write(&own, text).expect("written");
        let mut child = Running::start(program(&config, "access-log.json").0.arg(&own));
        let mut client = connect(address).await;
        assert_eq!(client.ask(&request("unsafe", "", "")).await.status(), 200);
        for (peer, bytes) in [
            ("127.0.0.9", b"PROXY TCP4 10.8.3.4 10.0.0.1 40000 3000\r\n".to_vec()),
            ("127.0.0.9", v2_from([10, 9, 3, 4])),
            ("127.0.0.2", Vec::new()),
        ] {
            said(from(peer, address).await, &[&bytes[..], HEALTH.as_bytes()].concat()).await;
        }
        tell(&child, "-TERM");
        assert_eq!(exit_code(&mut child).await, Some(0));
        let log = std::io::read_to_string(child.stderr.take().expect("piped")).expect("text");
        assert!(log.lines().all(|line| line.contains(" client=")), "{log}");
        for line in [
            "connected from 127.0.0.1 client=127.0.0.1",
            "connected from 127.0.0.9 client=10.8.3.4",
            "closed: not allowed client=10.9.3.4",
            "closed: not allowed client=127.0.0.2",
        ] {
            assert!(log.contains(line), "{line}: {log}");
        }
    });
}
