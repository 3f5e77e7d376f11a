//! `gentianpass explain`: what happened to a request, target or zone, and why.

use std::{
    collections::BTreeSet,
    io::Write,
    net::SocketAddr,
    time::{Duration, UNIX_EPOCH},
};

use eyre::{Result, bail};
use futures::{StreamExt, stream};

use crate::{
    cmd::{
        Context,
        api::Api,
        output::{self, Format},
    },
    event::{Event, Filter, unix_ms},
    wire::operator::State,
};

/// How many hosts are asked at once.
pub(super) const PARALLEL_HOSTS: usize = 64;

/// Shows what happened to a request, target or zone, and why.
///
/// Asks all control hosts and entry hosts for their recent events, and shows them in the order of their clocks. Each
/// host keeps its last 4,096 events.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(flatten)]
    subject: Subject,
    /// How far to look back, such as 30s, 10m or 2h.
    #[arg(long, value_name = "TIME", default_value = "10m", value_parser = humantime::parse_duration)]
    since: Duration,
}

#[derive(Debug, clap::Args)]
#[group(required = true, multiple = false)]
struct Subject {
    /// Events of the request with this id, as answers show it.
    #[arg(long, value_name = "ID", value_parser = super::name)]
    request: Option<String>,
    /// Events of this target, and those of its whole zone.
    #[arg(long, value_name = "NAME", value_parser = super::name)]
    target: Option<String>,
    /// Events of this availability zone.
    #[arg(long, value_name = "NAME", value_parser = super::name)]
    zone: Option<String>,
}

const EXAMPLES: &str = "\
Examples:
  gentianpass explain --request 0b6f2c1e-7d0a-4b53-9d2f-3f6f0c0f7a11
  gentianpass explain --target ld-3 --since 2h
  gentianpass explain --zone tayside-a";

pub(super) async fn run<W: Write>(ctx: &mut Context<W>, args: Args) -> Result<()> {
    let state = ctx.api.state().await?;
    let since_ms = unix_ms().saturating_sub(args.since.as_millis() as u64);
    let filters = filters(args.subject, &state, since_ms);
    let nodes = state.nodes.iter().map(|it| it.http);
    let hosts: BTreeSet<_> = ctx.api.control().iter().copied().chain(nodes).collect();
    let (api, filters) = (&ctx.api, &filters);
    let answers: Vec<_> = stream::iter(hosts)
        .map(|host| async move { find(api, host, filters).await.map_err(|err| (host, err)) })
        .buffered(PARALLEL_HOSTS)
        .collect()
        .await;
    let mut events = Vec::new();
    let mut failures = Vec::new();
    for answer in answers {
        match answer {
            Ok(found) => events.extend(found),
            Err((host, err)) => failures.push(format!("{host} ({err:#})")),
        }
    }
    events.sort_by(|a, b| (a.at_ms, &a.host).cmp(&(b.at_ms, &b.host)));
    print(ctx, &events, args.since)?;
    if !failures.is_empty() {
        bail!("the list is incomplete, no events from {}", output::list(failures));
    }
    Ok(())
}

/// The events to ask for: those of the subject and, for a target, those of its zone, which may be the cause.
fn filters(subject: Subject, state: &State, since_ms: u64) -> Vec<Filter> {
    let Subject { request, target, zone } = subject;
    let known = state.targets.iter().find(|it| Some(&it.name) == target.as_ref());
    let zone_of_target = known.map(|it| it.zone.clone());
    let mut filters = vec![Filter { request, target, zone, since_ms }];
    filters.extend(zone_of_target.map(|it| Filter {
        zone: Some(it),
        since_ms,
        ..Filter::default()
    }));
    filters
}

async fn find(api: &Api, host: SocketAddr, filters: &[Filter]) -> Result<Vec<Event>> {
    let mut events = api.events(host, &filters[0]).await?;
    for filter in &filters[1..] {
        let found = api.events(host, filter).await?;
        events.extend(found.into_iter().filter(|it| it.target.is_none() && it.request.is_none()));
    }
    Ok(events)
}

fn print<W: Write>(ctx: &mut Context<W>, events: &[Event], since: Duration) -> Result<()> {
    if ctx.format == Format::Json {
        return output::json(&mut ctx.out, &events);
    }
    if events.is_empty() {
        writeln!(ctx.out, "no events in the last {}", humantime::format_duration(since))?;
        return Ok(());
    }
    let cell = |it: &Option<String>| it.clone().unwrap_or_else(|| "-".into());
    let row = |it: &Event| {
        let at = humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(it.at_ms));
        let [request, target, zone] = [&it.request, &it.target, &it.zone].map(cell);
        [
            at.to_string(),
            it.host.clone(),
            it.kind.to_string(),
            request,
            target,
            zone,
            it.cause.clone(),
        ]
    };
    output::table(
        &mut ctx.out,
        ["TIME", "HOST", "EVENT", "REQUEST", "TARGET", "ZONE", "CAUSE"],
        events.iter().map(row),
    )
}
