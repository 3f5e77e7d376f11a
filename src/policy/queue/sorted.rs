//! A sorted map that knows how many entries come before a key.

/// A chunk with more entries is split. Finding a rank visits each chunk, changing one moves its entries.
const MAX_CHUNK: usize = 128;

/// Entries by key, in sorted chunks none of which is empty.
#[derive(Debug)]
pub(super) struct Sorted<K, V> {
    chunks: Vec<Vec<(K, V)>>,
    len: usize,
}

impl<K, V> Default for Sorted<K, V> {
    fn default() -> Self {
        Self { chunks: Vec::new(), len: 0 }
    }
}

impl<K: Ord + Copy, V> Sorted<K, V> {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn first(&self) -> Option<K> {
        Some(self.chunks.first()?.first()?.0)
    }

    pub(super) fn last(&self) -> Option<K> {
        Some(self.chunks.last()?.last()?.0)
    }

    /// The chunk that contains a key if any does.
    fn chunk(&self, key: &K) -> usize {
        self.chunks.partition_point(|it| it[0].0 <= *key).saturating_sub(1)
    }

    /// The number of entries before a key.
    pub(super) fn rank(&self, key: &K) -> usize {
        let at = self.chunk(key);
        let Some(chunk) = self.chunks.get(at) else { return 0 };
        let before: usize = self.chunks[..at].iter().map(Vec::len).sum();
        before + chunk.partition_point(|it| it.0 < *key)
    }

    /// Adds an entry. No other may have its key.
    pub(super) fn insert(&mut self, key: K, value: V) {
        self.len += 1;
        let at = self.chunk(&key);
        let Some(chunk) = self.chunks.get_mut(at) else {
            self.chunks.push(vec![(key, value)]);
            return;
        };
        let place = chunk.partition_point(|it| it.0 < key);
        chunk.insert(place, (key, value));
        if chunk.len() > MAX_CHUNK {
            let rest = chunk.split_off(MAX_CHUNK / 2);
            self.chunks.insert(at + 1, rest);
        }
    }

    pub(super) fn remove(&mut self, key: &K) -> Option<V> {
        let at = self.chunk(key);
        let chunk = self.chunks.get_mut(at)?;
        let place = chunk.binary_search_by_key(key, |it| it.0).ok()?;
        let (_, value) = chunk.remove(place);
        if chunk.is_empty() {
            self.chunks.remove(at);
        }
        self.len -= 1;
        Some(value)
    }
}
