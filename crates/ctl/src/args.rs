//! Command line options and their help texts.

#![expect(
    clippy::doc_markdown,
    reason = "the parser prints these docs as help, where backticks would show"
)]

use std::time::Duration;

use gumdrop::Options;
use hinge_routing::{RequestKey, RequestKeyError};
use hinge_schema::messages::OrderKind;

/// Flags that are accepted anywhere on the command line, with whether they take a value.
const GLOBAL_FLAGS: [(&str, bool); 4] = [
    ("--control", true),
    ("--operator-key", true),
    ("--timeout", true),
    ("--json", false),
];

/// Operates a sequoiahinge fleet.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help, or after a command the help of that command
    pub(crate) help: bool,
    /// addresses of control instances, tried in turn (default: $SEQUOIACTL_CONTROL)
    #[options(no_short, meta = "ADDRESS[,ADDRESS]")]
    pub(crate) control: Option<String>,
    /// file with the operator's secret, mode 0600 or 0400 (default: $SEQUOIACTL_KEY_FILE)
    #[options(no_short, meta = "FILE")]
    pub(crate) operator_key: Option<String>,
    /// print answers and errors as JSON
    #[options(no_short)]
    pub(crate) json: bool,
    /// time limit of the command, such as 30s or 2m (default: 15s, or 1m where it waits for the fleet)
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) timeout: Option<Duration>,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The flags that every command takes.
#[derive(Debug)]
pub(crate) struct GlobalFlags {
    pub(crate) control: Option<String>,
    pub(crate) operator_key: Option<String>,
    pub(crate) timeout: Option<Duration>,
}

impl Arguments {
    pub(crate) fn global_flags(&self) -> GlobalFlags {
        GlobalFlags {
            control: self.control.clone(),
            operator_key: self.operator_key.clone(),
            timeout: self.timeout,
        }
    }
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    /// check a folder offline; problems are printed as file:line: key: message
    Check(FolderOptions),
    /// show which files and values a folder would change, and where each value is set
    Diff(FolderOptions),
    /// make a folder the configuration in force
    Apply(ApplyOptions),
    /// write the configuration in force into an empty folder
    Pull(FolderOptions),
    /// make the folder of an older version the newest version
    Rollback(RollbackOptions),
    /// show control instances, processes, those that lack the newest version, and drains
    Status(StatusOptions),
    /// wait until every live process has a version
    Wait(WaitOptions),
    /// list accepted changes, newest first
    History(HistoryOptions),
    /// stop sending new work to an instance, and let running work finish
    Drain(DrainOptions),
    /// send work to a drained instance again
    Undrain(UndrainOptions),
    /// remove a control instance that is gone for good from the quorum
    RemoveControl(RemoveControlOptions),
    /// list requests during which endpoints crashed, or release one: suspects --release REQUEST
    Suspects(SuspectsOptions),
    /// list evacuated data centres, or start or end an evacuation: evacuations --start DATA_CENTER
    Evacuations(EvacuationsOptions),
    /// list orders to endpoints, or place one: orders place INSTANCE KIND SUBJECT
    Orders(OrdersOptions),
    /// show the progress of upgrades and planned stops: upgrade status [NAME]
    Upgrade(UpgradeOptions),
    /// report error budget burn, service gaps or utilisation from metrics
    Report(ReportOptions),
    /// explain from logs how a request ended, and why: explain ID LOG...
    Explain(ExplainOptions),
    /// sum up from logs the service of each team and the load of the engines: shares LOG...
    Shares(SharesOptions),
}

/// Works on FOLDER, a folder of the operators' *.toml files.
#[derive(Debug, Options)]
pub(crate) struct FolderOptions {
    /// print this help
    pub(crate) help: bool,
    /// folder with the operators' *.toml files
    #[options(free, required)]
    pub(crate) folder: String,
}

/// Prints the log lines of the request ID from all processes in order of time, and lists gaps in the logs. Exits
/// with 1 when no line names the request.
#[derive(Debug, Options)]
pub(crate) struct ExplainOptions {
    /// print this help
    pub(crate) help: bool,
    /// id of the request, as in the response to the caller and in the logs
    #[options(free, required)]
    pub(crate) id: String,
    /// logs of the processes, a file each; - reads standard input
    #[options(free)]
    pub(crate) logs: Vec<String>,
}

/// Sums up the admission decisions of each team, the gap in service between backlogged teams, and the load of the
/// engines. Exits with 1 when the logs contain no decision.
#[derive(Debug, Options)]
pub(crate) struct SharesOptions {
    /// print this help
    pub(crate) help: bool,
    /// also show the outcomes of this team's requests, second by second
    #[options(no_short, meta = "TEAM")]
    pub(crate) team: Option<String>,
    /// with --team: also show them for each gateway, with its connections and the time when it did not listen
    #[options(no_short)]
    pub(crate) gateways: bool,
    /// logs of the processes, a file each; - reads standard input
    #[options(free)]
    pub(crate) logs: Vec<String>,
}

