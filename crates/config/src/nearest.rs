//! Finds the known name that is most similar to a mistyped one.

/// Returns the known name closest to `unknown`, if at most a third of the letters differ.
pub(crate) fn nearest<'a>(unknown: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    // A name that long can't be close to a known one, and computing a distance costs the product of both lengths.
    let length = unknown.chars().count();
    if length > 64 {
        return None;
    }
    known
        .map(|name| (distance(unknown, name), name))
        .filter(|(edits, name)| *edits <= name.len().max(length).div_ceil(3))
        .min()
        .map(|(_, name)| name)
}

// Returns the Levenshtein distance, computed row by row.
fn distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.chars().count()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.chars().enumerate() {
            let replaced = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[row.len() - 1]
}
