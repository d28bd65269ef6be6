/**
 * Signs that backend servers leave, on their way to all VMs. The first sign that any VM has is pushed at once and
 * passed on by each VM at its first receipt; it needs no store, so an outage does not hold it up.
 */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type LeavingRumour} from '../peer-messages.ts';
import {type LeavingSign} from '../types.ts';

/** Largest number of signs kept; each is about 100 bytes. Past it the oldest goes: its server was told of long ago. */
const maxSigns = 10_000;

/** A sign not renewed for so long is forgotten; a server that still leaves says so on each answer. */
const signTtlMilliseconds: Milliseconds = 600_000;

/**
 * A sign that names no process could bind a later one under the same resource. It holds only this long:
 * enough for every VM to stop new work, short enough for a server that returned at once.
 */
const instancelessSignTtlMilliseconds: Milliseconds = 15_000;

/** Sends of one sign on probes, after the first push. */
const maxSends = 10;

/** Older signs reach a VM that was away so long with its join; about them VMs may differ for good. */
const digestWindowMilliseconds: Milliseconds = 60_000;
const digestModulus = 2_147_483_647;

/** How late the words of a process that has gone may come in: longer than any way through the fleet. */
const maxReportDelayMilliseconds: Milliseconds = 1000;

/** Replaced processes remembered for each resource: more restarts than this within a sign's lifetime are rare. */
const maxReplacedInstances = 4;

type Sign = {readonly sign: LeavingSign; readonly firstSeenAt: Instant; sendCount: number};

export class LeavingSigns {
	private readonly _signs = new Map<string, Sign>();
	/** The process last seen not leaving: a sign for another one comes from before its start. */
	private readonly _returnedInstances = new Map<string, string>();
	/** Processes that left and were replaced, the latest last: a VM that was away may still tell of them. */
	private readonly _replacedInstances = new Map<string, readonly string[]>();
	private readonly _onNewSign: (sign: LeavingSign) => void;

	constructor(private readonly _context: FleetContext, onNewSign: (sign: LeavingSign) => void) {
		this._onNewSign = onNewSign;
	}

	get signs(): readonly LeavingSign[] {
		this._removeExpired();
		return [...this._signs.values()].map(({sign}) => sign);
	}

	/** A sign seen by this VM or told by another; `ageMilliseconds` since the first. */
	add(sign: LeavingSign, ageMilliseconds: Milliseconds): void {
		this._removeExpired();
		const key = this._key(sign);
		const returned = this._returnedInstances.get(sign.identity);
		// Guard: an old sign of a server that has come back as a new process must not stop the new one.
		const isReplaced = sign.instance !== undefined && this._replacedInstances.get(sign.identity)?.includes(sign.instance) === true;
		const isOld = sign.source === 'peer' && (isReplaced || (returned !== undefined && sign.instance !== returned));
		if (isOld || this._signs.has(key) || ageMilliseconds > this._ttl(sign)) {
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
	 * A report from a process that does not leave: signs of other processes of this resource are void. Guard: the
	 * last words of a forerunner come late; taken for a return they would void the sign of the one that leaves now.
	 * So a report counts only if it was made well after the sign.
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

	/** Drops what belongs to resources that are no longer declared. */
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

	/** Signs worth sending, the least sent first. */
	nextRumours(limit: number): LeavingRumour[] {
		this._removeExpired();
		const pending = [...this._signs.values()].filter(({sendCount}) => sendCount < maxSends).toSorted((a, b) => a.sendCount - b.sendCount).slice(0, limit);
		return pending.map(entry => {
			entry.sendCount += 1;
			return this._rumour(entry);
		});
	}

	/** The latest signs, for a VM that was not there when they went round. */
	latest(limit: number): LeavingRumour[] {
		this._removeExpired();
		return [...this._signs.values()].slice(-limit).map(entry => this._rumour(entry));
	}

	/** The same on two VMs that know the same signs of the last minute; a difference is settled by telling all. */
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
