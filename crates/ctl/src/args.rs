//! Defines the command line.

#![expect(
    clippy::doc_markdown,
    reason = "the parser prints these docs as help, where marks would stay"
)]

use std::time::Duration;

use gumdrop::Options;
use hinge_routing::{RequestKey, RequestKeyError};
use hinge_schema::messages::OrderKind;

/// Flags that may stand anywhere on the command line, with whether they take a value.
const GLOBAL_FLAGS: [(&str, bool); 4] = [
    ("--control", true),
    ("--operator-key", true),
    ("--timeout", true),
    ("--json", false),
];

/// Operates a fleet of sequoiahinge.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help; after a command, print the help of the command
    pub(crate) help: bool,
    /// addresses of control instances, tried in turn (or SEQUOIACTL_CONTROL)
    #[options(no_short, meta = "ADDRESS[,ADDRESS]")]
    pub(crate) control: Option<String>,
    /// file with the operator's secret, mode 0600 or 0400 (or SEQUOIACTL_KEY_FILE)
    #[options(no_short, meta = "FILE")]
    pub(crate) operator_key: Option<String>,
    /// answer with JSON; errors are JSON too
    #[options(no_short)]
    pub(crate) json: bool,
    /// longest time for the command, as 30s or 2m (15s; commands that wait: 1m)
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) timeout: Option<Duration>,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// Holds the flags of every command.
#[derive(Debug)]
pub(crate) struct Globals {
    pub(crate) control: Option<String>,
    pub(crate) operator_key: Option<String>,
    pub(crate) timeout: Option<Duration>,
}

impl Arguments {
    pub(crate) fn globals(&self) -> Globals {
        Globals {
            control: self.control.clone(),
            operator_key: self.operator_key.clone(),
            timeout: self.timeout,
        }
    }
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    /// check a folder without a fleet: file:line: key: message
    Check(FolderOptions),
    /// show what a folder would change: files, and values with their origin
    Diff(FolderOptions),
    /// make a folder the configuration in force
    Apply(ApplyOptions),
    /// write the folder in force into an empty folder
    Pull(FolderOptions),
    /// make an older folder the newest version
    Rollback(RollbackOptions),
    /// show control, the processes, who lacks the newest version, and drains
    Status(StatusOptions),
    /// wait until every live process holds a version
    Wait(WaitOptions),
    /// list accepted changes, newest first
    History(HistoryOptions),
    /// let an instance take no new work and finish what runs
    Drain(DrainOptions),
    /// let a drained instance take work again
    Undrain(UndrainOptions),
    /// let a control instance that is gone for good count no more
    RemoveControl(RemoveControlOptions),
    /// list the requests that endpoints ended under, or release one: suspects --release REQUEST
    Suspects(SuspectsOptions),
    /// list orders to endpoints, or place one: orders place INSTANCE KIND SUBJECT
    Orders(OrdersOptions),
    /// show how far upgrades and planned stops have come: upgrade status [NAME]
    Upgrade(UpgradeOptions),
    /// report burn, gap or utilisation out of metrics
    Report(ReportOptions),
    /// tell what became of a request, and why, out of logs: explain ID LOG...
    Explain(ExplainOptions),
    /// add up what each team had of the engines, and how busy they were, out of logs: shares LOG...
    Shares(SharesOptions),
}

/// Takes a folder of *.toml files.
#[derive(Debug, Options)]
pub(crate) struct FolderOptions {
    /// print this help
    pub(crate) help: bool,
    /// folder with the operators' *.toml files
    #[options(free, required)]
    pub(crate) folder: String,
}

/// Tells the story of the request ID over all processes, in order, and names what the logs lack. Exits with 1 when no line names it.
#[derive(Debug, Options)]
pub(crate) struct ExplainOptions {
    /// print this help
    pub(crate) help: bool,
    /// number of the request, as the caller's answer and the logs have it
    #[options(free, required)]
    pub(crate) id: String,
    /// logs of the processes, a file each; - reads standard input
    #[options(free)]
    pub(crate) logs: Vec<String>,
}

