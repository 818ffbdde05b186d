//! A map stored as a sorted list, which takes little memory and can be read by index.

use std::collections::BTreeMap;

/// A map from names to values, in the order of the names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SortedMap<T>(Box<[(Box<str>, T)]>);

impl<T> SortedMap<T> {
    /// Returns the value of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&T> {
        let index = self.index(name)?;
        Some(&self.0[index].1)
    }

    /// Returns the index of a name in the order of names.
    #[must_use]
    pub fn index(&self, name: &str) -> Option<usize> {
        self.0.binary_search_by(|(key, _)| (**key).cmp(name)).ok()
    }

    /// Returns the name and the value at an index.
    #[must_use]
    pub fn at(&self, index: usize) -> Option<(&str, &T)> {
        self.0.get(index).map(|(name, value)| (&**name, value))
    }

    /// Returns whether there is a value of that name.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.index(name).is_some()
    }

    /// Returns an iterator over names and values, in the order of names.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&str, &T)> {
        self.0.iter().map(|(name, value)| (&**name, value))
    }

    /// Returns the number of values.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there is no value.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<T> Default for SortedMap<T> {
    fn default() -> Self {
        Self(Box::default())
    }
}

impl<T> From<BTreeMap<Box<str>, T>> for SortedMap<T> {
    fn from(map: BTreeMap<Box<str>, T>) -> Self {
        Self(map.into_iter().collect())
    }
}
