//! Tests the key by which a caller is recognised that comes back after a refusal.

use hinge_cases::cases;
use hinge_routing::{Prompt, PromptPart, return_key};

fn prompt(ids: &[u64]) -> Prompt {
    let parts = ids.iter().map(|id| PromptPart {
        id: *id,
        tokens: 100,
    });
    Prompt {
        parts: parts.collect(),
        prompt_tokens: 500,
        max_answer_tokens: 50,
    }
}

cases! {
    a_key_depends_on_team_route_and_own_part => {
        let key = return_key(Some("a"), "chat", &prompt(&[1, 2]));
        assert_eq!(key, return_key(Some("a"), "chat", &prompt(&[1, 2])));
        assert_eq!(key, return_key(Some("a"), "chat", &prompt(&[3, 2])), "the own part is the last one");
        for other in [
            return_key(Some("b"), "chat", &prompt(&[1, 2])),
            return_key(None, "chat", &prompt(&[1, 2])),
            return_key(Some("a"), "digest", &prompt(&[1, 2])),
            return_key(Some("a"), "chat", &prompt(&[1, 3])),
            return_key(Some("ac"), "hat", &prompt(&[1, 2])),
        ] {
            assert_ne!(key, other);
        }
    }
    // Programs of two versions must agree on it while gateways are replaced.
    a_key_stays_the_same_in_later_versions => {
        assert_eq!(return_key(Some("a"), "chat", &prompt(&[7])), Some(KEY));
    }
    a_prompt_without_parts_has_no_key => {
        assert_eq!(return_key(Some("a"), "chat", &prompt(&[])), None);
    }
}

/// Key of a request whose own part is 7, of team `a` on route `chat`.
const KEY: u64 = 0x3481_2527_3967_51cf;
