//! The choice of the control host that a poller asks next, as a function of what is known of them and of the time.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use gentianpass::control::Candidates;

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// The address of control host `number`.
fn host(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn hosts<const N: usize>(numbers: [u16; N]) -> Vec<SocketAddr> {
    numbers.map(host).to_vec()
}

fn unlisted(candidates: &Candidates) -> Vec<SocketAddr> {
    candidates.unlisted().collect()
}

/// Guards against a poller that no longer knows any control host that works, after one has listed members that are all
/// gone: hosts known before, and those of the settings, are asked after the listed ones.
#[test]
fn replace_keeps_known_hosts() {
    let now = Instant::now();
    let mut candidates = Candidates::new(&hosts([1]), 0, now);
    candidates.replace(&hosts([2, 3]), now);
    candidates.record_response(host(2), now);
    assert!(candidates.replace(&hosts([7, 8, 9]), now + secs(2)));
    candidates.prefer_first();
    let round = candidates.start_round(now + secs(2));
    assert_eq!((round.current, round.current_works), (host(2), true), "it has answered");
    assert_eq!(round.probe, Some(host(7)), "the listed ones are preferred");
    assert_eq!(round.others, hosts([8, 9, 3, 1]));
    for failed in [7, 8, 9, 2] {
        candidates.record_failure(host(failed), now + secs(3));
    }
    candidates.prefer_first();
    assert_eq!(candidates.current(), host(3));
    candidates.record_failure(host(3), now + secs(4));
    candidates.prefer_first();
    assert_eq!(candidates.current(), host(1));
}

/// Guards against a list of candidates that grows with each control host that is replaced, and against one that is
/// dropped while it is the only one that answers.
#[test]
fn replace_drops_former_hosts() {
    let now = Instant::now();
    let mut candidates = Candidates::new(&hosts([1]), 0, now);
    candidates.replace(&hosts([2, 3]), now);
    candidates.replace(&hosts([4]), now + secs(10));
    assert_eq!(unlisted(&candidates), hosts([2, 3, 1]));
    for after in (12..=70).step_by(2) {
        candidates.record_response(host(3), now + secs(after));
        assert!(!candidates.replace(&hosts([4]), now + secs(after)), "the list is the same");
    }
    assert_eq!(unlisted(&candidates), hosts([3, 1]), "the current one stays");
    assert_eq!(candidates.current(), host(3));
    candidates.record_response(host(4), now + secs(71));
    candidates.replace(&hosts([4]), now + secs(131));
    assert_eq!(unlisted(&candidates), hosts([1]));
    for number in 10..50 {
        candidates.replace(&hosts([number]), now + secs(140));
    }
    assert_eq!(unlisted(&candidates).len(), 9, "8 former ones and that of the settings");
    candidates.replace(&hosts([1]), now + secs(300));
    assert_eq!(unlisted(&candidates), hosts([49]), "it was listed until now");
    candidates.replace(&hosts([2]), now + secs(361));
    assert_eq!(unlisted(&candidates), hosts([1]), "the one of the settings stays");
}

/// Guards against a poller that moves away from the host that answers each time it reads the same list again.
#[test]
fn replace_same_list() {
    let now = Instant::now();
    let mut candidates = Candidates::new(&hosts([1, 2, 3]), 2, now);
    candidates.record_response(host(2), now);
    assert!(!candidates.replace(&hosts([1, 2, 3]), now));
    assert!(!candidates.replace(&[], now));
    assert_eq!(candidates.current(), host(2));
}

/// Guards against a preferred host that is asked in every round although it does not answer, or never again.
#[test]
fn start_round_probes_preferred() {
    let now = Instant::now();
    let mut candidates = Candidates::new(&hosts([1, 2, 3]), 0, now);
    candidates.prefer_first();
    candidates.record_failure(host(1), now);
    candidates.record_failure(host(2), now + secs(1));
    candidates.record_response(host(3), now + secs(1));
    let probes: Vec<_> = [1_000, 1_100, 1_200, 2_999, 3_000, 3_100, 3_200]
        .map(|it| candidates.start_round(now + Duration::from_millis(it)).probe)
        .into();
    let [first, second] = [Some(host(1)), Some(host(2))];
    assert_eq!(probes, [first, second, None, None, first, second, None]);
    assert_eq!(candidates.start_round(now + secs(4)).others, hosts([1, 2]), "by time of failure");
}

/// Guards against a host whose answers are wrong and that is asked again before others, or chosen as the first one of the
/// list.
#[test]
fn distrust_current_avoids_host() {
    let now = Instant::now();
    let mut candidates = Candidates::new(&hosts([1, 2, 3]), 0, now);
    candidates.prefer_first();
    candidates.record_response(host(1), now);
    candidates.distrust_current(now);
    candidates.prefer_first();
    let round = candidates.start_round(now + secs(1));
    assert_eq!((round.current, round.probe), (host(2), None));
    assert_eq!(round.others, hosts([3]), "others that are late are waited for");
    for failed in [2, 3] {
        candidates.record_failure(host(failed), now + secs(1));
    }
    assert_eq!(candidates.start_round(now + secs(1)).others, hosts([1, 3]), "the others fail");
    let round = candidates.start_round(now + secs(2));
    assert_eq!((round.probe, round.others), (Some(host(1)), hosts([3])));
    let mut only = Candidates::new(&hosts([1]), 0, now);
    only.distrust_current(now);
    assert_eq!(only.current(), host(1));
}
