//! The steps of the demo.

use std::time::{Duration, Instant};

use crate::{
    error::Outcome,
    lab::{
        demo::{
            Line, MAX_PROPAGATION, Report,
            demo_fleet::{
                DemoFleet, PRINT_KIND, PRINT_QUEUE, Search, SearchResult, ZONES, print_job,
            },
        },
        load::Sample,
        target::fault::Fault,
        workload::{ASSOCIATION, CUBBYHOLE},
    },
};

/// The zone that is drained and restored.
const DRAINED_ZONE: &str = ZONES[0];

/// How long queries run after a change is in effect, to observe its result, or to open connections.
const OBSERVATION: Duration = Duration::from_millis(1_500);

/// How long a host may take to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

pub async fn configure(demo: &DemoFleet, report: &mut Report) -> eyre::Result<()> {
    let operator = &demo.fleet.operator;
    let start = Instant::now();
    for workload in [CUBBYHOLE, ASSOCIATION] {
        operator
            .admit_all(
                workload.service,
                workload.index,
                &[workload.quick_kind, workload.broad_kind],
            )
            .await?;
        operator.set_label(&format!("kind/{}", workload.quick_kind), "class", "quick").await?;
    }
    operator.admit_all(PRINT_QUEUE, PRINT_QUEUE, &[PRINT_KIND]).await?;
    operator.set_label(&format!("kind/{PRINT_KIND}"), "idempotent", "false").await?;
    let changed = Instant::now();
    let mut full = false;
    while !full && changed.elapsed() < MAX_PROPAGATION {
        full = demo.search(Search::Label(0)).await?.result.is_ok_and(|it| it.covered == it.total);
    }
    report.check("configure", full, "the configuration is in effect within 3 s");
    let outcome = full.then_some(Outcome::Done);
    report.line("configure", &Line { latency: start.elapsed(), outcome, ..Line::default() });
    Ok(())
}

pub async fn searches(demo: &DemoFleet, report: &mut Report) -> eyre::Result<()> {
    for number in 1..=3 {
        let searched = demo.search(Search::Label(number)).await?;
        show(report, "label_search_new_text", &searched);
        let searched = demo.search(Search::Label(number)).await?;
        show(report, "label_search", &searched);
    }
    show(report, "proof_search_new_text", &demo.search(Search::Proof(1)).await?);
    show(report, "proof_search", &demo.search(Search::Proof(1)).await?);
    // Opens connections to the targets, so that the searches below show the latency without connection setup.
    demo.background(OBSERVATION).await;
    for number in 1..=3 {
        show(report, "label_search_connected", &demo.search(Search::Label(number)).await?);
    }
    Ok(())
}

pub async fn dispatch(demo: &DemoFleet, report: &mut Report) -> eyre::Result<()> {
    let job = print_job();
    let caller = demo.fleet.caller("designer-0");
    let mut results = Vec::new();
    for step in ["print_dispatch", "print_dispatch_again"] {
        let sent = Instant::now();
        let answer = caller.dispatch(&job).await;
        let latency = sent.elapsed();
        let outcome = match &answer {
            Ok(it) => it.outcome,
            Err(err) => err.outcome(),
        };
        let extra = answer.as_ref().err().map_or(String::new(), |it| format!(" error={it:?}"));
        let line = Line { latency, outcome: Some(outcome), extra, ..Line::default() };
        report.line(step, &line);
        report.check(step, outcome == Outcome::Done, "the dispatch is done");
        results.push(answer.ok().and_then(|it| it.result));
    }
    let stats = demo.fleet.stats().await?;
    // The owner may prefix the key with the caller's name.
    let runs = stats.iter().flat_map(|it| &it.runs).filter(|(key, _)| key.ends_with(&job.key));
    let runs: u32 = runs.map(|(_, count)| count).sum();
    report.check("print_dispatch", runs == 1, &format!("the dispatch ran once, not {runs} times"));
    report.check("print_dispatch_again", results[0] == results[1], "both answers are the same");
    Ok(())
}

pub async fn zone_out(demo: &DemoFleet, report: &mut Report) -> eyre::Result<()> {
    let step = "zone_out";
    let changed =
        demo.fleet.operator.set_label(&format!("zone/{DRAINED_ZONE}"), "drain", "true").await;
    report.check(step, changed.is_ok(), "the change is accepted");
    let during = demo.background(MAX_PROPAGATION).await;
    demo.fleet.fault(&[], Fault::Mark).await?;
    let after = demo.background(OBSERVATION).await;
    let late: u64 = demo.zone_stats(DRAINED_ZONE).await?.iter().map(|it| it.since_mark).sum();
    let samples: Vec<_> = during.into_iter().chain(after).collect();
    show_background(demo, report, step, &samples, &format!(" late_requests={late}"));
    report.check(step, late == 0, "no new work in the zone after 3 s");
    Ok(())
}

