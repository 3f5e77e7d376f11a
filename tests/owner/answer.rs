use gentianpass::error::Kind;

use crate::{
    batch, block_on, error_kinds,
    fake::{FakeTarget, Mode},
    host::host_owning,
};

/// Guards against a wrong, truncated or malformed answer that is accepted as the rows of an empty or a different shard.
#[test]
fn answer_checked() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 6, 6).await;
        let wrong = [
            Mode::WrongId,
            Mode::WrongIndex,
            Mode::WrongVersion,
            Mode::WrongShard,
            Mode::WrongCount,
            Mode::Truncate,
            Mode::NotJson,
            Mode::RefusalWithOk,
        ];
        for (i, mode) in wrong.into_iter().enumerate() {
            fake.set_next_mode(mode);
            let progress = host.owner.exec(batch(i as u64 + 1, &["t"])).await.expect("progress");
            assert_eq!(error_kinds(&progress), [Some(Kind::BadAnswer)], "{mode:?}");
        }
        let progress = host.owner.exec(batch(100, &["t"])).await.expect("progress");
        let rows = progress.finished[0].result.as_ref().expect("rows");
        assert_eq!(rows[0].text, "Pigeon");
    });
}

/// Guards against wrong error kinds for refusals, broken connections and late answers: the root repeats a refused
/// sub-request freely, but the others only within its retry budget.
#[test]
fn answer_kinds() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 6, 6).await;
        let cases = [
            (Mode::Shed, Kind::Shed),
            (Mode::Draining, Kind::Draining),
            (Mode::TimedOut, Kind::Timeout),
            (Mode::Disconnect, Kind::Disconnected),
            (Mode::Hang, Kind::Timeout),
        ];
        for (i, (mode, kind)) in cases.into_iter().enumerate() {
            fake.set_next_mode(mode);
            let batch = crate::Batch { deadline_ms: 400, ..batch(i as u64 + 1, &["t"]) };
            let progress = host.owner.exec(batch).await.expect("progress");
            assert_eq!(error_kinds(&progress), [Some(kind)], "{mode:?}");
        }
        let progress = host.owner.exec(batch(100, &["elsewhere"])).await.expect("progress");
        assert_eq!(error_kinds(&progress), [Some(Kind::NotOwner)]);
    });
}
