/** Token buckets of the limits that backend servers announce, for those whose bucket is in one slot. */
import {type Instant} from '../model/units.ts';
import {type ServerAsk, type ServerGrant} from './messages.ts';
import {type BucketSize, TokenBucket} from './token-bucket.ts';

/** A bucket that fills for this long without a call is full; a small one holds a few tokens, since few VMs ask at the same time. */
const capacitySeconds = 0.5;
const minCapacity = 3;

/** Buckets that are kept: several times the backend servers that are in need at a time. A forgotten one begins empty. */
const maxBuckets = 4096;

type AnnouncedBucket = {readonly bucket: TokenBucket; callsPerSecond: number; announcedAt: Instant};

function bucketSizeOf(callsPerSecond: number): BucketSize {
	return {
		callsPerSecond, capacity: Math.max(minCapacity, capacitySeconds * callsPerSecond), leastLevel: 1, totalCallsPerSecond: callsPerSecond,
	};
}

/**
 * Grants the tokens of backend servers' limits. All tokens of a limit come from one bucket, so that their sum does not
 * depend on which VMs each VM knows. The caller checks the right to grant before every ask.
 */
export class ServerLimitHolder {
	/** By process of the backend server; the one that was asked for last comes last. */
	private readonly _buckets = new Map<string, AnnouncedBucket>();

	ask({id, slot, server, callsPerSecond, ageMilliseconds, wanted}: ServerAsk, now: Instant): ServerGrant {
		const {bucket} = this._bucketOf(server, callsPerSecond, now - ageMilliseconds, now);
		const granted = bucket.take(wanted, now);
		return {
			kind: 'server-grant', id, slot, granted, retryAfter: granted > 0 || wanted === 0 ? 0 : bucket.expectedDelay(1, now),
		};
	}

	/** The bucket, at the rate that was announced last to any VM that asked. */
	private _bucketOf(server: string, callsPerSecond: number, announcedAt: Instant, now: Instant): AnnouncedBucket {
		const known = this._buckets.get(server) ?? {bucket: new TokenBucket(bucketSizeOf(callsPerSecond), now), callsPerSecond, announcedAt};
		if (announcedAt > known.announcedAt) {
			known.announcedAt = announcedAt;
			if (callsPerSecond !== known.callsPerSecond) {
				known.callsPerSecond = callsPerSecond;
				known.bucket.configure(bucketSizeOf(callsPerSecond), now);
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
