//! HTTP endpoints with more connections than they take.

use std::{future::pending, time::Duration};

use axum::{
    Router,
    http::{StatusCode, header::CONNECTION},
    routing::{get, post},
};
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

/// Guards against a refusal that its client does not get: it is still sending the body, and the connection is reset.
#[tokio::test]
async fn refused_while_sending_gets_response() {
    const PIECES: usize = 10;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let listener = HttpListener::new(listener, "test", MAX_CONNECTIONS, RECEIVE_BYTES);
    let refuse = async || (StatusCode::PAYLOAD_TOO_LARGE, [(CONNECTION, "close")]);
    tokio::spawn(serve(listener, Router::new().route("/", post(refuse)), pending()));
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let length = PIECES * RECEIVE_BYTES;
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    for piece in 0..PIECES {
        let written = stream.write_all(&[b'x'; RECEIVE_BYTES]).await;
        assert!(written.is_ok(), "piece {piece}: {written:?}");
        sleep(Duration::from_millis(5)).await;
    }
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");
}
