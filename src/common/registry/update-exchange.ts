/** Spreads updates of the call engines among the VMs of a store-led fleet, directly and without the store. */
import {type LoadUpdate} from '../calls/types.ts';
import {type PeerAddress} from '../fleet/types.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {type RegistryContext} from './registry-context.ts';

/**
 * Rounds in which a VM passes an update on: the delay before each, and the number of random VMs that get it. The first
 * round reaches a fleet of hundreds within four hops. The later ones reach VMs that were frozen or cut off for a moment.
 */
const rounds: ReadonlyArray<{readonly delayMilliseconds: Milliseconds; readonly targets: number}> = [
	{delayMilliseconds: 5, targets: 4},
	{delayMilliseconds: 500, targets: 3},
	{delayMilliseconds: 3000, targets: 3},
];

/**
 * Minimum time between two first rounds. Updates come in bursts when backend servers crash, and a message for each would keep
 * a small VM from its calls. Crashes wait less: until they are known, other VMs send the same call to further backend servers.
 */
const sendIntervalMilliseconds: Milliseconds = 100;
const crashIntervalMilliseconds: Milliseconds = 20;

/** Later rounds of all updates are done together, at multiples of this time. */
const laterRoundsMilliseconds: Milliseconds = 1000;

/** Time for which crashes are kept for VMs that start later, as long as call engines use them. */
const crashRetentionMilliseconds: Milliseconds = 600_000;

/** Difference in age from which a clearing of the same call is another one. Ages grow a little less than time on their way. */
const anotherClearingMilliseconds: Milliseconds = 500;

/** Maximum number of stored updates, and of updates in one message. */
const maxUpdates = 512;
const maxUpdatesPerMessage = 64;

type Entry = {
	readonly update: LoadUpdate;
	readonly madeAt: Instant;
	/** Number of rounds done. */
	round: number;
	dueAt: Instant;
};

export type UpdateExchangeOptions = {
	readonly random: RandomSource;
	/** Addresses of all other VMs. */
	readonly peers: () => readonly PeerAddress[];
};

/**
 * Each VM passes an update on once it learns of it, so that no VM is needed for an update to reach the others, and the
 * number of messages of a VM does not grow with the fleet.
 */
export class UpdateExchange {
	private readonly _context: RegistryContext;
	private readonly _random: RandomSource;
	private readonly _peers: () => readonly PeerAddress[];
	private readonly _entries = new Map<string, Entry>();
	private _sentAt: Instant = Number.NEGATIVE_INFINITY;

	constructor(context: RegistryContext, {random, peers}: UpdateExchangeOptions) {
		this._context = context;
		this._random = random;
		this._peers = peers;
	}

	/** Crashes that VMs which start later need to know, with their present age. */
	get crashes(): LoadUpdate[] {
		this._removeExpired();
		return [...this._entries.values()].filter(({update}) => update.crash !== undefined).map(entry => this._aged(entry));
	}

	/** Adds an update of this VM's call engine. */
	addOwn(update: LoadUpdate): void {
		this._add(update, 0);
		this._schedule();
	}

	/** Adds updates from another VM and passes on the new ones. */
	addReceived(updates: readonly LoadUpdate[]): void {
		this._addNew(updates, 0);
		this._schedule();
	}

	/** Adds the crashes that a running VM has sent to this one. All others have them already. */
	addKnownToAll(updates: readonly LoadUpdate[]): void {
		this._addNew(updates, rounds.length);
	}

	private _addNew(updates: readonly LoadUpdate[], round: number): void {
		const added = updates.filter(update => this._add(update, round));
		if (added.length > 0) {
			this._context.emit({type: 'peer-updates', updates: added});
		}
	}

