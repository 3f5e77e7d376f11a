//! A process without descriptors. It runs alone, because the limit is that of the whole process.

use std::{fs::File, net::TcpListener};

use gentianpass::{
    control::Client,
    descriptors::{RESERVE, is_exhausted, open_count},
};
use rustix::process::{Resource, Rlimit, setrlimit};

const MAX_DESCRIPTORS: u64 = 128;

/// Guards against a process that cannot connect to its control hosts while something else holds all its descriptors, and
/// against a reserve that serves once only.
#[tokio::test]
async fn connect_none_left() {
    let limit = Rlimit { current: Some(MAX_DESCRIPTORS), maximum: Some(MAX_DESCRIPTORS) };
    setrlimit(Resource::Nofile, limit).unwrap();
    // It accepts nothing, but the connections are established.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    assert!(RESERVE.refill());
    let mut held = Vec::new();
    let use_up = |held: &mut Vec<File>| loop {
        match File::open("/dev/null") {
            Ok(file) => held.push(file),
            Err(err) => break assert!(is_exhausted(&err), "{err}"),
        }
    };
    use_up(&mut held);
    assert_eq!(open_count(), None);
    for round in 0..3 {
        let err = Client::new(vec![addr]).members().await.unwrap_err();
        assert!(err.message.starts_with("control host: "), "round {round}: {}", err.message);
        // What callers give back goes to the reserve first.
        held.truncate(held.len().saturating_sub(8));
        assert!(RESERVE.refill());
        use_up(&mut held);
    }
}
