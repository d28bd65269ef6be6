/** Linear regression of measured points. */
import {type Point, type Slope} from './types.ts';

/** Fits a line by least squares; its slope is 0 if all points have the same size. */
export function fitSlope(description: Pick<Slope, 'name' | 'against' | 'unit'>, points: readonly Point[]): Slope {
	const meanSize = points.reduce((sum, {size}) => sum + size, 0) / points.length;
	const meanValue = points.reduce((sum, {value}) => sum + value, 0) / points.length;
	const covariance = points.reduce((sum, {size, value}) => sum + ((size - meanSize) * (value - meanValue)), 0);
	const variance = points.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
	const slope = variance === 0 ? 0 : covariance / variance;
	return {
		...description, slope, fixed: meanValue - (slope * meanSize), points: [...points],
	};
}
