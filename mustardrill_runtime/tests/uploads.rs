//! Uploads of chunks are sent one after the other within the link's rate.

use mustardrill_runtime::upload::UploadQueue;
use mustardrill_types::{Millis, Moment};

#[test]
fn uploads_are_queued_one_after_the_other_up_to_the_longest_delay() {
    // 8 Mbit/s carry 1,000 bytes in a millisecond.
    let queue = UploadQueue::new(8.0);
    let now = Moment(1_000);
    let accept = |now| queue.accept(now, 20_000, Millis(45));
    assert_eq!(accept(now), Some(Millis(0)));
    assert_eq!(accept(now), Some(Millis(20)));
    assert_eq!(accept(now), Some(Millis(40)));
    assert_eq!(queue.waiting(now, 20_000), 3);
    assert_eq!(accept(now), None, "it would start only after 60 ms");
    assert_eq!(accept(now + Millis(15)), Some(Millis(45)));
    assert_eq!(accept(now + Millis(500)), Some(Millis(0)), "the link has become free meanwhile");
}
