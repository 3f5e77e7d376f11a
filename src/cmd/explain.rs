//! `gentianpass explain`: lists the events of a request, target or zone with their causes, collected from all hosts.

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

/// Maximum number of hosts that are queried concurrently.
pub(super) const MAX_CONCURRENT_HOSTS: usize = 64;

/// Shows what happened to a request, target or zone, and why.
///
/// Collects the recent events of all control hosts and entry hosts and sorts them by time. The times are from the clock
/// of each host, so that the order of events of different hosts may be wrong by the difference of their clocks. Each host
/// keeps its last 4,096 events.
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
    /// Events of the request with this id, as returned in the answer to the request.
    #[arg(long, value_name = "ID", value_parser = super::parse_name)]
    request: Option<String>,
    /// Events of this target, and events of its zone as a whole.
    #[arg(long, value_name = "NAME", value_parser = super::parse_name)]
    target: Option<String>,
    /// Events of this availability zone.
    #[arg(long, value_name = "NAME", value_parser = super::parse_name)]
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
        .map(|host| async move { fetch(api, host, filters).await.map_err(|err| (host, err)) })
        .buffered(MAX_CONCURRENT_HOSTS)
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
        bail!("the list is incomplete, no events from {}", output::comma_separated(failures));
    }
    Ok(())
}

/// The filters to query each host with: first that of the subject and then, for a known target, that of its zone, because
/// an event of the zone may be the cause of what happened to the target.
fn filters(subject: Subject, state: &State, since_ms: u64) -> Vec<Filter> {
    let Subject { request, target, zone } = subject;
    let found = state.targets.iter().find(|it| Some(&it.name) == target.as_ref());
    let zone_of_target = found.map(|it| it.zone.clone());
    let mut filters = vec![Filter { request, target, zone, since_ms }];
    filters.extend(zone_of_target.map(|it| Filter {
        zone: Some(it),
        since_ms,
        ..Filter::default()
    }));
    filters
}

/// Fetches the events of one host. Of the second filter, only events of the zone as a whole are kept, not those of its
/// other targets or of requests.
async fn fetch(api: &Api, host: SocketAddr, filters: &[Filter]) -> Result<Vec<Event>> {
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
