//! Order of the backend servers of each data centre for an object, kept between requests.

use std::hash::{Hash, Hasher};

use apricotlug_model::HashMap;
use rustc_hash::FxHasher;

use super::entry::{BackendKey, Entry};
use super::warmth::rank_weight;

/// Backend servers of a data centre that are kept for an object: its home, and those that stand
/// in for it one after the other.
const KEPT: usize = 3;

/// Objects that are kept; beyond that the orders are worked out anew.
const MOST_OBJECTS: usize = 8_192;

/// Versions among which an object's backend servers are ranked: one may serve it or all others.
pub(super) type Versions<'a> = Option<(&'a str, bool)>;

/// Orders of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranks(HashMap<(u64, u64), Vec<BackendKey>>);

impl Ranks {
    /// Returns the kept order of an object: by data centre, the first choice of each first.
    pub(super) fn get(&self, object: u64, versions: Versions<'_>) -> Option<&[BackendKey]> {
        let key = (object, hash(versions));
        self.0.get(&key).map(Vec::as_slice)
    }

    /// Keeps the order of an object.
    pub(super) fn put(&mut self, object: u64, versions: Versions<'_>, order: Vec<BackendKey>) {
        if self.0.len() >= MOST_OBJECTS {
            self.0.clear();
        }
        self.0.insert((object, hash(versions)), order);
    }
}

/// Ranks the backend servers of a service for an object.
pub(super) fn rank<'a>(
    all: impl Iterator<Item = (BackendKey, &'a Entry)>,
    object: u64,
    versions: Versions<'_>,
) -> Vec<BackendKey> {
    let mut places: Vec<(&str, Vec<(u64, BackendKey)>)> = Vec::new();
    let fits = |entry: &Entry| {
        versions.is_none_or(|(version, is_wanted)| (entry.backend.version == version) == is_wanted)
    };
    for (key, entry) in all.filter(|(_, entry)| fits(entry)) {
        let data_centre = entry.backend.data_centre.as_str();
        let place = places.iter().position(|(other, _)| *other == data_centre);
        let place = place.unwrap_or_else(|| {
            places.push((data_centre, Vec::with_capacity(KEPT + 1)));
            places.len() - 1
        });
        let top = &mut places[place].1;
        let weight = rank_weight(entry.hash, object);
        let at = top.partition_point(|(other, _)| *other > weight);
        if at < KEPT {
            top.insert(at, (weight, key));
            top.truncate(KEPT);
        }
    }
    let tops = places.into_iter().flat_map(|(_, top)| top);
    tops.map(|(_, key)| key).collect()
}

fn hash(versions: Versions<'_>) -> u64 {
    let mut hasher = FxHasher::default();
    versions.hash(&mut hasher);
    hasher.finish()
}
