//! Tests that the macros expand to tests that run.

use hinge_cases::cases;

fn is_even(number: u32) {
    assert_eq!(number % 2, 0);
}

cases! { is_even: zero_is_even => 0, ten_is_even => 10 }

cases! {
    a_block_runs => {
        assert_eq!(1 + 1, 2);
    }
}
