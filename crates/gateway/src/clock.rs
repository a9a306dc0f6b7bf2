//! The clocks of a process.
//!
//! The runtime's monotonic clock stands still while a VM is suspended. Leases and the age of keys
//! are therefore judged by a clock that counts that time too; tests replace it.

use std::fmt;
use std::rc;
use std::time::Duration;
use std::time::SystemTime;

use nix::time as nix_time;
use tokio::time;

/// Source of time of a process.
#[derive(Clone)]
pub struct Clock {
    steady: rc::Rc<dyn Fn() -> time::Instant>,
    wall: rc::Rc<dyn Fn() -> Duration>,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").finish_non_exhaustive()
    }
}

impl Clock {
    /// A clock from its two sources: `steady` never stands still, `wall` is the time of day since
    /// 1970.
    pub fn new(
        steady: impl Fn() -> time::Instant + 'static,
        wall: impl Fn() -> Duration + 'static,
    ) -> Self {
        Self { steady: rc::Rc::new(steady), wall: rc::Rc::new(wall) }
    }

    /// The clocks of this VM. Where the boot clock can't be read, the monotonic one serves.
    #[must_use]
    pub fn system() -> Self {
        let origin = time::Instant::now();
        let wall = || SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let Some(start) = boot_time() else { return Self::new(time::Instant::now, wall) };
        let steady = move || match boot_time() {
            Some(now) => origin + now.saturating_sub(start),
            None => time::Instant::now(),
        };
        Self::new(steady, wall)
    }

    /// Now, on a clock that counts the time in which the VM is suspended.
    #[must_use]
    pub fn now(&self) -> time::Instant {
        (self.steady)()
    }

    /// The time of day, since 1970; it may jump.
    #[must_use]
    pub fn wall(&self) -> Duration {
        (self.wall)()
    }
}

fn boot_time() -> Option<Duration> {
    nix_time::clock_gettime(nix_time::ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}
