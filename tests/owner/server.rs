use std::time::{Duration, Instant};

use gentianpass::{error::Kind, event, peer::Peers, wire::owner::Batch};
use tarpc::context;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::{
    batch, block_on, error_kinds,
    fake::{FakeTarget, Mode},
    host::host_owning,
    wait_until,
};

/// Guards against arguments and results of calls between hosts that are changed by encoding or transport.
#[test]
fn server_exec() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 2, 2).await;
        let client = Peers::new().get(host.rpc).await.expect("client");
        let progress =
            client.exec(context::current(), batch(1, &["t"])).await.expect("call").expect("reply");
        assert_eq!(error_kinds(&progress), [None]);
        let err = client.collect(context::current(), 1, 0).await.expect("call").expect_err("gone");
        assert_eq!(err.kind, Kind::NotFound);
    });
}

/// Guards against results that exceed one frame, which would close the connection and fail all its calls.
#[test]
fn server_large_results() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 4, 4).await;
        let client = Peers::new().get(host.rpc).await.expect("client");
        let large = Batch { text: "x".repeat(300_000), ..batch(1, &["t"; 5]) };
        let mut progress =
            client.exec(context::current(), large).await.expect("call").expect("reply");
        let mut shards = Vec::new();
        loop {
            assert!(progress.finished.iter().all(|it| it.result.is_ok()));
            shards.extend(progress.finished.iter().map(|it| it.shard));
            if progress.pending.is_empty() {
                break;
            }
            let more = client.collect(context::current(), 1, 1_000).await;
            progress = more.expect("call").expect("reply");
        }
        shards.sort_unstable();
        assert_eq!(shards, [0, 1, 2, 3, 4]);
    });
}

/// Guards against sub-requests that go on after the process of the root has ended.
#[test]
fn server_root_disconnected() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 2, 2).await;
        fake.set_mode(Mode::Hang);
        let peers = Peers::new();
        let client = peers.get(host.rpc).await.expect("client");
        let call = tokio::spawn(async move {
            let _ = client.exec(context::current(), batch(1, &["t"])).await;
        });
        wait_until("the sub-request runs", || fake.running() == 1).await;
        call.abort();
        wait_until("the target is asked to cancel it", || !fake.state.cancelled.lock().is_empty())
            .await;
    });
}

/// Guards against a peer that keeps its connection after it has sent invalid data or a frame over the limit, and
/// against more than one event about it.
#[test]
fn server_invalid_frame() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 2, 2).await;
        let frames: [&[u8]; 2] = [&[0xff; 64], b"\x00\x00\x00\x04\xff\xff\xff\xff"];
        for (i, invalid) in frames.into_iter().enumerate() {
            let mut stream = TcpStream::connect(host.rpc).await.expect("connection");
            stream.write_all(invalid).await.expect("write");
            let read = tokio::time::timeout(Duration::from_secs(5), stream.read_u8()).await;
            assert!(read.expect("connection closed in time").is_err());
            let filter = event::Filter::default();
            let count = || {
                let events = host.events.find(&filter);
                events.iter().filter(|it| it.kind == event::Kind::PeerRejected).count()
            };
            wait_until("the rejected peer is recorded", || count() == i + 1).await;
        }
        let client = Peers::new().get(host.rpc).await.expect("client");
        let answer = client.collect(context::current(), 1, 0).await.expect("call");
        assert_eq!(answer.expect_err("no batch").kind, Kind::NotFound);
    });
}

/// Guards against calls that go on using the connection to a peer that no longer answers.
#[test]
fn server_stalled_peer() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let addr = listener.local_addr().expect("address");
        let accepted = tokio::spawn(async move {
            let first = listener.accept().await.expect("first");
            let second = listener.accept().await.expect("second");
            (first, second)
        });
        let peers = Peers::new();
        let end = Instant::now() + Duration::from_secs(10);
        while !accepted.is_finished() {
            assert!(Instant::now() < end, "the stalled connection was not replaced");
            let _ = peers.get(addr).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}