/// Adds up the decisions of the admissions by team, the gap in service between backlogged teams, and the use of the engines. Exits with 1
/// when the logs hold no decision.
#[derive(Debug, Options)]
pub(crate) struct SharesOptions {
    /// print this help
    pub(crate) help: bool,
    /// show also what became of this team's requests, second by second
    #[options(no_short, meta = "TEAM")]
    pub(crate) team: Option<String>,
    /// with --team: show that for each gateway, and how it took connections
    #[options(no_short)]
    pub(crate) gateways: bool,
    /// logs of the processes, a file each; - reads standard input
    #[options(free)]
    pub(crate) logs: Vec<String>,
}

/// Makes FOLDER the configuration in force. Exits with 3 when another change won.
#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    /// print this help
    pub(crate) help: bool,
    /// folder with the operators' *.toml files
    #[options(free, required)]
    pub(crate) folder: String,
    /// why; kept in the history
    #[options(no_short, meta = "TEXT")]
    pub(crate) note: Option<String>,
    /// version that the folder was edited from (default: FOLDER/.sequoiactl-version)
    #[options(no_short, meta = "N")]
    pub(crate) base: Option<u64>,
    /// number of a change whose answer was lost; it is never accepted twice
    #[options(no_short, meta = "ID")]
    pub(crate) change_id: Option<String>,
    /// remove files that are in force and not in FOLDER
    #[options(no_short)]
    pub(crate) prune: bool,
    /// wait until every live process holds the new version
    #[options(no_short)]
    pub(crate) wait: bool,
}

/// Makes the folder of an older VERSION the newest version. Control keeps no texts of older folders, so give your own copy.
#[derive(Debug, Options)]
pub(crate) struct RollbackOptions {
    /// print this help
    pub(crate) help: bool,
    /// version whose folder comes back
    #[options(free, required)]
    pub(crate) version: u64,
    /// copy of the folder as it was at VERSION, for example from your version control
    #[options(no_short, meta = "FOLDER")]
    pub(crate) folder: Option<String>,
    /// why; kept in the history
    #[options(no_short, meta = "TEXT")]
    pub(crate) note: Option<String>,
    /// number of a change whose answer was lost
    #[options(no_short, meta = "ID")]
    pub(crate) change_id: Option<String>,
    /// wait until every live process holds the new version
    #[options(no_short)]
    pub(crate) wait: bool,
}

/// Shows the fleet as the leader of control sees it.
#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    /// print this help
    pub(crate) help: bool,
    /// list every process, also in a large fleet
    #[options(no_short)]
    pub(crate) all: bool,
}

/// Waits until every live process holds a version. Exits with 5 when some still lack it.
#[derive(Debug, Options)]
pub(crate) struct WaitOptions {
    /// print this help
    pub(crate) help: bool,
    /// version to wait for (default: the newest)
    #[options(no_short, meta = "N")]
    pub(crate) version: Option<u64>,
}

/// Lists accepted changes, newest first.
#[derive(Debug, Options)]
pub(crate) struct HistoryOptions {
    /// print this help
    pub(crate) help: bool,
    /// most changes
    #[options(no_short, meta = "N", default = "20")]
    pub(crate) limit: u32,
    /// only changes below this version
    #[options(no_short, meta = "N", default = "0")]
    pub(crate) before: u64,
}

/// Lets INSTANCE take no new work; what runs may end until the deadline.
#[derive(Debug, Options)]
pub(crate) struct DrainOptions {
    /// print this help
    pub(crate) help: bool,
    /// name of the instance
    #[options(free, required)]
    pub(crate) instance: String,
    /// time in which running work ends, as 10m (default: 10m, which outlasts a long analysis)
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) deadline: Option<Duration>,
    /// why; shown by status
    #[options(no_short, meta = "TEXT")]
    pub(crate) note: Option<String>,
}

