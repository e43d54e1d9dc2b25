//! Hosts that send a second answer some time after the first: nobody may be served with it.

mod common;

use common::serve::{bound, serve_each};
use common::*;
use std::cell::Cell;
use std::rc::Rc;
use std::slice::from_ref;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long hosts work on a request.
const WORK: Duration = Duration::from_millis(5);
/// Longer than a connection rests at the least.
const PAUSE: Duration = Duration::from_millis(40);

/// A host that answers each request with the request's id.
#[derive(Clone, Default)]
struct Echo {
    opened: Rc<Cell<usize>>,
    answered: Rc<Cell<usize>>,
}

impl Echo {
    /// Starts the host; `second` has the delay of the second answer to the n-th request, if it sends one.
    async fn start(&self, second: impl Fn(usize) -> Option<Duration> + Clone + 'static) -> Host {
        let (listener, address) = bound().await;
        let echo = self.clone();
        serve_each(listener, move |stream| echo.clone().serve(stream, second.clone()));
        Host { address, ..Host::start([ok("")]).await }
    }

    async fn serve(self, stream: TcpStream, second: impl Fn(usize) -> Option<Duration>) {
        self.opened.set(self.opened.get() + 1);
        let (read, write) = stream.into_split();
        let write = Rc::new(Mutex::new(write));
        let mut reader = Reader::new(read);
        while let Some(message) = reader.message().await {
            sleep(WORK).await;
            let number = self.answered.replace(self.answered.get() + 1);
            let id = message.header("x-call-id").expect("an id");
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
            if write.lock().await.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            if let Some(delay) = second(number) {
                let write = write.clone();
                spawn_local(async move {
                    sleep(delay).await;
                    // The proxy may have closed the connection meanwhile.
                    let _ = write.lock().await.write_all(answer.as_bytes()).await;
                });
            }
        }
    }
}

/// A request with an id of its own.
fn numbered(class: &str, number: usize) -> (String, String) {
    let id = format!("{number:016x}");
    let text = request(class, "Idempotency-Key: 5c0f\r\n", "");
    (text.replace("9b1f03aa5c7e2d41", &id), id)
}

/// Guards against requests that are served with the second answer to the request before them on their connection.
#[test]
fn no_request_is_served_with_a_second_answer_that_was_on_its_way() {
    run(async {
        for delay_ms in [1, 3, 8, 15] {
            let host = Echo::default().start(move |_| Some(Duration::from_millis(delay_ms))).await;
            let proxy = Proxy::start(from_ref(&host)).await;
            let mut client = proxy.client().await;
            for (number, class) in ["free", "keyed", "unsafe"].into_iter().cycle().take(24).enumerate() {
                let (text, id) = numbered(class, number);
                let answer = client.ask(&text).await;
                assert_eq!((answer.status(), answer.body), (200, id.into_bytes()), "{class}, {delay_ms} ms");
            }
        }
    });
}

/// Guards against later second answers: after one, however late, nothing is reused at its host for a time.
#[test]
fn connections_of_a_host_that_has_sent_a_second_answer_carry_one_request_each() {
    run(async {
        let echo = Echo::default();
        let host = echo.start(|number| (number == 0).then_some(WORK)).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        for number in 0..6 {
            let (text, id) = numbered("unsafe", number);
            assert_eq!(client.ask(&text).await.body, id.into_bytes());
            sleep(PAUSE).await;
        }
        assert_eq!(echo.opened.get(), 6);
    });
}

/// A host may announce by a 408 that it closes an idle connection: that is no answer to anything.
#[test]
fn an_announced_close_of_an_idle_connection_is_no_second_answer() {
    run(async {
        let (listener, address) = bound().await;
        let opened = Rc::new(Cell::new(0));
        let count = opened.clone();
        serve_each(listener, move |stream| {
            let count = count.clone();
            async move {
                count.set(count.get() + 1);
                let (first, mut reader) = (count.get() == 1, Reader::new(stream));
                while reader.message().await.is_some() {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    reader.stream.write_all(answer).await.expect("written");
                    if first {
                        sleep(WORK).await;
                        let close =
                            b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
                        return reader.stream.write_all(close).await.expect("written");
                    }
                }
            }
        });
        let proxy = Proxy::start(&[Host { address, ..Host::start([ok("")]).await }]).await;
        let mut client = proxy.client().await;
        for _ in 0..5 {
            assert_eq!(client.ask(&request("unsafe", "", "")).await.status(), 200);
            sleep(PAUSE).await;
        }
        assert_eq!(opened.get(), 2);
    });
}

/// Without second answers, requests in a row share a connection: each waits for what is left of its rest.
#[test]
fn requests_without_a_pause_share_one_connection() {
    run(async {
        let echo = Echo::default();
        let host = echo.start(|_| None).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        for number in 0..50 {
            let (text, id) = numbered("free", number);
            assert_eq!(client.ask(&text).await.body, id.into_bytes());
        }
        assert_eq!(echo.opened.get(), 1);
    });
}
