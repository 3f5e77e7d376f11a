//! Records, of which the results of shards consist.

use bytes::Bytes;

/// Length of a record, in bytes.
pub(super) const RECORD_BYTES: usize = 16;

/// The greatest `top` records of all results, greatest first. An incomplete record at the end of a result is ignored.
pub fn merge_records<'a>(results: impl Iterator<Item = &'a [u8]>, top: usize) -> Bytes {
    let mut records: Vec<&[u8]> = results.flat_map(|it| it.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    records.concat().into()
}
