//! Macros for tests with many named cases.
//!
//! Two forms exist. A table form runs one function over many inputs, and a block form gives each case its own body:
//!
//! ```
//! use hinge_cases::cases;
//!
//! fn doubles((input, want): (u32, u32)) {
//!     assert_eq!(input * 2, want);
//! }
//!
//! cases! { doubles: zero => (0, 0), seven => (7, 14) }
//! cases! { an_empty_list_has_no_first => { assert!(Vec::<u8>::new().first().is_none()); } }
//! ```

/// Expands to one `#[test]` function for each named case.
#[macro_export]
macro_rules! cases {
    ($run:ident: $($name:ident => $input:expr),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                $run($input);
            }
        )+
    };
    ($($name:ident => $body:block)+) => {
        $(
            #[test]
            fn $name() $body
        )+
    };
}

/// Expands to one `#[tokio::test]` function for each named case; the crate that uses it depends on `tokio`.
///
/// The cases run with a paused clock, which jumps to the next timer when all tasks are idle. Cases that wait for sockets
/// of other processes need the real clock: begin them with the word `real`.
#[macro_export]
macro_rules! async_cases {
    (real $($name:ident => $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() $body
        )+
    };
    ($($name:ident => $body:block)+) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() $body
        )+
    };
}