pub async fn zone_in(demo: &DemoFleet, report: &mut Report) -> eyre::Result<()> {
    let step = "zone_in";
    demo.fleet.fault(&[], Fault::Mark).await?;
    let changed = demo.fleet.operator.remove_label(&format!("zone/{DRAINED_ZONE}"), "drain").await;
    report.check(step, changed.is_ok(), "the change is accepted");
    let samples = demo.background(MAX_PROPAGATION).await;
    let stats = demo.zone_stats(DRAINED_ZONE).await?;
    let started: u64 = stats.iter().map(|it| it.since_mark).sum();
    let overload: u64 = stats.iter().map(|it| it.overload).sum();
    let extra = format!(" zone_requests={started} overload={overload}");
    show_background(demo, report, step, &samples, &extra);
    report.check(step, started > 0, "the zone gets work again within 3 s");
    report.check(step, overload == 0, "no target of the zone is overloaded");
    Ok(())
}

pub async fn kill_entry(demo: &mut DemoFleet, report: &mut Report) -> eyre::Result<()> {
    demo.fleet.entries[1].process.kill()?;
    let samples = demo.background(MAX_PROPAGATION * 2).await;
    show_background(demo, report, "kill_entry", &samples, "");
    Ok(())
}

pub async fn stop(mut demo: DemoFleet, report: &mut Report) -> eyre::Result<()> {
    let start = Instant::now();
    let fleet = &mut demo.fleet;
    fleet.entries.remove(1);
    let mut stopped_cleanly = true;
    for host in fleet.entries.iter_mut().chain(&mut fleet.controls) {
        host.process.terminate()?;
        let ended = host.process.wait(STOP_TIMEOUT).await;
        stopped_cleanly &= ended.is_ok_and(|it| it.success());
    }
    report.check("stop", stopped_cleanly, "each host stops by itself after SIGTERM");
    let outcome = stopped_cleanly.then_some(Outcome::Done);
    report.line("stop", &Line { latency: start.elapsed(), outcome, ..Line::default() });
    Ok(())
}

fn show(report: &mut Report, step: &str, searched: &SearchResult) {
    let cost = searched.latency.saturating_sub(searched.slowest_shard);
    let mut line = Line {
        latency: searched.latency,
        extra: format!(" cost_over_slowest_shard_ms={:.1}", cost.as_secs_f64() * 1e3),
        ..Line::default()
    };
    match &searched.result {
        Ok(answer) => {
            line.version = Some(answer.version);
            line.covered = Some((answer.covered, answer.total));
            line.outcome = Some(answer.outcome);
            line.extra += &format!(" rows={}", answer.rows.len());
        }
        Err(err) => line.extra += &format!(" error={:?}", err.to_string()),
    }
    report.line(step, &line);
    let full = line.covered.is_some_and(|(part, all)| part == all && all > 0);
    report.check(step, full, "the answer covers all shards");
    report.check(step, searched.correct, "the rows are those of the direct scan");
}

fn show_background(
    demo: &DemoFleet,
    report: &mut Report,
    step: &str,
    samples: &[Sample],
    extra: &str,
) {
    let mut latencies: Vec<_> = samples.iter().map(|it| it.latency).collect();
    latencies.sort();
    let p99 = latencies.get(latencies.len().saturating_sub(1) * 99 / 100).copied();
    let full = samples.iter().filter(|it| it.covers_all_shards()).count();
    let correct = demo.all_correct(samples);
    let covered = samples.iter().filter_map(|it| it.result.as_ref().ok());
    let covered = covered.min_by_key(|it| it.covered).map(|it| (it.covered, it.total));
    let version =
        samples.iter().filter_map(|it| it.result.as_ref().ok()).map(|it| it.version).max();
    let line = Line {
        version,
        covered,
        latency: p99.unwrap_or_default(),
        outcome: correct.then_some(Outcome::Done),
        extra: format!(" queries={} full={full}{extra}", samples.len()),
    };
    report.line(step, &line);
    if let Some(err) = samples.iter().find_map(|it| it.result.as_ref().err()) {
        println!("step={step} error={:?}", err.to_string());
    }
    report.check(step, correct, "each answer covers all shards with the rows of the direct scan");
}
