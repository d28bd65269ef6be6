/** Token buckets of one limit slot, by which its holder grants the calls of organisations. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type OrganisationLimit} from '../organisations/types.ts';
import {type Ask, type Grant, limitSlotCount} from './messages.ts';
import {type BucketSize, TokenBucket} from './token-bucket.ts';

/**
 * A token is granted from this level on, and the level falls below zero by the rest. If the three buckets have a whole token together, one of them
 * has this much; if each waited for a whole one, small organisations would be refused with up to three tokens left.
 * Over all slots at most two calls more than the limit are granted.
 */
const leastLevel = 1 / limitSlotCount;

/** Retry delay for an organisation that the holder's configuration does not limit: the VMs have different versions for a moment. */
const unknownRetryMilliseconds: Milliseconds = 500;

/** A VM that asked nothing for this long is forgotten; far longer than a datagram stays in a network. */
const askerMilliseconds: Milliseconds = 10_000;

/** VMs that are remembered, several times the largest fleet: senders with forged addresses must not fill the memory. */
const maxAskers = 4096;

/** Ids up to this far below the last one of a VM are repeated or late. A restarted process begins at a random id far away. */
const lateIds = 1000;

/** Size of an organisation's bucket in one slot. */
function bucketSizeOf({callsPerSecond, burst}: OrganisationLimit): BucketSize {
	return {
		callsPerSecond: callsPerSecond / limitSlotCount, capacity: Math.max(1, burst) / limitSlotCount, leastLevel, totalCallsPerSecond: callsPerSecond,
	};
}

/** Grants the tokens of one slot. The caller checks the right to grant before every ask. */
export class LimitHolder {
	readonly slot: number;
	private readonly _buckets = new Map<string, TokenBucket>();
	/** Last id of each VM that asked, oldest ask first. */
	private readonly _askers = new Map<string, {readonly id: number; readonly at: Instant}>();

	constructor(slot: number, limits: ReadonlyMap<string, OrganisationLimit>, now: Instant) {
		this.slot = slot;
		this.configure(limits, now);
	}

	configure(limits: ReadonlyMap<string, OrganisationLimit>, now: Instant): void {
		for (const name of this._buckets.keys()) {
			if (!limits.has(name)) {
				this._buckets.delete(name);
			}
		}

		for (const [name, limit] of limits) {
			const bucket = this._buckets.get(name);
			if (bucket === undefined) {
				this._buckets.set(name, new TokenBucket(bucketSizeOf(limit), now));
			} else {
				bucket.configure(bucketSizeOf(limit), now);
			}
		}
	}

	/**
	 * Takes tokens for an ask of the VM at `from`. Returns undefined for a datagram that was delivered twice or too late:
	 * its returned tokens must not be counted twice, and the VM no longer waits for its answer.
	 */
	ask({id, wants}: Ask, from: string, now: Instant): Grant | undefined {
		this._forgetAskers(now);
		const last = this._askers.get(from);
		if (last === undefined && this._askers.size >= maxAskers) {
			return undefined;
		}

		if (last !== undefined && id <= last.id && id > last.id - lateIds) {
			return undefined;
		}

		this._askers.delete(from);
		this._askers.set(from, {id, at: now});
		return {
			kind: 'grant', id, slot: this.slot, grants: wants.map(([name, wanted, returned]) => this._grant(name, wanted, returned, now)),
		};
	}

	private _grant(name: string, wanted: number, returned: number, now: Instant): Grant['grants'][number] {
		const bucket = this._buckets.get(name);
		if (bucket === undefined) {
			return [name, 0, wanted === 0 ? 0 : unknownRetryMilliseconds];
		}

		bucket.giveBack(returned, now);
		const granted = bucket.take(wanted, now);
		return [name, granted, granted === wanted ? 0 : bucket.expectedDelay(wanted - granted, now)];
	}

	private _forgetAskers(now: Instant): void {
		for (const [from, {at}] of this._askers) {
			if (now - at < askerMilliseconds) {
				return;
			}

			this._askers.delete(from);
		}
	}
}