	/** Returns true if the update is new. */
	private _add(update: LoadUpdate, round: number): boolean {
		const key = keyOf(update);
		const madeAt = this._context.now - update.ageMilliseconds;
		const known = this._entries.get(key);
		if (known !== undefined && (update.cleared === undefined || madeAt - known.madeAt < anotherClearingMilliseconds)) {
			return false;
		}

		this._entries.delete(key);
		this._entries.set(key, {
			update, madeAt, round, dueAt: this._dueAt(round, update.crash === undefined ? sendIntervalMilliseconds : crashIntervalMilliseconds),
		});
		if (this._entries.size > maxUpdates) {
			this._entries.delete(this._entries.keys().next().value!);
		}

		if (update.crash !== undefined) {
			this._repeatRelated(key, update.suspects);
		}

		if (update.cleared !== undefined) {
			this._removeCleared(new Set(update.cleared));
		}

		return true;
	}

	/**
	 * Passes on earlier crashes of the same suspects once more: a VM that lets such a call run may have missed them, for
	 * instance because it was cut off.
	 */
	private _repeatRelated(newKey: string, suspects: readonly string[]): void {
		for (const [key, entry] of this._entries) {
			if (key !== newKey && entry.round > 1 && entry.update.crash !== undefined && entry.update.suspects.some(fingerprint => suspects.includes(fingerprint))) {
				entry.round = 1;
				entry.dueAt = this._dueAt(1);
			}
		}
	}

	/** Crashes whose suspects are all cleared are of no use to VMs that start later. */
	private _removeCleared(cleared: ReadonlySet<string>): void {
		for (const [key, {update}] of this._entries) {
			if (update.crash !== undefined && update.suspects.every(fingerprint => cleared.has(fingerprint))) {
				this._entries.delete(key);
			}
		}
	}

	private _schedule(): void {
		const dueAt = Math.min(...Array.from(this._entries.values(), entry => entry.dueAt));
		if (dueAt !== Infinity) {
			this._context.timers.set('updates', dueAt, () => {
				this._send();
			});
		}
	}

	private _send(): void {
		this._removeExpired();
		const {now} = this._context;
		const entries = [...this._entries.values()];
		const isFirstRound = entries.some(({round, dueAt}) => round === 0 && dueAt <= now);
		const due = entries.filter(({round, dueAt}) => dueAt <= now || (isFirstRound && round === 0)).slice(0, maxUpdatesPerMessage);
		const targets = Math.max(0, ...due.map(({round}) => rounds[round]!.targets));
		for (const entry of due) {
			entry.round++;
			entry.dueAt = this._dueAt(entry.round);
		}

		this._sentAt = isFirstRound ? now : this._sentAt;
		const to = this._sample(targets);
		if (to.length > 0 && due.length > 0) {
			this._context.emit({type: 'send-updates', to, updates: due.map(entry => this._aged(entry))});
		}

		this._schedule();
	}

	private _dueAt(round: number, intervalMilliseconds = sendIntervalMilliseconds): Instant {
		const at = this._context.now + (rounds[round]?.delayMilliseconds ?? Infinity);
		return round === 0 ? Math.max(at, this._sentAt + intervalMilliseconds) : Math.ceil(at / laterRoundsMilliseconds) * laterRoundsMilliseconds;
	}

	private _sample(count: number): PeerAddress[] {
		const left = [...this._peers()];
		const chosen: PeerAddress[] = [];
		while (chosen.length < count && left.length > 0) {
			const [address] = left.splice(Math.floor(this._random.next() * left.length), 1);
			chosen.push(address!);
		}

		return chosen;
	}

	private _aged({update, madeAt}: Entry): LoadUpdate {
		return {...update, ageMilliseconds: Math.max(0, this._context.now - madeAt)};
	}

	private _removeExpired(): void {
		for (const [key, {update, madeAt, round}] of this._entries) {
			const isKept = update.crash === undefined ? round < rounds.length : this._context.now - madeAt <= crashRetentionMilliseconds;
			if (!isKept) {
				this._entries.delete(key);
			}
		}
	}
}

function keyOf({identity, report, crash, suspects, cleared}: LoadUpdate): string {
	return JSON.stringify([identity, report?.instance, report?.isLeaving, crash, suspects, cleared]);
}