/// Lets INSTANCE take work again.
#[derive(Debug, Options)]
pub(crate) struct UndrainOptions {
    /// print this help
    pub(crate) help: bool,
    /// name of the instance
    #[options(free, required)]
    pub(crate) instance: String,
    /// why
    #[options(no_short, meta = "TEXT")]
    pub(crate) note: Option<String>,
}

/// Lets INSTANCE count no more for a quorum. Its disk must be gone for good, or be emptied before it starts again.
#[derive(Debug, Options)]
pub(crate) struct RemoveControlOptions {
    /// print this help
    pub(crate) help: bool,
    /// name of the control instance
    #[options(free, required)]
    pub(crate) instance: String,
}

/// Lists the requests that endpoints ended under and that did not complete since, those that gateways turn away first.
#[derive(Debug, Options)]
pub(crate) struct SuspectsOptions {
    /// print this help
    pub(crate) help: bool,
    /// send this request to endpoints again, such as after a repair of the endpoints
    #[options(no_short, meta = "REQUEST", parse(try_from_str = "request_key"))]
    pub(crate) release: Option<String>,
}

/// Lists orders to endpoints, newest first, or places one.
#[derive(Debug, Options)]
pub(crate) struct OrdersOptions {
    /// print this help
    pub(crate) help: bool,
    /// only orders to this instance
    #[options(no_short, meta = "NAME")]
    pub(crate) instance: Option<String>,
    /// most orders
    #[options(no_short, meta = "N", default = "20")]
    pub(crate) limit: u32,
    #[options(command)]
    pub(crate) command: Option<OrdersCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum OrdersCommand {
    /// place an order: INSTANCE KIND SUBJECT
    Place(PlaceOptions),
}

/// Orders the endpoint of INSTANCE. KIND is one of load_model, unload_model, load_adapter, unload_adapter, set_version, set_role.
#[derive(Debug, Options)]
pub(crate) struct PlaceOptions {
    /// print this help
    pub(crate) help: bool,
    /// sidecar of the endpoint
    #[options(free, required)]
    pub(crate) instance: String,
    /// what to do
    #[options(free, required, parse(try_from_str = "parse_kind"))]
    pub(crate) kind: Option<OrderKind>,
    /// model, adapter or role
    #[options(free, required)]
    pub(crate) subject: String,
    /// version of the model or adapter
    #[options(no_short, meta = "VERSION")]
    pub(crate) version: Option<String>,
    /// number of an order whose answer was lost; it is never placed twice
    #[options(no_short, meta = "ID")]
    pub(crate) change_id: Option<String>,
}

fn parse_kind(text: &str) -> Result<OrderKind, &'static str> {
    text.parse().map_err(|_unknown| {
        "allowed are load_model, unload_model, load_adapter, unload_adapter, set_version, set_role"
    })
}

/// Shows upgrades and planned stops.
#[derive(Debug, Options)]
pub(crate) struct UpgradeOptions {
    /// print this help
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<UpgradeCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum UpgradeCommand {
    /// show the state of each, how many are done, and what it waits for
    Status(UpgradeStatusOptions),
}

/// Shows for each upgrade and planned stop its state, how many are done, and what it waits for.
#[derive(Debug, Options)]
pub(crate) struct UpgradeStatusOptions {
    /// print this help
    pub(crate) help: bool,
    /// name of one upgrade or planned stop (default: all)
    #[options(free)]
    pub(crate) name: Option<String>,
}

/// Reports out of the metrics pages of the instances.
#[derive(Debug, Options)]
pub(crate) struct ReportOptions {
    /// print this help
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<ReportCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum ReportCommand {
    /// error budgets, burn rates, and who burns them why
    Burn(BurnOptions),
    /// service by team and the gap between teams
    Gap(MetricsOptions),
    /// slots in use, and capacity that idled while work waited
    Utilisation(MetricsOptions),
}

/// Reports the burn of the error budgets. Objectives come from --folder, or else from the folder in force.
#[derive(Debug, Options)]
pub(crate) struct BurnOptions {
    /// print this help
    pub(crate) help: bool,
    /// recorded samples; with --watch they are added here
    #[options(no_short, meta = "FILE")]
    pub(crate) samples: Option<String>,
    /// instances to scrape, as entry-a=10.0.0.1:9090,entry-b=10.0.0.2:9090
    #[options(no_short, meta = "NAME=ADDRESS[,...]")]
    pub(crate) scrape: Option<String>,
    /// folder with the objectives
    #[options(no_short, meta = "FOLDER")]
    pub(crate) folder: Option<String>,
    /// collect samples for this time before the report
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) watch: Option<Duration>,
    /// time between two scrapes (default: 15s)
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) every: Option<Duration>,
    /// draw the burn rates into this file
    #[options(no_short, meta = "FILE")]
    pub(crate) svg: Option<String>,
}

