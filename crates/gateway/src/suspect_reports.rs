//! Reports what this gateway observes of suspected requests to control.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_control::NOTE_SUSPECTS_PATH;
use hinge_link::Client;
use hinge_routing::{IncarnationHash, RequestKey};
use hinge_schema::routing::{ReportSuspects, ReportSuspectsReply, SuspectEnd};
use hinge_telemetry::log::Component;
use hinge_telemetry::warn;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::routing_state::RoutingState;

#[cfg(test)]
mod tests;

/// Delay that lets all requests broken off by one end be reported in one call.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Timeout of a report to control.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a failed report is sent again; an election takes a second or two.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of pending ends, and of pending completions; beyond it the oldest are dropped.
const MAX_PENDING: usize = 4_096;

#[derive(Debug, Default)]
struct Report {
    ends: Vec<(RequestKey, IncarnationHash)>,
    completed: Vec<RequestKey>,
    sound: Vec<RequestKey>,
}

/// Observations that control has not acknowledged yet.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    report: Mutex<Report>,
    added: Notify,
    /// Changed while the report is locked.
    has_pending: watch::Sender<bool>,
}

impl PendingReports {
    /// Adds an end of an endpoint during a request.
    pub(crate) fn add_end(&self, end: (RequestKey, IncarnationHash)) {
        self.add(|report| report.ends.push(end));
    }

    /// Adds a suspected request that has completed.
    pub(crate) fn add_completed(&self, request: RequestKey) {
        self.add(|report| report.completed.push(request));
    }

    /// Adds a suspected prompt part on which answers went on before.
    pub(crate) fn add_sound(&self, part: RequestKey) {
        self.add(|report| report.sound.push(part));
    }

    fn add(&self, add: impl FnOnce(&mut Report)) {
        let mut report = self.lock();
        add(&mut report);
        report.drop_oldest();
        self.has_pending.send_replace(true);
        self.added.notify_one();
    }

    /// Waits until control has acknowledged everything.
    pub(crate) async fn wait_until_acknowledged(&self) {
        let mut has_pending = self.has_pending.subscribe();
        // The sender lives as long as this.
        let _acknowledged = has_pending.wait_for(|has_pending| !has_pending).await;
    }

    /// Records that control has acknowledged what was taken.
    fn acknowledged(&self) {
        let report = self.lock();
        self.has_pending.send_replace(!report.is_empty());
    }

    fn take(&self) -> Report {
        std::mem::take(&mut *self.lock())
    }

    /// Puts a failed report back, before the observations that have been added since.
    fn put_back(&self, earlier: Report) {
        let mut report = self.lock();
        let mut later = std::mem::replace(&mut *report, earlier);
        report.ends.append(&mut later.ends);
        report.completed.append(&mut later.completed);
        report.sound.append(&mut later.sound);
        report.drop_oldest();
        self.added.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Report> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Report {
    fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.completed.is_empty() && self.sound.is_empty()
    }

    fn drop_oldest(&mut self) {
        let too_many = self.ends.len().saturating_sub(MAX_PENDING);
        self.ends.drain(..too_many);
        let too_many = self.completed.len().saturating_sub(MAX_PENDING);
        self.completed.drain(..too_many);
        let too_many = self.sound.len().saturating_sub(MAX_PENDING);
        self.sound.drain(..too_many);
    }

    fn message(&self, instance: &str) -> ReportSuspects {
        let ends = self.ends.iter().map(|(request, endpoint)| SuspectEnd {
            request: request.to_string().into(),
            endpoint: *endpoint,
        });
        let completed = self.completed.iter();
        ReportSuspects {
            instance: instance.into(),
            ends: ends.collect(),
            completed: completed
                .map(|request| request.to_string().into())
                .collect(),
            sound: self
                .sound
                .iter()
                .map(|part| part.to_string().into())
                .collect(),
        }
    }
}

/// Reports ends and completions to control as they occur, until the task is aborted.
pub(crate) async fn run(client: Client, instance: Box<str>, routing: Arc<RoutingState>) {
    let pending = &routing.suspects.pending_reports;
    loop {
        pending.added.notified().await;
        sleep(BATCH_DELAY).await;
        let report = pending.take();
        match report_to_any(&client, &routing, &report.message(&instance)).await {
            Ok(()) => pending.acknowledged(),
            Err(cause) => {
                warn!(
                    Component::Gateway,
                    "Could not tell control of ends under requests.",
                    ends = report.ends.len(),
                    completed = report.completed.len(),
                    cause = cause
                );
                pending.put_back(report);
                sleep(REPORT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reports to the first control instance that answers, or returns the last failure.
async fn report_to_any(
    client: &Client,
    routing: &RoutingState,
    message: &ReportSuspects,
) -> Result<(), String> {
    let mut last = "no control instance is known".to_owned();
    for address in routing.control.load().iter() {
        let reported = client.call(address, NOTE_SUSPECTS_PATH, message, REPORT_TIMEOUT);
        let reported: Result<ReportSuspectsReply, _> = reported.await;
        match reported {
            Ok(_noted) => return Ok(()),
            Err(cause) => last = format!("{address}: {cause}"),
        }
    }
    Err(last)
}
