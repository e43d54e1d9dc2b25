//! Unit tests of `ask`.

use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;

/// What is made of an answer, sent whole as it stands here.
fn asked(answer: &'static [u8]) -> io::Result<String> {
    let port = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = port.local_addr().expect("an address");
    let side = std::thread::spawn(move || {
        let (mut stream, _) = port.accept().expect("asked");
        let mut head = [0; 1_024];
        assert!(stream.read(&mut head).expect("a request") > 0);
        stream.write_all(answer).expect("answered");
    });
    let told = request(at, "/members.json", None, TIMEOUT, "off there");
    side.join().expect("it has answered");
    told
}

#[test]
fn whatever_is_no_answer_is_told_as_what_it_is() {
    let whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
    assert_eq!(asked(whole).expect("an answer"), "{}");
    let cases: [(&[u8], &str); 5] = [
        (b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", "off there"),
        (b"HTTP/1.1 400 Bad Request\r\nContent-Length: 5\r\n\r\nwhat?", "does not understand: what?"),
        (b"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", "302"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", ""),
        (b"SSH-2.0-OpenSSH\r\n", ""),
    ];
    for (answer, reason) in cases {
        let told = asked(answer).expect_err("no answer").to_string();
        assert!(told.contains(reason) && !told.is_empty(), "{told}");
    }
}
