//! Checks that decoders skip unknown fields of newer versions, and do not panic on malformed messages.

use hinge_cases::cases;
use hinge_schema::messages::{AskVerdict, FromSidecar, ToSidecar, Update};
use quickcheck::quickcheck;

cases! {
    an_unknown_field_is_skipped => {
        let newer = [("request_id", 7_u64), ("claim_id", 8), ("incarnation", 9), ("added_later", 1)];
        let newer: std::collections::BTreeMap<_, _> = newer.into_iter().collect();
        let bytes = rmp_serde::to_vec_named(&newer).expect("a map of numbers encodes");
        let message: AskVerdict = rmp_serde::from_slice(&bytes).expect("the unknown field is skipped");
        assert_eq!((message.request_id, message.claim_id, message.incarnation), (7, 8, 9));
    }
}

quickcheck! {
    fn arbitrary_bytes_never_panic_a_decoder(bytes: Vec<u8>) -> bool {
        let _ = rmp_serde::from_slice::<ToSidecar>(&bytes);
        let _ = rmp_serde::from_slice::<FromSidecar>(&bytes);
        let _ = rmp_serde::from_slice::<Update>(&bytes);
        true
    }
}
