//! Immutable view of the bundle in force and the withdrawn keys, read by every request. A change
//! replaces the view.

use std::sync::{Arc, PoisonError, RwLock};

use apricotlug_model::{Bundle, HashSet};

/// Bundle in force and withdrawn keys, as of one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Bundle in force; `None` before the first.
    pub bundle: Option<Arc<Bundle>>,
    /// Ids of the keys withdrawn since that bundle was signed off.
    pub withdrawn: Arc<HashSet<String>>,
}

/// Cell that holds the current view.
#[derive(Debug, Default)]
pub struct ViewCell(RwLock<Arc<View>>);

impl ViewCell {
    /// Returns the current view.
    #[must_use]
    pub fn load(&self) -> Arc<View> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a bundle in force, unless the one in force has the same or a later version. Returns the
    /// previous bundle, and whether the new one was installed.
    pub fn install(&self, bundle: Arc<Bundle>) -> (Option<Arc<Bundle>>, bool) {
        let mut view = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let old = view.bundle.clone();
        if old
            .as_ref()
            .is_some_and(|old| old.version >= bundle.version)
        {
            return (old, false);
        }
        *view = Arc::new(View {
            bundle: Some(bundle),
            withdrawn: Arc::clone(&view.withdrawn),
        });
        (old, true)
    }

    /// Adds withdrawn keys. The set only grows.
    pub fn withdraw(&self, ids: impl IntoIterator<Item = String>) {
        let mut view = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let mut withdrawn = HashSet::clone(&view.withdrawn);
        withdrawn.extend(ids);
        let bundle = view.bundle.clone();
        *view = Arc::new(View {
            bundle,
            withdrawn: Arc::new(withdrawn),
        });
    }
}
