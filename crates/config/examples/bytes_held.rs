//! Prints how much heap the configuration of 1,500 teams and 8 pools takes.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use hinge_config::current::CurrentConfig;
use hinge_config::effective::EffectiveConfig;
use hinge_config::{ConfigDelta, folder};

mod fleet;

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);
static PEAK_BYTES: AtomicUsize = AtomicUsize::new(0);

struct CountingAllocator;

// SAFETY: every call passes the caller's arguments to the system's allocator; counting does not touch the allocated memory.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let live_bytes = LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK_BYTES.fetch_max(live_bytes, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the block came from `alloc` above, and so from the system's allocator.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn live_bytes() -> usize {
    LIVE_BYTES.load(Ordering::Relaxed)
}

fn main() {
    // The schemas are parsed once and stay in memory.
    let start = live_bytes();
    drop(EffectiveConfig::default());
    println!("schema_bytes={}", live_bytes() - start);
    for teams_per_file in [100, 1] {
        let files = fleet::files(teams_per_file);
        let text: usize = files.iter().map(|file| file.text.len()).sum();
        println!("files={} text_bytes={text}", files.len());
        let start = live_bytes();
        let effective = EffectiveConfig::merge(&files).expect("the files are valid");
        println!("effective_bytes={}", live_bytes() - start);
        drop(effective);
        let delta = ConfigDelta {
            base_version: 0,
            digest: folder::digest(&files),
            put: files,
            removed: Vec::new(),
            version: 1,
        };
        let start = live_bytes();
        PEAK_BYTES.store(start, Ordering::Relaxed);
        let config = CurrentConfig::empty();
        config.apply(&delta);
        let peak = PEAK_BYTES.load(Ordering::Relaxed) - start;
        println!(
            "held_bytes={} peak_while_applying_bytes={peak}",
            live_bytes() - start
        );
    }
}
