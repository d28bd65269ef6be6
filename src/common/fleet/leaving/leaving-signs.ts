/**
 * Stores and spreads leaving signs, the evidence that a process of a backend server is shutting down. The first VM with a
 * sign pushes it at once, and each VM passes it on when it first receives it. This needs no store, so it works in an outage.
 */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type LeavingRumour} from '../peer-messages.ts';
import {type LeavingSign} from '../types.ts';

/** Maximum number of signs; each takes about 100 bytes. Beyond it the oldest is removed, which has long reached all VMs. */
const maxSigns = 10_000;

/** A sign expires after this time; a server that is still leaving marks each of its responses, which adds the sign again. */
const signTtlMilliseconds: Milliseconds = 600_000;

/**
 * Lifetime of a sign without a process identity, which could wrongly apply to a later process of the same resource. It is
 * long enough for every VM to stop assigning calls, and short enough for a server that returns at once.
 */
const instancelessSignTtlMilliseconds: Milliseconds = 15_000;

/** How often one sign is sent on probes and other rumour messages. */
const maxSends = 10;

/** Age up to which signs count in the digest. A VM that was away for longer gets older signs with its join, and the VMs may differ in them permanently. */
const digestWindowMilliseconds: Milliseconds = 60_000;
const digestModulus = 2_147_483_647;

/** Longest delay of a report from a process that has ended; exceeds any path through the fleet. */
const maxReportDelayMilliseconds: Milliseconds = 1000;

/** Replaced processes stored for each resource; more restarts than this within a sign's lifetime are rare. */
const maxReplacedInstances = 4;

type Sign = {readonly sign: LeavingSign; readonly firstSeenAt: Instant; sendCount: number};

export class LeavingSigns {
	private readonly _signs = new Map<string, Sign>();
	/** For each resource, the process last seen not leaving; a peer's sign for another process predates its start. */
	private readonly _returnedInstances = new Map<string, string>();
	/** For each resource, the processes that left and were replaced, the latest last; a VM that was away may still send signs for them. */
	private readonly _replacedInstances = new Map<string, readonly string[]>();
	private readonly _onNewSign: (sign: LeavingSign) => void;

	constructor(private readonly _context: FleetContext, onNewSign: (sign: LeavingSign) => void) {
		this._onNewSign = onNewSign;
	}

	get signs(): readonly LeavingSign[] {
		this._removeExpired();
		return [...this._signs.values()].map(({sign}) => sign);
	}

	/** Adds a sign seen by this VM or received from another; `ageMilliseconds` is the time since the sign was first seen. */
	add(sign: LeavingSign, ageMilliseconds: Milliseconds): void {
		this._removeExpired();
		const key = this._key(sign);
		const returned = this._returnedInstances.get(sign.identity);
		// Guards the new process of a returned server against signs for its previous processes.
		const isReplaced = sign.instance !== undefined && this._replacedInstances.get(sign.identity)?.includes(sign.instance) === true;
		const isOutdated = sign.source === 'peer' && (isReplaced || (returned !== undefined && sign.instance !== returned));
		if (isOutdated || this._signs.has(key) || ageMilliseconds > this._ttl(sign)) {
			return;
		}

		this._returnedInstances.delete(sign.identity);
		this._signs.set(key, {sign, firstSeenAt: this._context.now - ageMilliseconds, sendCount: 0});
		if (this._signs.size > maxSigns) {
			this._signs.delete(this._signs.keys().next().value!);
		}

		this._onNewSign(sign);
	}

	/**
	 * Handles a report of a process that is not leaving: it voids the signs for other processes of the resource. A late
	 * report of a previous process must not void the sign for the process that is leaving now, so a report counts only if
	 * it was made at least `maxReportDelayMilliseconds` after the sign.
	 */
	handleReturn(identity: string, instance: string, ageMilliseconds: Milliseconds): void {
		const madeAt = this._context.now - ageMilliseconds;
		const voided = [...this._signs].filter(([, {sign, firstSeenAt}]) => sign.identity === identity && sign.instance !== instance && madeAt >= firstSeenAt + maxReportDelayMilliseconds);
		for (const [key] of voided) {
			this._signs.delete(key);
		}

		if (voided.length > 0) {
			const replacedInstances = voided.flatMap(([, {sign}]) => sign.instance ?? []);
			this._replacedInstances.set(identity, [...this._replacedInstances.get(identity) ?? [], ...replacedInstances].slice(-maxReplacedInstances));
			this._returnedInstances.set(identity, instance);
		}
	}

	/** Removes the state of resources that are no longer declared. */
	retainDeclared(isDeclared: (identity: string) => boolean): void {
		for (const [key, {sign}] of this._signs) {
			if (!isDeclared(sign.identity)) {
				this._signs.delete(key);
			}
		}

		for (const identity of this._replacedInstances.keys()) {
			if (!isDeclared(identity)) {
				this._replacedInstances.delete(identity);
				this._returnedInstances.delete(identity);
			}
		}
	}

	/** Signs below the send limit, the least sent first. Counts them as sent. */
	nextRumours(limit: number): LeavingRumour[] {
		this._removeExpired();
		const pending = [...this._signs.values()].filter(({sendCount}) => sendCount < maxSends).toSorted((a, b) => a.sendCount - b.sendCount).slice(0, limit);
		return pending.map(entry => {
			entry.sendCount += 1;
			return this._rumour(entry);
		});
	}

	/** The latest signs, for a VM that was away when they were spread. */
	latest(limit: number): LeavingRumour[] {
		this._removeExpired();
		return [...this._signs.values()].slice(-limit).map(entry => this._rumour(entry));
	}

	/** Digest of the signs of the last minute: equal on two VMs with the same signs. VMs whose digests differ exchange all signs. */
	digest(): number {
		const recent = [...this._signs].filter(([, {firstSeenAt}]) => this._context.now - firstSeenAt < digestWindowMilliseconds);
		let sum = 0;
		for (const [key] of recent) {
			sum = (sum + this._context.hash(key)) % digestModulus;
		}

		return sum;
	}

	private _rumour({sign, firstSeenAt}: Sign): LeavingRumour {
		return {
			identity: sign.identity,
			...(sign.instance === undefined ? {} : {instance: sign.instance}),
			ageMilliseconds: this._context.now - firstSeenAt,
		};
	}

	private _key({identity, instance}: LeavingSign): string {
		return `${identity} ${instance ?? ''}`;
	}

	private _ttl({instance}: LeavingSign): Milliseconds {
		return instance === undefined ? instancelessSignTtlMilliseconds : signTtlMilliseconds;
	}

	private _removeExpired(): void {
		for (const [key, {sign, firstSeenAt}] of this._signs) {
			if (this._context.now - firstSeenAt > this._ttl(sign)) {
				this._signs.delete(key);
			}
		}
	}
}
