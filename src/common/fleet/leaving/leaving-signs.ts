/**
 * Signs that backend servers leave, on their way to all VMs. The first sign that any VM has is pushed at once and
 * passed on by each VM at its first receipt; it needs no store, so an outage does not hold it up.
 */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type LeavingRumour} from '../peer-messages.ts';
import {type LeavingSign} from '../types.ts';

/** Largest number of signs kept; each is about 100 bytes. Past it the oldest goes: its server was told of long ago. */
const mostSigns = 10_000;

/** A sign not renewed for so long is forgotten; a server that still leaves says so on each answer. */
const signMilliseconds: Milliseconds = 600_000;

/**
 * A sign that names no process could bind a later one under the same resource. It holds only this long:
 * enough for every VM to stop new work, short enough for a server that returned at once.
 */
const namelessSignMilliseconds: Milliseconds = 15_000;

/** Sends of one sign on probes, after the first push. */
const mostSends = 10;

/** Older signs reach a VM that was away so long with its join; about them VMs may differ for good. */
const digestMilliseconds: Milliseconds = 60_000;
const digestModulus = 2_147_483_647;

/** How late the words of a process that has gone may come in: longer than any way through the fleet. */
const lateWordMilliseconds: Milliseconds = 1000;

/** Replaced processes remembered for each resource: more restarts than this within a sign's lifetime are rare. */
const rememberedProcesses = 4;

type Sign = {readonly sign: LeavingSign; readonly firstAt: Instant; timesSent: number};

export class LeavingSigns {
	private readonly _signs = new Map<string, Sign>();
	/** The process last seen not leaving: a sign for another one comes from before its start. */
	private readonly _returned = new Map<string, string>();
	/** Processes that left and were replaced, the latest last: a VM that was away may still tell of them. */
	private readonly _replaced = new Map<string, readonly string[]>();
	private readonly _onFirst: (sign: LeavingSign) => void;

	constructor(private readonly _context: FleetContext, onFirst: (sign: LeavingSign) => void) {
		this._onFirst = onFirst;
	}

	get signs(): readonly LeavingSign[] {
		this._forgetOld();
		return [...this._signs.values()].map(({sign}) => sign);
	}

	/** A sign seen by this VM or told by another; `ageMilliseconds` since the first. */
	take(sign: LeavingSign, ageMilliseconds: Milliseconds): void {
		this._forgetOld();
		const key = this._key(sign);
		const returned = this._returned.get(sign.identity);
		// Guard: an old sign of a server that has come back as a new process must not stop the new one.
		const isReplaced = sign.instance !== undefined && this._replaced.get(sign.identity)?.includes(sign.instance) === true;
		const isOld = sign.source === 'peer' && (isReplaced || (returned !== undefined && sign.instance !== returned));
		if (isOld || this._signs.has(key) || ageMilliseconds > this._lifetime(sign)) {
			return;
		}

		this._returned.delete(sign.identity);
		this._signs.set(key, {sign, firstAt: this._context.now - ageMilliseconds, timesSent: 0});
		if (this._signs.size > mostSigns) {
			this._signs.delete(this._signs.keys().next().value!);
		}

		this._onFirst(sign);
	}

	/**
	 * A report from a process that does not leave: signs of other processes of this resource are void. Guard: the
	 * last words of a forerunner come late; taken for a return they would void the sign of the one that leaves now.
	 * So a report counts only if it was made well after the sign.
	 */
	takeReturn(identity: string, instance: string, ageMilliseconds: Milliseconds): void {
		const madeAt = this._context.now - ageMilliseconds;
		const old = [...this._signs].filter(([, {sign, firstAt}]) => sign.identity === identity && sign.instance !== instance && madeAt >= firstAt + lateWordMilliseconds);
		for (const [key] of old) {
			this._signs.delete(key);
		}

		if (old.length > 0) {
			const gone = old.flatMap(([, {sign}]) => sign.instance ?? []);
			this._replaced.set(identity, [...this._replaced.get(identity) ?? [], ...gone].slice(-rememberedProcesses));
			this._returned.set(identity, instance);
		}
	}

	/** Drops what belongs to resources that are no longer declared. */
	keepOnly(isDeclared: (identity: string) => boolean): void {
		for (const [key, {sign}] of this._signs) {
			if (!isDeclared(sign.identity)) {
				this._signs.delete(key);
			}
		}

		for (const identity of this._replaced.keys()) {
			if (!isDeclared(identity)) {
				this._replaced.delete(identity);
				this._returned.delete(identity);
			}
		}
	}

	/** Signs worth sending, the least sent first. */
	takeRumours(most: number): LeavingRumour[] {
		this._forgetOld();
		const waiting = [...this._signs.values()].filter(({timesSent}) => timesSent < mostSends).toSorted((a, b) => a.timesSent - b.timesSent).slice(0, most);
		return waiting.map(entry => {
			entry.timesSent += 1;
			return this._rumour(entry);
		});
	}

	/** The latest signs, for a VM that was not there when they went round. */
	all(most: number): LeavingRumour[] {
		this._forgetOld();
		return [...this._signs.values()].slice(-most).map(entry => this._rumour(entry));
	}

	/** The same on two VMs that know the same signs of the last minute; a difference is settled by telling all. */
	digest(): number {
		const young = [...this._signs].filter(([, {firstAt}]) => this._context.now - firstAt < digestMilliseconds);
		let sum = 0;
		for (const [key] of young) {
			sum = (sum + this._context.hash(key)) % digestModulus;
		}

		return sum;
	}

	private _rumour({sign, firstAt}: Sign): LeavingRumour {
		return {
			identity: sign.identity,
			...(sign.instance === undefined ? {} : {instance: sign.instance}),
			ageMilliseconds: this._context.now - firstAt,
		};
	}

	private _key({identity, instance}: LeavingSign): string {
		return `${identity} ${instance ?? ''}`;
	}

	private _lifetime({instance}: LeavingSign): Milliseconds {
		return instance === undefined ? namelessSignMilliseconds : signMilliseconds;
	}

	private _forgetOld(): void {
		for (const [key, {sign, firstAt}] of this._signs) {
			if (this._context.now - firstAt > this._lifetime(sign)) {
				this._signs.delete(key);
			}
		}
	}
}
