/** Windows of the burn report and the length of their buckets. */
import {type Milliseconds} from '../model/units.ts';
import {type BurnWindowName} from './types.ts';

export type BurnWindow = {
	readonly name: BurnWindowName;
	readonly milliseconds: Milliseconds;
	readonly bucketMilliseconds: Milliseconds;
};

const second = 1000;
const minute = 60 * second;
const hour = 60 * minute;
const day = 24 * hour;

/**
 * The sum of a window includes its full buckets and the current one, so it covers up to one bucket more than the window:
 * 3.3 % for five minutes, 1.7 % for an hour, 1.4 % for six hours, 0.4 % for 30 days. Finer buckets would use memory for a
 * precision that no operator needs; these need 406 buckets per service.
 */
export const burnWindows: readonly BurnWindow[] = [
	{name: '5m', milliseconds: 5 * minute, bucketMilliseconds: 10 * second},
	{name: '1h', milliseconds: hour, bucketMilliseconds: minute},
	{name: '6h', milliseconds: 6 * hour, bucketMilliseconds: 5 * minute},
	{name: '30d', milliseconds: 30 * day, bucketMilliseconds: 3 * hour},
];
