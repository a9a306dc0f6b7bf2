//! Monotonic and wall clocks of the process.
//!
//! The runtime's monotonic clock does not advance while the VM is suspended. Leases and the age of
//! the configuration are therefore measured on the boot-time clock, which does; tests replace it.

use std::fmt;
use std::rc;
use std::time::Duration;
use std::time::SystemTime;

use nix::time as nix_time;
use tokio::time;

/// Time source of a process.
#[derive(Clone)]
pub struct Clock {
    monotonic: rc::Rc<dyn Fn() -> time::Instant>,
    wall: rc::Rc<dyn Fn() -> Duration>,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").finish_non_exhaustive()
    }
}

impl Clock {
    /// Creates a clock from two sources: `monotonic` also advances while the VM is suspended,
    /// `wall` is the time since the Unix epoch (1970).
    pub fn new(
        monotonic: impl Fn() -> time::Instant + 'static,
        wall: impl Fn() -> Duration + 'static,
    ) -> Self {
        Self { monotonic: rc::Rc::new(monotonic), wall: rc::Rc::new(wall) }
    }

    /// Returns the system clocks. Falls back to the runtime's monotonic clock if the boot-time
    /// clock can't be read.
    #[must_use]
    pub fn system() -> Self {
        let origin = time::Instant::now();
        let wall = || SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let Some(boot_start) = boot_time() else { return Self::new(time::Instant::now, wall) };
        let monotonic = move || match boot_time() {
            Some(now) => origin + now.saturating_sub(boot_start),
            None => time::Instant::now(),
        };
        Self::new(monotonic, wall)
    }

    /// Current monotonic time, which includes time during which the VM was suspended.
    #[must_use]
    pub fn now(&self) -> time::Instant {
        (self.monotonic)()
    }

    /// Current wall-clock time since the Unix epoch (1970); it may jump.
    #[must_use]
    pub fn wall(&self) -> Duration {
        (self.wall)()
    }
}

fn boot_time() -> Option<Duration> {
    nix_time::clock_gettime(nix_time::ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}
