//! Reference evaluation of queries, by a full scan of the data set. Answers of the system are checked against it.

use std::collections::HashSet;

use crate::{
    lab::dataset::{Dataset, shard_of, words},
    wire::caller::{Answer, Row},
};

/// All rows of the version that contain all words of the text, sorted by id.
pub fn full_scan(dataset: Dataset, index: &str, version: u64, text: &str) -> Vec<Row> {
    let query_words: HashSet<String> = words(text).collect();
    dataset
        .version(index, version)
        .filter(|row| {
            let row_words: HashSet<String> = words(&row.text).collect();
            query_words.is_subset(&row_words)
        })
        .collect()
}

/// Whether an answer has exactly the rows of the shards that it claims to cover, and its shard counts add up.
/// `all_rows` are the matching rows of all shards.
pub fn is_correct(answer: &Answer, all_rows: &[Row]) -> bool {
    let missing: HashSet<u32> = answer.missing.iter().map(|it| it.shard).collect();
    if answer.total == 0 || answer.covered as usize + missing.len() != answer.total as usize {
        return answer.total == 0 && answer.rows.is_empty() && answer.covered == 0;
    }
    let expected = all_rows.iter().filter(|it| !missing.contains(&shard_of(it.id, answer.total)));
    answer.rows.iter().eq(expected)
}
