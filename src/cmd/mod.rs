//! The operators' command `gentianpass`, with one module per subcommand. All subcommands are clients of the HTTP API of
//! control hosts; `status` and `explain` also query the entry hosts.

pub mod api;
pub mod change;
pub mod diff;
pub mod explain;
pub mod group;
pub mod label;
mod output;
pub mod rollout;
pub mod selector;
pub mod status;
pub mod zone;

use std::{fs, io::Write, net::SocketAddr, path::PathBuf, str::FromStr};

use clap::{Parser, Subcommand};
use eyre::{Context as _, Result, bail};

use crate::{
    cmd::{api::Api, output::Format},
    error::{Error, Kind},
    state::{Labels, check_name},
};

/// Environment variable with the operator's token, read if no token file is given.
const TOKEN_VARIABLE: &str = "GENTIANPASS_TOKEN";

/// Shows and changes the state of a gentianpass system.
///
/// Operators control the system only through labels, groups and selectors. Every command that changes something has the
/// option --diff, which shows the effect without applying the change.
#[derive(Debug, Parser)]
#[command(name = "gentianpass", version, after_help = EXAMPLES)]
pub struct Args {
    /// HTTP addresses of control hosts, such as 10.0.0.1:7000, separated by commas. With several, the command works while
    /// one of them is down.
    #[arg(
        long,
        global = true,
        value_name = "ADDR",
        env = "GENTIANPASS_CONTROL",
        value_delimiter = ','
    )]
    control: Vec<SocketAddr>,
    /// File with the operator's token. Without it the token is read from the environment variable GENTIANPASS_TOKEN.
    #[arg(long, global = true, value_name = "FILE")]
    token_file: Option<PathBuf>,
    /// Prints JSON instead of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

const EXAMPLES: &str = "\
Examples:
  export GENTIANPASS_CONTROL=10.0.0.1:7000,10.0.1.1:7000 GENTIANPASS_TOKEN=...
  gentianpass status                                   State, coverage and load of hosts and targets
  gentianpass zone out tayside-a --diff                What taking the zone out would affect
  gentianpass zone out tayside-a                       Take the zone out of service
  gentianpass zone in tayside-a                        Bring it back
  gentianpass label set target/ld-3 drain=true         Send no new work to one target
  gentianpass label set kind/label-search class=quick  Give a request kind priority over broad ones
  gentianpass group set label-designer --index labels --match service=label-designer
  gentianpass selector set designers --group label-designer --kind label-search --caller team=design
  gentianpass rollout start label-search 4.2 --duration 10m
  gentianpass explain --zone tayside-a --since 10m     What happened in a zone, and why";

#[derive(Debug, Subcommand)]
enum Command {
    Status(status::Args),
    Label(label::Args),
    Group(group::Args),
    Selector(selector::Args),
    Zone(zone::Args),
    Rollout(rollout::Args),
    Explain(explain::Args),
}

/// Runs a command and writes its output to `out`. Also returns an error after incomplete output, such as a status without
/// some of the entry hosts.
pub async fn run(args: Args, out: impl Write) -> Result<()> {
    let mut ctx = Context::new(&args, out)?;
    match args.command {
        Command::Status(args) => status::run(&mut ctx, &args).await,
        Command::Label(args) => label::run(&mut ctx, args).await,
        Command::Group(args) => group::run(&mut ctx, args).await,
        Command::Selector(args) => selector::run(&mut ctx, args).await,
        Command::Zone(args) => zone::run(&mut ctx, args).await,
        Command::Rollout(args) => rollout::run(&mut ctx, args).await,
        Command::Explain(args) => explain::run(&mut ctx, args).await,
    }
}

/// The API client and the output of the running command.
struct Context<W> {
    api: Api,
    out: W,
    format: Format,
}

impl<W: Write> Context<W> {
    fn new(args: &Args, out: W) -> Result<Self> {
        if args.control.is_empty() {
            bail!("no control host: give --control ADDR or set GENTIANPASS_CONTROL");
        }
        let api = Api::new(args.control.clone(), &read_token(args)?)?;
        let format = if args.json { Format::Json } else { Format::Text };
        Ok(Self { api, out, format })
    }
}

/// Reads the operator's token from the token file or the environment, without surrounding white space.
fn read_token(args: &Args) -> Result<String> {
    let token = match &args.token_file {
        Some(file) => fs::read_to_string(file)
            .wrap_err_with(|| format!("cannot read the token file {}", file.display()))?,
        None => std::env::var(TOKEN_VARIABLE).wrap_err_with(|| {
            format!("no token: give --token-file FILE or set {TOKEN_VARIABLE}")
        })?,
    };
    let token = token.trim();
    if token.is_empty() {
        bail!("the operator's token is empty");
    }
    Ok(token.to_owned())
}

/// A label on the command line, written `KEY=VALUE`.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Label {
    key: String,
    value: String,
}

impl FromStr for Label {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let Some((key, value)) = text.split_once('=') else {
            return Err(Error::new(Kind::BadRequest, format!("{text:?} is not KEY=VALUE")));
        };
        Ok(Self { key: parse_name(key)?, value: parse_name(value)? })
    }
}

fn to_labels(list: Vec<Label>) -> Labels {
    list.into_iter().map(|it| (it.key, it.value)).collect()
}

/// Checks a name on the command line; a clap value parser.
fn parse_name(text: &str) -> Result<String, Error> {
    check_name(text)?;
    Ok(text.to_owned())
}
