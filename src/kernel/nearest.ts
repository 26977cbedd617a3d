/** Suggests known names for misspelt ones, by edit distance. */

/** Largest edit distance of a suggested name, as a fraction of the length of the misspelt one. */
const MAX_DISTANCE_RATIO = 0.4;

function nextRow(row: readonly number[], char: string, other: string): readonly number[] {
  const next = [(row[0] ?? 0) + 1];
  for (let column = 1; column <= other.length; column += 1) {
    const replaced = (row[column - 1] ?? 0) + (other[column - 1] === char ? 0 : 1);
    next.push(Math.min(replaced, (row[column] ?? 0) + 1, (next[column - 1] ?? 0) + 1));
  }
  return next;
}

/**
 * Computes the edit distance (Levenshtein distance) between two texts.
 * @param a - one text
 * @param b - another text
 * @returns the least number of single-character insertions, deletions and replacements
 */
export function editDistance(a: string, b: string): number {
  const first: readonly number[] = Array.from({ length: b.length + 1 }, (_, index) => index);
  const last = [...a].reduce((row, char) => nextRow(row, char, b), first);
  return last.at(-1) ?? 0;
}

/**
 * Finds the known name that is closest to a misspelt one, ignoring case.
 * @param name - name as written
 * @param known - known names
 * @returns the nearest name; undefined if none is close enough
 */
export function nearestName(name: string, known: readonly string[]): string | undefined {
  const limit = Math.max(1, Math.floor(name.length * MAX_DISTANCE_RATIO));
  const near = known
    .filter((candidate) => Math.abs(candidate.length - name.length) <= limit)
    .map((candidate) => ({
      candidate,
      distance: editDistance(name.toLowerCase(), candidate.toLowerCase()),
    }))
    .filter(({ distance }) => distance <= limit)
    .sort((a, b) => a.distance - b.distance);
  return near[0]?.candidate;
}
