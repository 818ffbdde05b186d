//! Reports what this gateway observes of suspected requests to control.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_control::NOTE_SUSPECTS_PATH;
use hinge_link::Client;
use hinge_routing::{IncarnationHash, RequestKey};
use hinge_schema::routing::{NoteSuspects, SuspectEnd, SuspectsNoted};
use hinge_telemetry::log::Part;
use hinge_telemetry::warn;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::fleet::Held;

/// Delay that lets all requests broken off by one end be reported in one call.
const GATHER: Duration = Duration::from_millis(50);

/// Timeout of a report to control.
const TELL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a failed report is sent again; an election takes a second or two.
const TELL_RETRY: Duration = Duration::from_millis(100);

/// Maximum number of pending ends, and of pending completions; beyond it the oldest are dropped.
const MOST_UNTOLD: usize = 4_096;

#[derive(Debug, Default)]
struct News {
    ends: Vec<(RequestKey, IncarnationHash)>,
    completed: Vec<RequestKey>,
}

/// Observations that control has not acknowledged yet.
#[derive(Debug, Default)]
pub(crate) struct Untold {
    news: Mutex<News>,
    has_come: Notify,
}

impl Untold {
    /// Adds an end of an endpoint during a request.
    pub(crate) fn add_end(&self, end: (RequestKey, IncarnationHash)) {
        self.add(|news| news.ends.push(end));
    }

    /// Adds a suspected request that has completed.
    pub(crate) fn add_completed(&self, request: RequestKey) {
        self.add(|news| news.completed.push(request));
    }

    fn add(&self, add: impl FnOnce(&mut News)) {
        let mut news = self.lock();
        add(&mut news);
        news.bound();
        self.has_come.notify_one();
    }

    fn take(&self) -> News {
        std::mem::take(&mut *self.lock())
    }

    /// Puts a failed report back, before the observations that have been added since.
    fn put_back(&self, earlier: News) {
        let mut news = self.lock();
        let mut later = std::mem::replace(&mut *news, earlier);
        news.ends.append(&mut later.ends);
        news.completed.append(&mut later.completed);
        news.bound();
        self.has_come.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, News> {
        self.news.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl News {
    fn bound(&mut self) {
        let too_many = self.ends.len().saturating_sub(MOST_UNTOLD);
        self.ends.drain(..too_many);
        let too_many = self.completed.len().saturating_sub(MOST_UNTOLD);
        self.completed.drain(..too_many);
    }

    fn message(&self, instance: &str) -> NoteSuspects {
        let ends = self.ends.iter().map(|(request, endpoint)| SuspectEnd {
            request: request.to_string().into(),
            endpoint: *endpoint,
        });
        let completed = self.completed.iter();
        NoteSuspects {
            instance: instance.into(),
            ends: ends.collect(),
            completed: completed
                .map(|request| request.to_string().into())
                .collect(),
        }
    }
}

/// Reports ends and completions to control as they occur, until the task is aborted.
pub(crate) async fn run(client: Client, instance: Box<str>, held: Arc<Held>) {
    let untold = &held.suspects.untold;
    loop {
        untold.has_come.notified().await;
        sleep(GATHER).await;
        let news = untold.take();
        if let Err(cause) = tell_any(&client, &held, &news.message(&instance)).await {
            warn!(
                Part::Gateway,
                "Could not tell control of ends under requests.",
                ends = news.ends.len(),
                completed = news.completed.len(),
                cause = cause
            );
            untold.put_back(news);
            sleep(TELL_RETRY).await;
        }
    }
}

/// Reports to the first control instance that answers, or returns the last failure.
async fn tell_any(client: &Client, held: &Held, message: &NoteSuspects) -> Result<(), String> {
    let mut last = "no control instance is known".to_owned();
    for address in held.control.load().iter() {
        let told = client.call(address, NOTE_SUSPECTS_PATH, message, TELL_TIMEOUT);
        let told: Result<SuspectsNoted, _> = told.await;
        match told {
            Ok(_noted) => return Ok(()),
            Err(cause) => last = format!("{address}: {cause}"),
        }
    }
    Err(last)
}
