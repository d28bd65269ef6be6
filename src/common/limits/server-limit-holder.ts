/** Grants tokens of backend servers' rate limits, at the VM that holds a limit slot. */
import {type Instant} from '../model/units.ts';
import {type ServerAsk, type ServerGrant} from './messages.ts';
import {type BucketSize, TokenBucket} from './token-bucket.ts';

/** Capacity of a bucket: seconds of its limit, and a minimum in tokens. It bounds the calls of a burst after a pause. */
const capacitySeconds = 0.5;
const minCapacity = 3;

/** Maximum number of buckets. Beyond it the one that was used least recently is dropped, and begins empty if it is used again. */
const maxBuckets = 4096;

type AnnouncedBucket = {readonly bucket: TokenBucket; callsPerSecond: number; announcedAt: Instant};

/**
 * Grants the tokens of backend servers' limits. All tokens of a limit come from one bucket, so that their sum does not
 * depend on which VMs each VM knows. The caller checks the right to grant before every ask.
 */
export class ServerLimitHolder {
	/** By process of the backend server, least recently used first. */
	private readonly _buckets = new Map<string, AnnouncedBucket>();
	private readonly _fraction: number;

	/** @param fraction part of each limit that this holder grants */
	constructor(fraction = 1) {
		this._fraction = fraction;
	}

	ask({id, slot, server, callsPerSecond, ageMilliseconds, wanted}: ServerAsk, now: Instant): ServerGrant {
		const {bucket} = this._bucketOf(server, callsPerSecond, now - ageMilliseconds, now);
		const granted = bucket.take(wanted, now);
		return {
			kind: 'server-grant', id, slot, granted, retryAfter: granted > 0 || wanted === 0 ? 0 : bucket.expectedDelay(1, now),
		};
	}

	private _bucketSizeOf(limit: number): BucketSize {
		const callsPerSecond = this._fraction * limit;
		return {
			callsPerSecond, capacity: Math.max(1, this._fraction * minCapacity, capacitySeconds * callsPerSecond), leastLevel: 1, totalCallsPerSecond: callsPerSecond,
		};
	}

	/** The bucket of a process, set to the latest announcement that any VM has passed on. */
	private _bucketOf(server: string, callsPerSecond: number, announcedAt: Instant, now: Instant): AnnouncedBucket {
		const known = this._buckets.get(server) ?? {bucket: new TokenBucket(this._bucketSizeOf(callsPerSecond), now), callsPerSecond, announcedAt};
		if (announcedAt > known.announcedAt) {
			known.announcedAt = announcedAt;
			if (callsPerSecond !== known.callsPerSecond) {
				known.callsPerSecond = callsPerSecond;
				known.bucket.configure(this._bucketSizeOf(callsPerSecond), now);
			}
		}

		this._buckets.delete(server);
		this._buckets.set(server, known);
		for (const oldest of this._buckets.keys()) {
			if (this._buckets.size <= maxBuckets) {
				break;
			}

			this._buckets.delete(oldest);
		}

		return known;
	}
}
