//! Reads what the operators' configuration says about this pool and its teams.

use hinge_config::effective::{Effective, PoolKind as ConfiguredKind};
use hinge_placement::SlotRules;

use crate::dispatch::TeamRules;
use crate::settings::{PoolKind, SidecarSettings, UnitWeights};

/// Returns the rules of a team; `None` for an unknown one.
pub(crate) fn team(effective: &Effective, team: &str) -> Option<TeamRules> {
    let team = effective.teams.get(team)?;
    Some(TeamRules {
        share: team.share,
        max_waiting: usize::try_from(team.max_waiting).unwrap_or(usize::MAX),
        urgent_allowance_ppm: team.urgent_allowance,
    })
}

/// Returns the unit in which this pool's service is counted.
pub(crate) fn kind(effective: &Effective, settings: &SidecarSettings) -> PoolKind {
    let Some(pool) = effective.pools.get(&settings.pool) else {
        return settings.kind;
    };
    let weights = &pool.weights;
    match pool.kind {
        ConfiguredKind::Model => PoolKind::Model(UnitWeights {
            prompt: weights.prompt_units.into(),
            cached: weights.cached_prompt_units.into(),
            generated: weights.generated_units.into(),
        }),
        ConfiguredKind::Service => PoolKind::Service {
            busy_ms_units: weights.busy_ms_units.into(),
        },
    }
}

/// Returns the endpoint's capacity when its health allows this many slots.
pub(crate) fn slots(
    effective: &Effective,
    settings: &SidecarSettings,
    allowed_slots: u32,
) -> SlotRules {
    let pool = effective.pools.get(&settings.pool);
    let urgent = pool.map_or(settings.reserved_urgent_slots, |pool| {
        pool.reserved_urgent_slots
    });
    let whole = SlotRules::new(settings.slots, settings.kv_tokens, urgent);
    SlotRules {
        slots: allowed_slots,
        ..whole
    }
}

/// Leaves at least one slot for work that is not urgent, which would otherwise wait forever.
pub(crate) fn with_common_slot(rules: SlotRules) -> SlotRules {
    let urgent_slots = rules.urgent_slots.min(rules.slots.saturating_sub(1));
    SlotRules {
        urgent_slots,
        urgent_kv_tokens: if urgent_slots == 0 {
            0
        } else {
            rules.urgent_kv_tokens
        },
        ..rules
    }
}
