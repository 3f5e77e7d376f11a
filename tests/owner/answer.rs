use gentianpass::error::Kind;

use crate::{
    batch,
    fake::{Fake, Mode},
    host::owning,
    kinds, run,
};

/// Guards against a wrong, truncated or malformed answer that counts as an empty or a foreign shard.
#[test]
fn answer_checked() {
    run(async {
        let fake = Fake::start("t");
        let (_net, host) = owning(&fake, 6, 6).await;
        let wrong = [
            Mode::WrongId,
            Mode::WrongIndex,
            Mode::WrongVersion,
            Mode::WrongShard,
            Mode::WrongCount,
            Mode::CutOff,
            Mode::NotJson,
            Mode::Confused,
        ];
        for (i, mode) in wrong.into_iter().enumerate() {
            fake.once(mode);
            let progress = host.owner.exec(batch(i as u64 + 1, &["t"])).await.expect("progress");
            assert_eq!(kinds(&progress), [Some(Kind::BadAnswer)], "{mode:?}");
        }
        let progress = host.owner.exec(batch(100, &["t"])).await.expect("progress");
        let rows = progress.finished[0].result.as_ref().expect("rows");
        assert_eq!(rows[0].text, "Pigeon");
    });
}

/// Guards against refusals, broken connections and late answers that are taken for one another: the root repeats a
/// refusal freely, and the others within its budget.
#[test]
fn answer_kinds() {
    run(async {
        let fake = Fake::start("t");
        let (_net, host) = owning(&fake, 6, 6).await;
        let cases = [
            (Mode::Shed, Kind::Shed),
            (Mode::Draining, Kind::Draining),
            (Mode::TimedOut, Kind::Timeout),
            (Mode::Break, Kind::Disconnected),
            (Mode::Hang, Kind::Timeout),
        ];
        for (i, (mode, kind)) in cases.into_iter().enumerate() {
            fake.once(mode);
            let batch = crate::Batch { deadline_ms: 400, ..batch(i as u64 + 1, &["t"]) };
            let progress = host.owner.exec(batch).await.expect("progress");
            assert_eq!(kinds(&progress), [Some(kind)], "{mode:?}");
        }
        let progress = host.owner.exec(batch(100, &["elsewhere"])).await.expect("progress");
        assert_eq!(kinds(&progress), [Some(Kind::NotOwner)]);
    });
}
