//! `gentianpass rollout`: starts rollouts of software versions, and shows their stages with the reasons.

use std::{io::Write, time::Duration};

use clap::Subcommand;
use eyre::{Result, bail};

use crate::{
    cmd::{
        Context, change,
        output::{self, Format},
    },
    policy::rollout::trial_ppm,
    state::{Rollout, rollout::Start},
    wire::operator::Edit,
};

/// Starts a rollout or shows the rollouts.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

const EXAMPLES: &str = "\
Until shortly before its deadline a rollout sends a part of --share of the requests to targets of the new version. It ends
as completed, or as rolled_back if that version fails more often or answers several times slower than the old one.

Examples:
  gentianpass rollout start label-search 4.2 --duration 10m
  gentianpass rollout status";

#[derive(Debug, Subcommand)]
enum Action {
    /// Starts a rollout. The same command again changes nothing.
    Start(StartArgs),
    /// Shows the last rollout of each service, or of one.
    Status {
        /// The name of the service.
        #[arg(value_name = "SERVICE", value_parser = super::parse_name)]
        service: Option<String>,
    },
}

#[derive(Debug, clap::Args)]
struct StartArgs {
    /// The name of the service.
    #[arg(value_name = "SERVICE", value_parser = super::parse_name)]
    service: String,
    /// The new software version.
    #[arg(value_name = "VERSION")]
    version: String,
    /// The time until the deadline, such as 10m.
    #[arg(long, value_name = "DURATION", value_parser = humantime::parse_duration)]
    duration: Duration,
    /// The share of the requests until the deadline that a bad version may receive.
    #[arg(long, value_name = "SHARE", default_value_t = 0.1)]
    share: f64,
}

pub(super) async fn run<W: Write>(ctx: &mut Context<W>, args: Args) -> Result<()> {
    let state = ctx.api.state().await?;
    match args.action {
        Action::Start(StartArgs { service, version, duration, share }) => {
            if !(0.0..=1.0).contains(&share) {
                bail!("--share {share} is not between 0 and 1");
            }
            let edit = Edit::StartRollout(Start {
                service,
                target_version: version,
                duration_ms: u64::try_from(duration.as_millis())?,
                exposure_ppm: trial_ppm(share, duration),
            });
            change::run(ctx, &change::Args::default(), &state, edit).await
        }
        Action::Status { service } => {
            let is_asked = |it: &&Rollout| service.as_ref().is_none_or(|name| it.service == *name);
            let rollouts: Vec<_> = state.rollouts.iter().filter(is_asked).collect();
            if let Some(service) = service
                && rollouts.is_empty()
            {
                bail!("no rollout of {service:?} was ordered");
            }
            print(ctx, &rollouts)
        }
    }
}

fn print<W: Write>(ctx: &mut Context<W>, rollouts: &[&Rollout]) -> Result<()> {
    if ctx.format == Format::Json {
        return output::json(&mut ctx.out, &rollouts);
    }
    for Rollout { service, target_version, stage, exposure_ppm, reason, .. } in rollouts {
        let share = f64::from(*exposure_ppm) / 1e4;
        writeln!(
            ctx.out,
            "{service} to {target_version:?}: {stage}, trial share {share}%: {reason}"
        )?;
    }
    Ok(())
}
