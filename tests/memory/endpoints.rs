//! HTTP endpoints with more connections than they take.

use std::{future::pending, time::Duration};

use axum::{Router, routing::get};
use gentianpass::inbound::{HttpListener, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const MAX_CONNECTIONS: usize = 8;

const RECEIVE_BYTES: usize = 16 << 10;

/// Guards against clients whose heads do not end and keep others out until they time out.
#[tokio::test]
async fn unfinished_heads_make_room() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let listener = HttpListener::new(listener, "test", MAX_CONNECTIONS, RECEIVE_BYTES);
    let router = Router::new().route("/", get(async || "ok"));
    tokio::spawn(serve(listener, router, pending()));
    let mut kept = Vec::new();
    for _ in 0..3 * MAX_CONNECTIONS {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nhost: a").await.unwrap();
        kept.push(stream);
        // The server has read the bytes before it admits the next one.
        sleep(Duration::from_millis(2)).await;
    }
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}
