/** Marginal costs, computed as slopes of measurements at several sizes. */
import type { Figure } from './figure.js';

/** A cost measured at one size. */
export interface Point {
  readonly size: number;
  readonly cost: number;
}

/**
 * Fits a line through points by least squares.
 * @param points - measurements at three sizes or more
 * @returns the slope: cost of one further unit of size
 */
export function slopeOf(points: readonly Point[]): number {
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / points.length;
  const meanCost = points.reduce((sum, { cost }) => sum + cost, 0) / points.length;
  const spread = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const shared = points.reduce(
    (sum, { size, cost }) => sum + (size - meanSize) * (cost - meanCost),
    0,
  );
  return shared / spread;
}

/**
 * Creates the figures of a slope: one for each measurement, then the slope.
 * @param name - name of the slope, without the prefix `slopes.`
 * @param unit - unit of the cost
 * @param points - measurements
 * @returns the figures
 */
export function slopeFigures(
  name: string,
  unit: string,
  points: readonly Point[],
): readonly Figure[] {
  const measured = points.map(({ size, cost }) => ({
    name: `slopes.${name}.at-${size}`,
    value: cost,
    unit,
  }));
  return [...measured, { name: `slopes.${name}`, value: slopeOf(points), unit: `${unit} each` }];
}
