//! Small `Copy` keys into the arenas of a bundle, and the identity of an instance.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! arena_key {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl From<usize> for $name {
            /// Converts an arena index.
            ///
            /// # Panics
            /// When the index exceeds `u32::MAX`.
            fn from(index: usize) -> Self {
                Self(u32::try_from(index).expect("an arena holds at most u32::MAX values"))
            }
        }

        impl From<$name> for usize {
            fn from(key: $name) -> usize {
                key.0 as usize
            }
        }
    )*};
}

arena_key! {
    /// Key of a client account.
    AccountKey
    /// Key of a data centre.
    DataCentreKey
    /// Key of a backend server endpoint.
    EndpointKey
    /// Key of a region.
    RegionKey
    /// Key of a route.
    RouteKey
    /// Key of a service.
    ServiceKey
    /// Key of a site.
    SiteKey
    /// Key of a service version.
    VersionKey
}

/// Identity of one run of one entry instance: its configured name and its incarnation.
///
/// The incarnation is drawn at start, so that a restarted process is never taken for the one
/// that ran before it under the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// Name from the settings, unique among live instances.
    pub name: String,
    /// Random number drawn when the process started.
    pub incarnation: u64,
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:016x}", self.name, self.incarnation)
    }
}
