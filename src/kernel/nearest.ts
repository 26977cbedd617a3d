/** Nearest known name to a misspelt one, by edit distance. */

/** Largest distance at which a name is offered, as a share of its length. */
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
 * Counts the single-character edits between two texts.
 * @param a - one text
 * @param b - another text
 * @returns insertions, deletions and replacements
 */
export function editDistance(a: string, b: string): number {
  const first: readonly number[] = Array.from({ length: b.length + 1 }, (_, index) => index);
  const last = [...a].reduce((row, char) => nextRow(row, char, b), first);
  return last.at(-1) ?? 0;
}

/**
 * Finds the known name that a misspelt one probably means.
 * @param name - name as written
 * @param known - known names
 * @returns the nearest name; undefined if none is near
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