/// Makes FOLDER the configuration in force. Exits with 3 when another change was accepted first.
#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    /// print this help
    pub(crate) help: bool,
    /// folder with the operators' *.toml files
    #[options(free, required)]
    pub(crate) folder: String,
    /// reason, kept in the history
    #[options(no_short, meta = "TEXT")]
    pub(crate) note: Option<String>,
    /// version that the folder was edited from (default: FOLDER/.sequoiactl-version)
    #[options(no_short, meta = "N")]
    pub(crate) base: Option<u64>,
    /// id of a change whose answer was lost; a change is never accepted twice
    #[options(no_short, meta = "ID")]
    pub(crate) change_id: Option<String>,
    /// remove files that are in force but not in FOLDER
    #[options(no_short)]
    pub(crate) prune: bool,
    /// wait until every live process has the new version
    #[options(no_short)]
    pub(crate) wait: bool,
}

/// Makes the folder of an older VERSION the newest version. Control does not keep the contents of older folders, so
/// give your own copy.
#[derive(Debug, Options)]
pub(crate) struct RollbackOptions {
    /// print this help
    pub(crate) help: bool,
    /// version to restore
    #[options(free, required)]
    pub(crate) version: u64,
    /// copy of the folder as it was at VERSION, for example from your version control
    #[options(no_short, meta = "FOLDER")]
    pub(crate) folder: Option<String>,
    /// reason, kept in the history
    #[options(no_short, meta = "TEXT")]
    pub(crate) note: Option<String>,
    /// id of a change whose answer was lost
    #[options(no_short, meta = "ID")]
    pub(crate) change_id: Option<String>,
    /// wait until every live process has the new version
    #[options(no_short)]
    pub(crate) wait: bool,
}

/// Shows the state of the fleet, as known to the control leader.
#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    /// print this help
    pub(crate) help: bool,
    /// list every process, even in a large fleet
    #[options(no_short)]
    pub(crate) all: bool,
}

/// Waits until every live process has a version. Exits with 5 when the time limit passes first.
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
    /// largest number of changes to list
    #[options(no_short, meta = "N", default = "20")]
    pub(crate) limit: u32,
    /// only changes below this version
    #[options(no_short, meta = "N", default = "0")]
    pub(crate) before: u64,
}

/// Stops sending new work to INSTANCE; running work may finish until the deadline.
#[derive(Debug, Options)]
pub(crate) struct DrainOptions {
    /// print this help
    pub(crate) help: bool,
    /// name of the instance
    #[options(free, required)]
    pub(crate) instance: String,
    /// time for running work to finish, such as 5m (default: 10m, which outlasts a long analysis)
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) deadline: Option<Duration>,
    /// reason, shown by status
    #[options(no_short, meta = "TEXT")]
    pub(crate) note: Option<String>,
}

/// Sends work to INSTANCE again.
#[derive(Debug, Options)]
pub(crate) struct UndrainOptions {
    /// print this help
    pub(crate) help: bool,
    /// name of the instance
    #[options(free, required)]
    pub(crate) instance: String,
    /// reason for the command
    #[options(no_short, meta = "TEXT")]
    pub(crate) note: Option<String>,
}

/// Removes INSTANCE from the quorum. Its disk must be gone for good, or be emptied before it starts again.
#[derive(Debug, Options)]
pub(crate) struct RemoveControlOptions {
    /// print this help
    pub(crate) help: bool,
    /// name of the control instance
    #[options(free, required)]
    pub(crate) instance: String,
}

/// Lists the requests during which endpoints crashed and that have not completed since. Requests that gateways reject
/// come first.
#[derive(Debug, Options)]
pub(crate) struct SuspectsOptions {
    /// print this help
    pub(crate) help: bool,
    /// send this request to endpoints again, for example after a fix of the endpoints
    #[options(no_short, meta = "REQUEST", parse(try_from_str = "request_key"))]
    pub(crate) release: Option<String>,
}

/// Lists the data centres whose endpoints get no requests, and how many endpoints of each service stay in use.
#[derive(Debug, Options)]
pub(crate) struct EvacuationsOptions {
    /// print this help
    pub(crate) help: bool,
    /// send no more requests to the endpoints of this data centre; what runs there ends in peace
    #[options(no_short, meta = "DATA_CENTER")]
    pub(crate) start: Option<String>,
    /// send requests to the endpoints of this data centre again
    #[options(no_short, meta = "DATA_CENTER")]
    pub(crate) end: Option<String>,
    /// start the evacuation even if a service keeps no endpoint
    #[options(no_short)]
    pub(crate) force: bool,
}

