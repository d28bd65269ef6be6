/** The windows of the burn report and how finely each is counted. */
import {type Milliseconds} from '../model/units.ts';
import {type BurnWindowName} from './types.ts';

/** A window and the length of its buckets. */
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
 * A window's sum holds its whole buckets and the present one, so it reaches back up to one bucket
 * further than its name says: 3.3% for five minutes, 1.7% for an hour, 1.4% for six, 0.4% for 30 days.
 * Finer buckets would cost memory for digits that no operator acts on: these take 406 a service.
 */
export const burnWindows: readonly BurnWindow[] = [
	{name: '5m', milliseconds: 5 * minute, bucketMilliseconds: 10 * second},
	{name: '1h', milliseconds: hour, bucketMilliseconds: minute},
	{name: '6h', milliseconds: 6 * hour, bucketMilliseconds: 5 * minute},
	{name: '30d', milliseconds: 30 * day, bucketMilliseconds: 3 * hour},
];