/// Reports out of samples. Shares and pools come from --folder, or else from the folder in force.
#[derive(Debug, Options)]
pub(crate) struct MetricsOptions {
    /// print this help
    pub(crate) help: bool,
    /// recorded samples; with --watch they are added here
    #[options(no_short, meta = "FILE")]
    pub(crate) samples: Option<String>,
    /// instances to scrape, as sidecar-a=10.0.0.1:9090
    #[options(no_short, meta = "NAME=ADDRESS[,...]")]
    pub(crate) scrape: Option<String>,
    /// folder with the teams' shares
    #[options(no_short, meta = "FOLDER")]
    pub(crate) folder: Option<String>,
    /// collect samples for this time before the report
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) watch: Option<Duration>,
    /// time between two scrapes (default: 15s)
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) every: Option<Duration>,
    /// only the last part of the recording
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) window: Option<Duration>,
}

/// Checks that a text is the key of a request, as logs and `suspects` write it.
fn request_key(text: &str) -> Result<String, RequestKeyError> {
    let key: RequestKey = text.parse()?;
    Ok(key.to_string())
}

/// Moves the flags of every command to the front, where the parser takes them; so they may stand after the command too.
pub(crate) fn hoist(args: &[String]) -> Vec<String> {
    let (mut front, mut rest) = (Vec::new(), Vec::new());
    let mut args = args.iter().cloned();
    while let Some(arg) = args.next() {
        if arg == "--" {
            rest.push(arg);
            rest.extend(args);
            break;
        }
        let name = arg.split('=').next().unwrap_or_default();
        let flag = GLOBAL_FLAGS.iter().find(|(flag, _)| *flag == name);
        let Some((_, takes_value)) = flag else {
            rest.push(arg);
            continue;
        };
        let has_value = arg.contains('=');
        front.push(arg);
        if *takes_value && !has_value {
            front.extend(args.next());
        }
    }
    front.extend(rest);
    front
}

/// Returns the help of the innermost command that was given.
pub(crate) fn help(arguments: &Arguments) -> String {
    let mut command: &dyn Options = arguments;
    let mut line = String::from("sequoiactl");
    while let Some(inner) = command.command() {
        if let Some(name) = inner.command_name() {
            line.push(' ');
            line.push_str(name);
        }
        command = inner;
    }
    let usage = command.self_usage();
    let mut text = format!("Usage: {line} [OPTIONS]\n\n{usage}");
    if let Some(commands) = command.self_command_list() {
        text.push_str("\n\nCommands:\n");
        text.push_str(commands);
    }
    text.push_str("\n\n");
    text.push_str(EXIT_HELP);
    text
}

const EXIT_HELP: &str = "Exit codes: 0 done, 1 failed, 2 command line or folder not valid, 3 another change won,
4 no current answer from control, 5 the wait ended first. The flags --control, --operator-key, --timeout
and --json may stand before or after the command.";