/// Lists orders to endpoints, newest first, or places one.
#[derive(Debug, Options)]
pub(crate) struct OrdersOptions {
    /// print this help
    pub(crate) help: bool,
    /// only orders to this instance
    #[options(no_short, meta = "NAME")]
    pub(crate) instance: Option<String>,
    /// largest number of orders to list
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

/// Places an order to the endpoint of INSTANCE. KIND is one of load_model, unload_model, load_adapter, unload_adapter,
/// set_version, set_role.
#[derive(Debug, Options)]
pub(crate) struct PlaceOptions {
    /// print this help
    pub(crate) help: bool,
    /// sidecar of the endpoint
    #[options(free, required)]
    pub(crate) instance: String,
    /// kind of order
    #[options(free, required, parse(try_from_str = "parse_kind"))]
    pub(crate) kind: Option<OrderKind>,
    /// model, adapter or role
    #[options(free, required)]
    pub(crate) subject: String,
    /// version of the model or adapter
    #[options(no_short, meta = "VERSION")]
    pub(crate) version: Option<String>,
    /// id of an order whose answer was lost; an order is never placed twice
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
    /// show the state and progress of each, and what it waits for
    Status(UpgradeStatusOptions),
}

/// Shows for each upgrade and planned stop its state, its progress, and what it waits for.
#[derive(Debug, Options)]
pub(crate) struct UpgradeStatusOptions {
    /// print this help
    pub(crate) help: bool,
    /// name of one upgrade or planned stop (default: all)
    #[options(free)]
    pub(crate) name: Option<String>,
}

/// Reports from the metrics pages of the instances.
#[derive(Debug, Options)]
pub(crate) struct ReportOptions {
    /// print this help
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<ReportCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum ReportCommand {
    /// error budgets, burn rates, and the teams and causes that burn them
    Burn(BurnOptions),
    /// service of each team, and the gap between teams
    Gap(MetricsOptions),
    /// slots in use, and slots that were idle while work waited
    Utilisation(MetricsOptions),
}

/// Reports the burn of the error budgets. Objectives come from --folder, or by default from the configuration in force.
#[derive(Debug, Options)]
pub(crate) struct BurnOptions {
    /// print this help
    pub(crate) help: bool,
    /// file of recorded samples; --watch appends to it
    #[options(no_short, meta = "FILE")]
    pub(crate) samples: Option<String>,
    /// instances to scrape, such as entry-a=10.0.0.1:9090,entry-b=10.0.0.2:9090
    #[options(no_short, meta = "NAME=ADDRESS[,...]")]
    pub(crate) scrape: Option<String>,
    /// folder with the objectives
    #[options(no_short, meta = "FOLDER")]
    pub(crate) folder: Option<String>,
    /// collect samples for this long before reporting
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) watch: Option<Duration>,
    /// interval between scrapes (default: 15s)
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) every: Option<Duration>,
    /// write a chart of the burn rates to this file
    #[options(no_short, meta = "FILE")]
    pub(crate) svg: Option<String>,
}

/// Reports from samples of metrics pages. Shares and pools come from --folder, or by default from the configuration in force.
#[derive(Debug, Options)]
pub(crate) struct MetricsOptions {
    /// print this help
    pub(crate) help: bool,
    /// file of recorded samples; --watch appends to it
    #[options(no_short, meta = "FILE")]
    pub(crate) samples: Option<String>,
    /// instances to scrape, such as sidecar-a=10.0.0.1:9090
    #[options(no_short, meta = "NAME=ADDRESS[,...]")]
    pub(crate) scrape: Option<String>,
    /// folder with the teams' shares
    #[options(no_short, meta = "FOLDER")]
    pub(crate) folder: Option<String>,
    /// collect samples for this long before reporting
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) watch: Option<Duration>,
    /// interval between scrapes (default: 15s)
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) every: Option<Duration>,
    /// report only on this last part of the recording
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "humantime::parse_duration")
    )]
    pub(crate) window: Option<Duration>,
}

/// Parses the key of a request, as written in logs and by `suspects`.
fn request_key(text: &str) -> Result<String, RequestKeyError> {
    let key: RequestKey = text.parse()?;
    Ok(key.to_string())
}

/// Moves global flags to the front, the only place where the parser accepts them, so that they may also follow the command.
pub(crate) fn hoist_global_flags(args: &[String]) -> Vec<String> {
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

/// Returns the help text of the innermost subcommand on the command line.
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
