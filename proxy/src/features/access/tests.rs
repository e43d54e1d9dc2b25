//! Unit tests of `access`.

use super::*;

fn v2(command: u8, family: u8, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u16).to_be_bytes();
    [V2_PREFIX, &[command, family], &length, payload].concat()
}

fn ip(text: &str) -> Option<IpAddr> {
    Some(text.parse().expect(text))
}

/// The headers that are understood, with whom they name.
fn headers() -> Vec<(Vec<u8>, Option<IpAddr>)> {
    let v4 = [&[10, 8, 3, 4, 10, 0, 0, 1][..], &[0x9c, 0x40, 0x0b, 0xb8]].concat();
    let mut v6 = vec![0; 36];
    (v6[0], v6[3], v6[15]) = (0xfd, 0x12, 1);
    let mut mapped = vec![0; 36];
    mapped[10..16].copy_from_slice(&[0xff, 0xff, 10, 8, 3, 4]);
    let tlvs = [&v4[..], &[0x04, 0, 3, 1, 2, 3, 0x20, 0, 1, 9]].concat();
    vec![
        (b"PROXY TCP4 10.8.3.4 10.0.0.1 40000 3000\r\n".to_vec(), ip("10.8.3.4")),
        (b"PROXY TCP6 fd00:12::1 fd00::1 40000 3000\r\n".to_vec(), ip("fd00:12::1")),
        (b"PROXY TCP6 ::ffff:10.8.3.4 ::1 40000 3000\r\n".to_vec(), ip("::ffff:10.8.3.4")),
        (b"PROXY UNKNOWN\r\n".to_vec(), None),
        (b"PROXY UNKNOWN ffff::1 ffff::2 65535 65535 and more words\r\n".to_vec(), None),
        (v2(0x21, 0x11, &v4), ip("10.8.3.4")),
        (v2(0x21, 0x12, &v4), ip("10.8.3.4")),
        (v2(0x21, 0x11, &tlvs), ip("10.8.3.4")),
        (v2(0x21, 0x21, &v6), ip("fd00:12::1")),
        (v2(0x21, 0x21, &mapped), ip("::ffff:10.8.3.4")),
        (v2(0x21, 0x31, &[7; 216]), None),
        (v2(0x21, 0x31, &[7; 220]), None),
        (v2(0x21, 0x00, &[]), None),
        (v2(0x20, 0x00, &[]), None),
        (v2(0x20, 0x11, &v4), None),
        (v2(0x20, 0x11, &[]), None),
    ]
}

#[test]
fn a_header_is_understood_in_pieces_and_what_follows_is_left_alone() {
    for (header, client) in headers() {
        for length in 0..header.len() {
            let part = if header.starts_with(V1_PREFIX) {
                length >= V1_PREFIX.len()
            } else {
                length >= V2_PREFIX.len()
            };
            let part = if part { Begin::Part } else { Begin::Unsure };
            assert_eq!(begin(&header[..length]), part, "{length} of {header:?}");
        }
        let more = [&header[..], b"GET /api HTTP/1.1\r\n\r\n"].concat();
        let whole = Begin::Header { client, length: header.len() };
        assert_eq!(begin(&more), whole, "{header:?}");
    }
}

#[test]
fn what_is_no_header_is_a_request_and_what_is_a_broken_one_is_bad() {
    for request in ["GET /", "POST /api", "PUT ", "PRO ", "PROXYING", "\r\nGET", "x"] {
        assert_eq!(begin(request.as_bytes()), Begin::Request, "{request}");
    }
    let long = format!("PROXY TCP4 {}\r\n", "1".repeat(MAX_V1_BYTES));
    let lines = [
        &long,
        "PROXY TCP4 10.8.3.4 10.0.0.1 40000\r\n",
        "PROXY TCP4 10.8.3.400 10.0.0.1 40000 3000\r\n",
        "PROXY TCP4 fd00::1 fd00::2 40000 3000\r\n",
        "PROXY TCP4 10.8.3.4 10.0.0.1 40000 70000\r\n",
        "PROXY TCP5 10.8.3.4 10.0.0.1 40000 3000\r\n",
        "PROXY UNKNOWNS\r\n",
        "PROXY \r\n",
        "PROXY TCP4 10.8.3.4 10.0.0.1 40000 3000\rX\r\n",
    ];
    for line in lines {
        assert_eq!(begin(line.as_bytes()), Begin::Bad, "{line}");
    }
    let bad = [
        v2(0x11, 0x11, &[0; 12]),
        v2(0x22, 0x11, &[0; 12]),
        v2(0x21, 0x11, &[0; 11]),
        v2(0x21, 0x21, &[0; 35]),
        v2(0x21, 0x31, &[0; 215]),
        v2(0x21, 0x41, &[0; 12]),
        v2(0x21, 0x13, &[0; 12]),
        v2(0x21, 0x11, &[0; MAX_V2_BYTES]),
    ];
    for header in bad {
        assert_eq!(begin(&header), Begin::Bad, "{:?}", &header[..V2_PREFIX_BYTES]);
    }
}
