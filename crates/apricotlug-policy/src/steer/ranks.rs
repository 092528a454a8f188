//! Order of the backend servers of each place for an object, kept between requests.

use std::hash::{Hash, Hasher};

use apricotlug_model::HashMap;
use rustc_hash::FxHasher;

use super::entry::{BackendKey, Entry};
use super::warmth::rank_weight;

/// Backend servers of a place that are kept for an object: its home, and those that stand in for
/// it one after the other.
const KEPT: usize = 3;

/// Objects that are kept; beyond that the orders are worked out anew.
const MOST_OBJECTS: usize = 8_192;

/// Places of which each has a home for an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Place {
    /// Regions: few homes, so that few requests meet their object cold.
    Region,
    /// Data centres: large answers do not leave them.
    DataCentre,
}

impl Place {
    /// Returns the name of the place of a backend server.
    pub(super) fn of(self, entry: &Entry) -> &str {
        match self {
            Self::Region => &entry.region,
            Self::DataCentre => &entry.backend.data_centre,
        }
    }
}

/// What an object's backend servers are ranked by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Ranking<'a> {
    /// Object.
    pub object: u64,
    /// Version, and whether that one may serve it or all others.
    pub versions: Option<(&'a str, bool)>,
    /// Places of which each has a home.
    pub place: Place,
}

impl Ranking<'_> {
    fn fits(&self, entry: &Entry) -> bool {
        let versions = self.versions;
        versions.is_none_or(|(version, is_wanted)| (entry.backend.version == version) == is_wanted)
    }

    fn hash(&self) -> u64 {
        let mut hasher = FxHasher::default();
        Hash::hash(self, &mut hasher);
        hasher.finish()
    }
}

/// Orders of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranks(HashMap<u64, Vec<BackendKey>>);

impl Ranks {
    /// Returns the kept order of an object: by place, the first choice of each first.
    pub(super) fn get(&self, ranking: &Ranking<'_>) -> Option<&[BackendKey]> {
        self.0.get(&ranking.hash()).map(Vec::as_slice)
    }

    /// Keeps the order of an object.
    pub(super) fn put(&mut self, ranking: &Ranking<'_>, order: Vec<BackendKey>) {
        if self.0.len() >= MOST_OBJECTS {
            self.0.clear();
        }
        self.0.insert(ranking.hash(), order);
    }
}

/// Ranks the backend servers of a service for an object.
pub(super) fn rank<'a>(
    all: impl Iterator<Item = (BackendKey, &'a Entry)>,
    ranking: &Ranking<'_>,
) -> Vec<BackendKey> {
    let mut tops: Vec<(&str, Vec<(u64, BackendKey)>)> = Vec::new();
    for (key, entry) in all.filter(|(_, entry)| ranking.fits(entry)) {
        let place = ranking.place.of(entry);
        let known = tops.iter().position(|(other, _)| *other == place);
        let known = known.unwrap_or_else(|| {
            tops.push((place, Vec::with_capacity(KEPT + 1)));
            tops.len() - 1
        });
        let top = &mut tops[known].1;
        let weight = rank_weight(entry.hash, ranking.object);
        let at = top.partition_point(|(other, _)| *other > weight);
        if at < KEPT {
            top.insert(at, (weight, key));
            top.truncate(KEPT);
        }
    }
    let all = tops.into_iter().flat_map(|(_, top)| top);
    all.map(|(_, key)| key).collect()
}
