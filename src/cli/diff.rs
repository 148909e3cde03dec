//! Compares two texts line by line, and writes times.

/// The most pairs of lines that are compared for a shortest difference.
const MAX_PAIRS: usize = 4_000_000;

/// Returns the lines that are removed (`-`) and added (`+`), each with its number.
pub fn changes(old: &str, new: &str) -> Vec<String> {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let start = old.iter().zip(&new).take_while(|(old, new)| old == new).count();
    let (old_rest, new_rest) = (&old[start..], &new[start..]);
    let end = old_rest.iter().rev().zip(new_rest.iter().rev());
    let end = end.take_while(|(old, new)| old == new).count();
    let old_rest = &old_rest[..old_rest.len() - end];
    let new_rest = &new_rest[..new_rest.len() - end];
    let mut changes = Vec::new();
    let (mut at_old, mut at_new) = (0, 0);
    for (kept_old, kept_new) in common(old_rest, new_rest) {
        removed(&old_rest[at_old..kept_old], start + at_old, &mut changes);
        added(&new_rest[at_new..kept_new], start + at_new, &mut changes);
        (at_old, at_new) = (kept_old + 1, kept_new + 1);
    }
    removed(&old_rest[at_old..], start + at_old, &mut changes);
    added(&new_rest[at_new..], start + at_new, &mut changes);
    changes
}

fn removed(lines: &[&str], from: usize, changes: &mut Vec<String>) {
    let lines = lines.iter().enumerate();
    changes.extend(lines.map(|(index, line)| format!("-{}: {line}", from + index + 1)));
}

fn added(lines: &[&str], from: usize, changes: &mut Vec<String>) {
    let lines = lines.iter().enumerate();
    changes.extend(lines.map(|(index, line)| format!("+{}: {line}", from + index + 1)));
}

/// Returns the positions of a longest common subsequence; none if the texts are too long for it.
fn common(old: &[&str], new: &[&str]) -> Vec<(usize, usize)> {
    if old.len().saturating_mul(new.len()) > MAX_PAIRS {
        return Vec::new();
    }
    let width = new.len() + 1;
    let mut lengths = vec![0_u32; (old.len() + 1) * width];
    for row in (0..old.len()).rev() {
        for column in (0..new.len()).rev() {
            lengths[row * width + column] = if old[row] == new[column] {
                lengths[(row + 1) * width + column + 1] + 1
            } else {
                lengths[(row + 1) * width + column].max(lengths[row * width + column + 1])
            };
        }
    }
    let mut pairs = Vec::new();
    let (mut row, mut column) = (0, 0);
    while row < old.len() && column < new.len() {
        if old[row] == new[column] {
            pairs.push((row, column));
            (row, column) = (row + 1, column + 1);
        } else if lengths[(row + 1) * width + column] >= lengths[row * width + column + 1] {
            row += 1;
        } else {
            column += 1;
        }
    }
    pairs
}

/// Milliseconds of a day.
const DAY_MS: u64 = 86_400_000;

/// Formats a time since the Unix epoch as a date and time in UTC.
///
/// The date follows Howard Hinnant, "chrono-Compatible Low-Level Date Algorithms",
/// `civil_from_days`, for days since the epoch.
pub fn time_text(time_ms: u64) -> String {
    let (days, rest) = (time_ms / DAY_MS, time_ms % DAY_MS);
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_index = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_index + 2) / 5 + 1;
    let month = if month_index < 10 { month_index + 3 } else { month_index - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    let (hour, minute) = (rest / 3_600_000, rest / 60_000 % 60);
    let (second, ms) = (rest / 1_000 % 60, rest % 1_000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{ms:03}Z")
}
