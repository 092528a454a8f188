//! Bundle and settings: parse, check, compare.
//!
//! A check never stops at the first fault: every finding is collected with its place, and all of
//! them are returned together.

pub mod bundle;
pub mod chunk;
pub mod credential;
pub mod datetime;
pub mod diff;
mod doc;
mod fields;
pub mod settings;
pub mod site;
mod value;

pub use bundle::{load_bundle, parse_bundle};
pub use doc::MAX_FINDINGS;
pub use settings::{Listen, LogLevel, Settings, parse_settings};
pub use site::{SiteBounds, SiteListen, SiteMachine, SiteSettings, SiteUsage, parse_site};
