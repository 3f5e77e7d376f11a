//! The naive system and the load generator on a process of stand-in targets.

use std::{sync::Arc, time::Duration};

use gentianpass::{
    lab::{
        dataset::Dataset,
        fleet::{Binaries, Fleet, Plan, target_template},
        load::{self, ExpectedRows, Load, QueryStream},
        naive_system::{Layout, NaiveSystem},
        target::fault::{Damage, Fault},
        workload::{CUBBYHOLE, Workload},
    },
    wire::owner::Class,
};

const DATASET: Dataset = Dataset { seed: 5, rows: 500 };

fn load(duration: Duration) -> Load {
    let stream = QueryStream {
        class: Class::Quick,
        kind: "label-search".into(),
        qps: 100.0,
        texts: (0..5).map(|it| DATASET.narrow_text("labels", it)).collect(),
        deadline_ms: 1_000,
    };
    Load { group: "label-designer".into(), streams: vec![stream], duration, seed: 1 }
}

/// Guards against a baseline with incomplete or wrong answers, whose figures could not be compared, and against a
/// check that accepts damaged answers.
#[tokio::test]
async fn naive_answers_are_correct() {
    let workload = Workload { shards: 4, service_us: 1_000, ..CUBBYHOLE };
    let binaries = Binaries::beside(env!("CARGO_BIN_EXE_gentianpass-target"));
    let mut plan = Plan::new(binaries, DATASET.seed, DATASET.rows);
    let targets = workload.targets(&mut plan, 0);
    let replicas = targets.chunks(3).map(|it| it.iter().map(|it| it.listen).collect()).collect();
    plan.targets.push(targets);
    let fleet = Fleet::start(plan).await.expect("fleet");
    let naive = Arc::new(NaiveSystem::new("labels", Layout { version: 1, replicas }));
    let expected = ExpectedRows::new(DATASET, "labels");

    let samples = load::run(naive.clone(), &load(Duration::from_millis(300))).await;
    assert!(samples.len() > 10, "{} samples", samples.len());
    for it in &samples {
        let answer = it.result.as_ref().expect("answer");
        assert!(it.covers_all_shards() && expected.is_correct(&it.text, answer), "{it:?}");
    }

    let damaged = Fault::Damage { damage: Some(Damage::Truncated) };
    fleet.fault(&[], damaged).await.expect("fault");
    let samples = load::run(naive, &load(Duration::from_millis(100))).await;
    for it in &samples {
        let answer = it.result.as_ref().expect("answer");
        assert!(answer.covered == 0 && expected.is_correct(&it.text, answer), "{it:?}");
    }
}

/// Guards against holdings that leave a shard of the next version without a target.
#[test]
fn holdings_cover_all_shards() {
    for version in 1..4 {
        let shards = CUBBYHOLE.shards_of(version);
        let of = |shard| CUBBYHOLE.holdings(version, shard);
        let mut held: Vec<_> = (0..CUBBYHOLE.shards).flat_map(of).map(|it| it.shard).collect();
        held.sort_unstable();
        assert_eq!(held, (0..shards).collect::<Vec<_>>());
    }
    let warm = target_template(3, 30, 6, 1_000);
    assert!(warm.warm_up <= warm.slots);
}
