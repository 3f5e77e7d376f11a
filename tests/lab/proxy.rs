//! The TCP proxy: it forwards data, closes connections, goes silent and delays.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use gentianpass::lab::proxy::TcpProxy;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

const SHORT: Duration = Duration::from_millis(200);

/// A server that sends each byte back.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let addr = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rdr, mut wtr) = stream.split();
                let _ = tokio::io::copy(&mut rdr, &mut wtr).await;
            });
        }
    });
    addr
}

async fn ping(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(b"x").await?;
    stream.read_u8().await
}

/// Guards against a proxy that changes the data, or that leaves connections open after `cut`.
#[tokio::test]
async fn cut_and_restore() {
    let proxy = TcpProxy::start("127.0.0.1:0".parse().expect("address"), echo().await).await;
    let proxy = proxy.expect("proxy");
    let mut stream = TcpStream::connect(proxy.addr()).await.expect("connection");
    assert_eq!(ping(&mut stream).await.expect("echo"), b'x');
    proxy.cut();
    assert!(timeout(SHORT, ping(&mut stream)).await.expect("ends at once").is_err());
    let mut second = TcpStream::connect(proxy.addr()).await.expect("connection");
    assert!(timeout(SHORT, ping(&mut second)).await.expect("ends at once").is_err());
    proxy.restore();
    let mut third = TcpStream::connect(proxy.addr()).await.expect("connection");
    assert_eq!(ping(&mut third).await.expect("echo"), b'x');
}

/// Guards against a silent proxy that reports an error or closes a connection, which a network partition does not do.
#[tokio::test]
async fn silence_and_restore() {
    let proxy = TcpProxy::start("127.0.0.1:0".parse().expect("address"), echo().await).await;
    let proxy = proxy.expect("proxy");
    let mut stream = TcpStream::connect(proxy.addr()).await.expect("connection");
    assert_eq!(ping(&mut stream).await.expect("echo"), b'x');
    proxy.silence();
    assert!(timeout(SHORT, ping(&mut stream)).await.is_err(), "proxy forwarded data");
    let mut second = TcpStream::connect(proxy.addr()).await.expect("connection");
    assert!(timeout(SHORT, ping(&mut second)).await.is_err(), "proxy forwarded data");
    proxy.restore();
    assert_eq!(timeout(SHORT * 10, stream.read_u8()).await.expect("resumes").expect("echo"), b'x');
}

/// Guards against a delay that is missing in one direction.
#[tokio::test]
async fn delay_in_each_direction() {
    let proxy = TcpProxy::start("127.0.0.1:0".parse().expect("address"), echo().await).await;
    let proxy = proxy.expect("proxy");
    proxy.set_delay(Duration::from_millis(30));
    let mut stream = TcpStream::connect(proxy.addr()).await.expect("connection");
    let start = Instant::now();
    ping(&mut stream).await.expect("echo");
    assert!(start.elapsed() >= Duration::from_millis(60), "{:?}", start.elapsed());
}
