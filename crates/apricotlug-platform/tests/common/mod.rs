//! Stand-in and clients for the platform tests.

use apricotlug_platform::{ClientConfig, Clock};
use apricotlug_standins::platform::{PlatformConfig, PlatformStandIn};

/// Returns a running stand-in on a free port, with the given clock.
pub async fn stand_in(clock: &Clock) -> PlatformStandIn {
    let cfg = PlatformConfig {
        clock: clock.clone(),
        ..PlatformConfig::default()
    };
    PlatformStandIn::start(cfg).await.unwrap()
}

/// Returns a configuration with short limits for a stand-in.
pub fn config(platform: &PlatformStandIn, seed: u64) -> ClientConfig {
    ClientConfig {
        addrs: vec![platform.addr()],
        call_timeout_ms: 3000,
        calls_per_s: 10_000,
        burst: 10_000,
        backoff_base_ms: 1,
        backoff_cap_ms: 20,
        watch_idle_ms: 150,
        seed,
        ..ClientConfig::default()
    }
}
