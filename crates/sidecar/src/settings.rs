//! Defines the settings of a sidecar; the daemon fills them from its settings file.

use std::time::Duration;

use hinge_placement::HealthRules;

/// The unit in which a pool's service is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolKind {
    /// Weighted tokens.
    Model(UnitWeights),
    /// Milliseconds for which the endpoint was busy, times a weight.
    Service {
        /// Service units per busy millisecond.
        busy_ms_units: u64,
    },
}

/// The weights of a model's tokens, in service units per token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnitWeights {
    /// Prompt token that was computed.
    pub prompt: u64,
    /// Prompt token that came from the prefix cache.
    pub cached: u64,
    /// Generated token.
    pub generated: u64,
}

impl Default for UnitWeights {
    /// Returns the defaults of the operators' configuration.
    fn default() -> Self {
        Self {
            prompt: 10,
            cached: 1,
            generated: 40,
        }
    }
}

/// The settings of a sidecar.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    /// Address and port for other processes of the fleet.
    pub listen: Box<str>,
    /// Address and port of the endpoint.
    pub endpoint_address: Box<str>,
    /// Pool of the endpoint.
    pub pool: Box<str>,
    /// Unit of the pool's service, until the configuration of the pool is known.
    pub kind: PoolKind,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Slots that only urgent requests may take, until the configuration of the pool is known.
    pub reserved_urgent_slots: u32,
    /// KV cache of the endpoint, in tokens; 0 when it has none.
    pub kv_tokens: u64,
    /// Most offers that wait here.
    pub max_waiting: usize,
    /// Largest cost of one request, in service units.
    pub max_request_units: u64,
    /// Time within which the bind must arrive after a grant.
    pub grant_lease: Duration,
    /// Longest time for the whole body after the bind.
    pub body_timeout: Duration,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// How long an answer without an exchange is kept for a resume.
    pub resume_window: Duration,
    /// Most bytes of an answer that are kept for a resume.
    pub replay_bytes: usize,
    /// Most ended answers that are kept for a resume at once.
    pub max_kept_answers: usize,
    /// Longest wait for a connection to the endpoint.
    pub connect_timeout: Duration,
    /// Longest wait for the head of an answer.
    pub head_timeout: Duration,
    /// Longest wait between two chunks of an answer.
    pub idle_timeout: Duration,
    /// Longest wait for buffer space for a chunk of an answer, which the entry's reading frees.
    pub reader_timeout: Duration,
    /// Longest wait for control to answer a claim of a key.
    pub claim_timeout: Duration,
    /// When the endpoint is ejected, and how it comes back.
    pub health: HealthRules,
    /// Time between two polls of the endpoint's load.
    pub load_interval: Duration,
    /// Path of the endpoint's load, which also serves as the probe of an ejected endpoint.
    pub load_path: Box<str>,
    /// Time between two checks of deadlines and resume windows.
    pub sweep_interval: Duration,
    /// Time between two reports of sums.
    pub sums_interval: Duration,
}

impl Default for SidecarSettings {
    /// Returns settings for a model engine with 16 slots; addresses and the pool must be set.
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".into(),
            endpoint_address: "127.0.0.1:8000".into(),
            pool: "".into(),
            kind: PoolKind::Model(UnitWeights::default()),
            slots: 16,
            reserved_urgent_slots: 1,
            kv_tokens: 0,
            // Sized for 1,500 teams of which a tenth is backlogged, with a few offers each.
            max_waiting: 1_024,
            // A prompt of 32 Ki tokens and an answer of 8 Ki tokens at the default weights.
            max_request_units: 640 * 1_024,
            // Ten round trips between regions; a grant that its entry no longer wants holds the slot no longer than this.
            grant_lease: Duration::from_millis(500),
            body_timeout: Duration::from_secs(30),
            max_body_bytes: 32 << 20,
            resume_window: Duration::from_secs(20),
            replay_bytes: hinge_outcome::replay::DEFAULT_CAPACITY_BYTES,
            // With the replay bound of 128 KiB this is 8 MiB at most.
            max_kept_answers: 64,
            connect_timeout: Duration::from_secs(1),
            // The first token may wait behind a long prompt; the target for its 95th percentile is 0.43 s.
            head_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(15),
            // Longer than the resume window, so that a broken exchange is not mistaken for a slow caller.
            reader_timeout: Duration::from_mins(1),
            claim_timeout: Duration::from_secs(2),
            health: HealthRules::default(),
            load_interval: Duration::from_secs(1),
            load_path: "/load".into(),
            sweep_interval: Duration::from_millis(100),
            sums_interval: Duration::from_secs(1),
        }
    }
}
