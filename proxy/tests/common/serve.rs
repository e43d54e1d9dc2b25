//! Listeners of stand-in hosts: what comes is served, each connection beside the others.

use super::{own, Message, Reader};
use std::future::Future;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// A port of the test's own, with a listener on it.
pub async fn bound() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((own(), 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Serves each connection that comes, beside the others.
pub fn serve_each<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F + 'static,
) {
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream));
        }
    });
}

/// Answers each request with 200 once `take` is done with it.
pub fn answer_each<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    take: impl Fn(Message) -> F + Clone + 'static,
) {
    serve_each(listener, move |stream| {
        let take = take.clone();
        async move {
            let mut reader = Reader::new(stream);
            while let Some(message) = reader.message().await {
                take(message).await;
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                if reader.stream.write_all(answer).await.is_err() {
                    return;
                }
            }
        }
    });
}
