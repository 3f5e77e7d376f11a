//! The tasks that send Raft messages to the other control hosts.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use gentianpass::{
    control::{Peers, RaftTransport},
    raft::{Body, Message},
};
use tokio::{runtime::Handle, time::sleep};

/// Guards against a control host that another one never hears from again, because the task that sends to it has ended. A
/// call whose deadline cannot be represented makes the task panic.
#[tokio::test]
async fn send_after_panic() {
    let peers = Peers::default();
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let starts = Cell::new(0);
    let mut transport = RaftTransport::new(Handle::current(), addr, Duration::MAX);
    let body = Body::PreVoteReply { next_term: 1, granted: false };
    let message = Message { from: 1, to: 2, cluster: 3, term: 1, body };
    for expected in 1..4 {
        let peer = || {
            starts.set(starts.get() + 1);
            peers.get(addr)
        };
        transport.send(addr, peer, message.clone());
        assert_eq!(starts.get(), expected, "tasks started after {expected} messages");
        sleep(Duration::from_millis(50)).await;
    }
}
