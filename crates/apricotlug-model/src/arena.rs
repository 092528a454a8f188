//! Append-only vector addressed by a typed key.

use std::{
    marker::PhantomData,
    ops::{Index, IndexMut},
};

/// Append-only vector whose values are addressed by the key type `K`.
#[derive(Clone, Debug, PartialEq)]
pub struct Arena<K, V> {
    values: Vec<V>,
    key: PhantomData<K>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self {
            values: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K: From<usize> + Copy, V> Arena<K, V>
where
    usize: From<K>,
{
    /// Appends a value and returns its key.
    pub fn push(&mut self, value: V) -> K {
        self.values.push(value);
        K::from(self.values.len() - 1)
    }

    /// Returns the value of a key, or `None` where the key belongs to a larger arena.
    pub fn get(&self, key: K) -> Option<&V> {
        self.values.get(usize::from(key))
    }

    /// Returns the first key whose value satisfies the predicate.
    pub fn find(&self, is_match: impl Fn(&V) -> bool) -> Option<K> {
        self.values.iter().position(is_match).map(K::from)
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Tells whether the arena holds no value.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Iterates over keys and values in the order of insertion.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (K, &V)> {
        self.values
            .iter()
            .enumerate()
            .map(|(i, value)| (K::from(i), value))
    }

    /// Iterates over the keys in the order of insertion.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = K> + use<K, V> {
        (0..self.values.len()).map(K::from)
    }

    /// Iterates over the values in the order of insertion.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> {
        self.values.iter()
    }
}

impl<K, V> FromIterator<V> for Arena<K, V> {
    fn from_iter<I: IntoIterator<Item = V>>(values: I) -> Self {
        Self {
            values: values.into_iter().collect(),
            key: PhantomData,
        }
    }
}

impl<K, V> Index<K> for Arena<K, V>
where
    usize: From<K>,
{
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.values[usize::from(key)]
    }
}

impl<K, V> IndexMut<K> for Arena<K, V>
where
    usize: From<K>,
{
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.values[usize::from(key)]
    }
}
