//! Answers of queries: rows of one index version, correct coverage, and no rows of other queries or shards.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use gentianpass::{
    error::{Kind, Outcome},
    event,
    state::Change,
    wire::caller::{Answer, Row},
};
use parking_lot::Mutex;
use proptest::{prelude::*, test_runner::Config};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    owners::{Reply, TimedReply, rows},
    support::{Entry, control, set_label, target, until},
};

const NOW: Duration = Duration::ZERO;

/// The rows that an answer must have, computed from the shards that it claims to cover.
fn expected_rows(answer: &Answer, text: &str) -> Vec<Row> {
    let missing: Vec<u32> = answer.missing.iter().map(|it| it.shard).collect();
    let covered = (0..answer.total).filter(|it| !missing.contains(it));
    let mut all: Vec<Row> = covered.flat_map(|it| rows(answer.version, it, text)).collect();
    all.sort();
    all
}

fn check(answer: &Answer, text: &str) {
    assert_eq!(answer.rows, expected_rows(answer, text), "{answer:?}");
    assert_eq!(answer.covered as usize + answer.missing.len(), answer.total as usize);
    assert_eq!(answer.outcome, Outcome::Done);
}

/// Guards against a shard that is reported as covered although its result was lost, late, for another shard, refused or
/// malformed, and against a shard that is reported as missing although it has a result.
#[tokio::test(flavor = "multi_thread")]
async fn coverage() {
    let control = control(8, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    let replies = [
        (Reply::Rows, None),
        (Reply::Duplicate, None),
        (Reply::Forgotten, Some(Kind::BadAnswer)),
        (Reply::Pending, Some(Kind::Timeout)),
        (Reply::WrongShard, Some(Kind::Timeout)),
        (Reply::Fail(Kind::Shed), Some(Kind::Shed)),
        (Reply::Fail(Kind::BadAnswer), Some(Kind::BadAnswer)),
        (Reply::Fail(Kind::Disconnected), Some(Kind::Disconnected)),
    ];
    entry.owners.script(move |batch, item| {
        let all = if batch.canary { Reply::Rows } else { replies[item.shard as usize].0 };
        (NOW, all)
    });
    for i in 0..20 {
        let text = format!("name {i}");
        let answer = entry.query(&text, 400).await.answer();
        check(&answer, &text);
        let found: HashMap<u32, Kind> =
            answer.missing.iter().map(|it| (it.shard, it.reason)).collect();
        let canary = entry.owners.batches().into_iter().find(|it| it.canary && it.text == text);
        let canary = canary.expect("a new text has a canary").items[0].shard;
        for (shard, (_, reason)) in (0..).zip(replies) {
            let expected = reason.filter(|_| shard != canary);
            assert_eq!(found.get(&shard).copied(), expected, "shard {shard}");
        }
    }
    let events = entry.events().await;
    assert!(events.iter().any(|it| it.kind == event::Kind::ShardMissing));
}

/// Guards against `not_run` for a query that may have run, and against success without rows when no shard is covered.
#[tokio::test(flavor = "multi_thread")]
async fn no_coverage() {
    let control = control(4, 2).await;
    let entry = Entry::start(&control, "entry-1").await;
    let table = [
        (Reply::Fail(Kind::Overloaded), Kind::Overloaded, Outcome::NotRun),
        (Reply::Fail(Kind::Disconnected), Kind::Disconnected, Outcome::Unknown),
        (Reply::Pending, Kind::Timeout, Outcome::Unknown),
    ];
    for (reply, kind, outcome) in table {
        entry.owners.script(move |_, _| (NOW, reply));
        let failure = entry.query(&format!("{reply:?}"), 300).await.failure();
        assert_eq!(failure, (kind, outcome), "{reply:?}");
    }
}

/// Guards against `not_run` for a query whose first sub-request may have run, although all later ones were refused.
#[tokio::test(flavor = "multi_thread")]
async fn refused_after_unknown() {
    let control = control(4, 2).await;
    let entry = Entry::start(&control, "entry-1").await;
    let asked = AtomicU32::new(0);
    entry.owners.script(move |_, _| {
        let first = asked.fetch_add(1, Ordering::SeqCst) == 0;
        (NOW, Reply::Fail(if first { Kind::BadAnswer } else { Kind::Overloaded }))
    });
    let failure = entry.query("name", 2_000).await.failure();
    assert_eq!(failure, (Kind::Overloaded, Outcome::Unknown));
}

/// Guards against a shard that is missing because the ownership of all its targets is moving for a moment.
#[tokio::test(flavor = "multi_thread")]
async fn ownership_moves() {
    let control = control(6, 2).await;
    let entry = Entry::start(&control, "entry-1").await;
    let asked: Mutex<HashMap<String, u32>> = Mutex::default();
    entry.owners.script(move |batch, item| {
        let mut asked = asked.lock();
        let times = asked.entry(format!("{}/{}", batch.text, item.target)).or_default();
        *times += 1;
        let moves = !batch.canary && item.shard == 2 && *times <= 2;
        (NOW, if moves { Reply::Fail(Kind::NotOwner) } else { Reply::Rows })
    });
    for i in 0..10 {
        let text = format!("name {i}");
        let answer = entry.query(&text, 2_000).await.answer();
        check(&answer, &text);
        assert_eq!(answer.covered, 6, "{:?}", answer.missing);
    }
}

/// Guards against a failed sub-request that is not retried at another replica, and against one that is sent to the same
/// replica twice.
#[tokio::test(flavor = "multi_thread")]
async fn retry_on_replica() {
    let control = control(6, 3).await;
    let entry = Entry::start(&control, "entry-1").await;
    let kinds = [Kind::Shed, Kind::NotOwner, Kind::Disconnected, Kind::BadAnswer];
    entry.owners.script(move |batch, item| {
        let kind = kinds[item.shard as usize % kinds.len()];
        let (first, second) = (item.target.ends_with("-0"), item.target.ends_with("-1"));
        // At most six retries, the limit of a query with six shards.
        let fails = !batch.canary && (first && item.shard < 4 || second && item.shard < 2);
        (NOW, if fails { Reply::Fail(kind) } else { Reply::Rows })
    });
    for i in 0..10 {
        let text = format!("name {i}");
        let answer = entry.query(&text, 2_000).await.answer();
        check(&answer, &text);
        assert_eq!(answer.covered, 6, "{:?}", answer.missing);
        let mut asked: BTreeMap<String, u32> = BTreeMap::new();
        let batches = entry.owners.batches().into_iter().filter(|it| it.text == text);
        for item in batches.flat_map(|it| it.items) {
            *asked.entry(item.target).or_default() += 1;
        }
        assert!(asked.values().all(|it| *it == 1), "{asked:?}");
    }
}

/// Guards against a slow target that delays the answer although another replica is idle, against more hedges than the
/// budget allows, and against a slower copy that keeps running or whose rows are used too.
#[tokio::test(flavor = "multi_thread")]
async fn hedge() {
    let control = control(10, 2).await;
    let entry = Entry::start(&control, "entry-1").await;
    entry.owners.script(|batch, item| {
        let straggles = !batch.canary && batch.items.len() > 1 && item.shard == 3;
        (if straggles { Duration::from_secs(5) } else { NOW }, Reply::Rows)
    });
    let mut hedged = 0;
    for i in 0..20 {
        let text = format!("name {i}");
        let answer = entry.query(&text, 1_000).await.answer();
        check(&answer, &text);
        hedged += u32::from(answer.missing.is_empty());
    }
    // The budget starts with 10 tokens, and 3% of 200 sub-requests add 6. A query whose canary asks shard 3 needs no
    // hedge.
    assert!((10..=20).contains(&hedged), "{hedged} of 20 hedged");
    let extra: usize = entry.owners.batches().iter().map(|it| it.items.len()).sum();
    assert!(extra <= 200 + 10 + 6, "{extra} sub-requests for 20 queries of 10 shards");
    until("cancelled", async || entry.owners.cancelled().len() >= 10).await;
}

/// Guards against rows that end up in the answer of another query: each query has its own text, and late results of
/// earlier queries arrive while later ones run.
#[tokio::test(flavor = "multi_thread")]
async fn late_answers() {
    let control = control(5, 2).await;
    let entry = Arc::new(Entry::start(&control, "entry-1").await);
    entry.owners.script(|batch, item| {
        let late = Duration::from_millis(60 * (xxh3_64_with_seed(batch.text.as_bytes(), 1) % 4));
        let reply = [Reply::Rows, Reply::Duplicate][item.shard as usize % 2];
        (if batch.canary { NOW } else { late }, reply)
    });
    let requests: Vec<_> = (0..60)
        .map(|i| {
            let entry = entry.clone();
            tokio::spawn(async move {
                let text = format!("name {i}");
                let answer = entry.query(&text, 150).await.answer();
                check(&answer, &text);
                answer.missing.len()
            })
        })
        .collect();
    let mut missing = 0;
    for it in requests {
        missing += it.await.expect("checked");
    }
    assert!(missing > 0, "no answer was late");
}

/// Guards against an answer that mixes versions or lacks shards when a shard of the query's version loses its last
/// replica.
#[tokio::test(flavor = "multi_thread")]
async fn restart_on_version() {
    let control = control(3, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    for shard in 0..3 {
        let new = target(&format!("n{shard}"), shard, &[(2, 3)]);
        control.accept(Change::PutTarget(new));
    }
    entry.applied(&control).await;
    assert_eq!(entry.query("before", 1_000).await.answer().version, 2);
    let shared = control.clone();
    entry.owners.script(move |_, item| {
        if item.target != "n1" {
            return (NOW, Reply::Rows);
        }
        if shared.tables(|it| it.config.targets["n1"].incarnation == 1) {
            let mut emptied = target("n1", 1, &[]);
            emptied.incarnation = 2;
            shared.accept(Change::PutTarget(emptied));
        }
        (Duration::from_millis(200), Reply::Fail(Kind::WrongVersion))
    });
    let answer = entry.query("before", 3_000).await.answer();
    check(&answer, "before");
    assert_eq!((answer.version, answer.covered), (1, 3), "{answer:?}");
}

/// Guards against a request that crashes more than two targets when two hosts receive it at once.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request() {
    let control = control(6, 3).await;
    let hosts = [Entry::start(&control, "entry-1").await, Entry::start(&control, "entry-2").await];
    for host in &hosts {
        let shared = control.clone();
        host.owners.script(move |batch, item| {
            let (fingerprint, target) = (batch.fingerprint, item.target.clone());
            shared.change(Change::Suspect { fingerprint, target });
            (NOW, Reply::Fail(Kind::Disconnected))
        });
    }
    let (a, b) = tokio::join!(hosts[0].query("crash", 3_000), hosts[1].query("crash", 3_000));
    for (host, response) in hosts.iter().zip([a, b]) {
        let (kind, outcome) = response.failure();
        assert!(matches!(kind, Kind::Quarantined | Kind::Disconnected), "{kind}");
        let sent = !host.owners.batches().is_empty();
        assert_eq!(outcome, if sent { Outcome::Unknown } else { Outcome::NotRun });
    }
    for host in &hosts {
        host.applied(&control).await;
        assert_eq!(
            host.query("crash", 1_000).await.failure(),
            (Kind::Quarantined, Outcome::NotRun)
        );
    }
    let batches = hosts.iter().flat_map(|it| it.owners.batches());
    let mut targets: Vec<_> = batches.flat_map(|it| it.items).map(|it| it.target).collect();
    targets.sort();
    targets.dedup();
    assert!(targets.len() <= 2, "{targets:?}");
}

/// Guards against a canary that goes to a third target before a poll has confirmed that the request is not quarantined,
/// and against one that is never sent to a third target after the first two refused it.
#[tokio::test(flavor = "multi_thread")]
async fn third_target() {
    let control = control(6, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    let asked = || entry.owners.batches().into_iter().flat_map(|it| it.items).count();
    entry.owners.script(|_, _| (NOW, Reply::Fail(Kind::NoTarget)));
    control.set_silent(true);
    let refused = entry.query("new", 400).await.failure();
    assert_eq!((refused, asked()), ((Kind::NoTarget, Outcome::NotRun), 2));
    control.set_silent(false);
    entry.serving().await;
    assert_eq!(entry.query("new", 2_000).await.failure(), refused);
    assert_eq!(asked(), 2 + 4, "two more targets after a confirmed poll");
}

/// Guards against broad queries that use the share reserved for quick ones, and against a rejection without `not_run`.
#[tokio::test(flavor = "multi_thread")]
async fn admission() {
    let control = control(2, 1).await;
    control.accept(set_label("kind/label-search", "class", "broad"));
    let entry = Arc::new(Entry::start(&control, "entry-1").await);
    entry.owners.script(|_, _| (Duration::from_millis(400), Reply::Rows));
    let requests: Vec<_> = (0..60)
        .map(|i| {
            let entry = entry.clone();
            tokio::spawn(async move { entry.query(&format!("name {i}"), 5_000).await })
        })
        .collect();
    let mut rejected = 0;
    for it in requests {
        let response = it.await.expect("answered");
        if response.status == 429 {
            assert_eq!(response.failure(), (Kind::Overloaded, Outcome::NotRun));
            rejected += 1;
        } else {
            assert_eq!(response.answer().covered, 2);
        }
    }
    // `max_queries` is 64 and a quarter is reserved for quick queries, so 48 broad ones run at once.
    assert_eq!(rejected, 60 - 48);
}

/// The reply of a target for a text. It is the same each time for the same seed.
fn target_reply(seed: u64, target: &str, text: &str) -> TimedReply {
    let hash = xxh3_64_with_seed(format!("{target}/{text}").as_bytes(), seed);
    let after = Duration::from_millis(hash >> 8 & 15);
    let reply = match hash % 16 {
        0 => Reply::Pending,
        1 => Reply::Forgotten,
        2 => Reply::WrongShard,
        3 => Reply::Fail(Kind::Shed),
        4 => Reply::Fail(Kind::BadAnswer),
        5 => Reply::Fail(Kind::NotOwner),
        6..9 => Reply::Duplicate,
        _ => Reply::Rows,
    };
    (after, reply)
}

/// Checks the rows of answers while targets fail, drain and change their index versions.
async fn random_run(seed: u64) {
    const SHARDS: u32 = 4;
    let control = control(SHARDS, 2).await;
    let entry = Arc::new(Entry::start(&control, "entry-1").await);
    entry.owners.script(move |batch, item| target_reply(seed, &item.target, &batch.text));
    let queries: Vec<_> = (0..24)
        .map(|i| {
            let entry = entry.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(10 * i)).await;
                let text = format!("name {}", i % 8);
                let response = entry.query(&text, 400).await;
                if response.status != 200 {
                    response.failure();
                    return;
                }
                let answer = response.answer();
                check(&answer, &text);
                for shard in 0..answer.total {
                    let replicas = [format!("t{shard}-0"), format!("t{shard}-1")];
                    let good = |it: &String| {
                        matches!(target_reply(seed, it, &text).1, Reply::Rows | Reply::Duplicate)
                    };
                    let missing = answer.missing.iter().any(|it| it.shard == shard);
                    assert!(missing || replicas.iter().any(good), "shard {shard} of {answer:?}");
                }
            })
        })
        .collect();
    for step in 0..24 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let hash = xxh3_64_with_seed(&[step], seed);
        let shard = (hash % u64::from(SHARDS)) as u32;
        let name = format!("t{shard}-{}", hash >> 8 & 1);
        let versions = match hash >> 16 & 3 {
            0 => vec![(1, SHARDS)],
            1 => vec![(2, SHARDS)],
            _ => vec![(1, SHARDS), (2, SHARDS)],
        };
        let drain = if hash >> 24 & 3 == 0 { "true" } else { "false" };
        control.change(Change::PutTarget(target(&name, shard, &versions)));
        control.change(set_label(&format!("target/{name}"), "drain", drain));
    }
    for it in queries {
        it.await.expect("consistent");
    }
}

/// Guards against answers that mix index versions or report wrong coverage, under random failures and changes.
#[test]
fn random_behaviour() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    proptest!(Config { cases: 12, max_shrink_iters: 0, failure_persistence: None, ..Config::default() }, |(seed: u64)| {
        runtime.block_on(random_run(seed));
    });
}
