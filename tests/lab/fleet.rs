//! The launcher: processes start, stop and freeze, and none outlives the fleet.

use std::{path::Path, time::Duration};

use gentianpass::lab::{
    fleet::{Binaries, Fleet, HostPlan, Plan, Service, target_template},
    target::fault::Fault,
};

fn plan() -> Plan {
    let binaries = Binaries::beside(env!("CARGO_BIN_EXE_gentianpass-target"));
    let mut plan = Plan::new(binaries, 1, 300);
    plan.controls.push(HostPlan::new("control-1", "a"));
    let service = Service {
        name: "label-designer".into(),
        index: "labels".into(),
        shards: 2,
        template: target_template(3, 30, 0, 1_000),
    };
    let targets = service.targets(&mut plan, &["a", "b"]);
    plan.targets.push(targets);
    plan
}

fn exists(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

/// Guards against processes that keep running after a failed test or demo, frozen ones included.
#[tokio::test]
async fn drop_kills_processes() {
    let mut fleet = Fleet::start(plan()).await.expect("fleet");
    let ids = [fleet.controls[0].process.id(), fleet.targets[0].process.id()];
    assert!(ids.into_iter().all(exists));
    fleet.controls[0].process.freeze().expect("freeze");
    drop(fleet);
    assert!(!ids.into_iter().any(exists));
}

/// Guards against a fault that reaches other targets than the named ones, or none.
#[tokio::test]
async fn fault_named_targets() {
    let fleet = Fleet::start(plan()).await.expect("fleet");
    let zone_a = fleet.targets_in("a");
    assert_eq!(zone_a, ["label-designer-000-a", "label-designer-001-a"]);
    fleet.fault(&zone_a, Fault::Crash { back_after_ms: 60_000 }).await.expect("fault");
    let stats = fleet.stats().await.expect("stats");
    assert_eq!(stats.len(), 4);
    assert!(stats.iter().all(|it| it.down == (it.zone == "a")), "{stats:?}");
    assert!(fleet.fault(&[], Fault::Heal).await.is_ok());
}

/// Guards against a restart that keeps the old process or the old data.
#[tokio::test]
async fn restart_empty() {
    let mut fleet = Fleet::start(plan()).await.expect("fleet");
    let host = &mut fleet.controls[0];
    let (old, file) = (host.process.id(), host.data_dir.join("left"));
    std::fs::write(&file, "x").expect("file");
    host.process.terminate().expect("terminate");
    let status = host.process.wait(Duration::from_secs(5)).await.expect("end");
    assert!(status.success(), "{status}");
    host.restart_empty().expect("restart");
    assert!(!exists(old) && exists(host.process.id()) && !file.exists());
    fleet.wait_until_healthy(Duration::from_secs(10)).await.expect("healthy");
}

/// The states of all threads of a process.
fn thread_states(id: u32) -> Vec<char> {
    let tasks = std::fs::read_dir(format!("/proc/{id}/task")).expect("process");
    let stats = tasks.map(|it| std::fs::read_to_string(it.expect("thread").path().join("stat")));
    let state = |stat: String| stat.rsplit_once(") ").and_then(|(_, it)| it.chars().next());
    stats.filter_map(|it| state(it.expect("stat"))).collect()
}

/// Guards against `freeze` returning while threads of the process still run and may answer requests.
#[tokio::test]
async fn freeze_waits_for_all_threads() {
    let mut fleet = Fleet::start(plan()).await.expect("fleet");
    let process = &mut fleet.controls[0].process;
    for round in 0..200 {
        process.freeze().expect("freeze");
        let states = thread_states(process.id());
        assert!(states.len() > 1 && states.iter().all(|it| *it == 'T'), "{round}: {states:?}");
        process.resume().expect("resume");
    }
}
