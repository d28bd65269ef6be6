/** Spreads updates of the call engines among the VMs of a store-led fleet, directly and without the store. */
import {type LoadUpdate} from '../calls/types.ts';
import {type PeerAddress} from '../fleet/types.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {type EvidenceStore} from './evidence-store.ts';
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
 * a small VM from its calls. Crashes and rate limits wait less: until they are known, other VMs send the same call to further
 * backend servers, or too many calls to a limited one.
 */
const sendIntervalMilliseconds: Milliseconds = 100;
const urgentIntervalMilliseconds: Milliseconds = 20;

/** Later rounds of all updates are done together, at multiples of this time. */
const laterRoundsMilliseconds: Milliseconds = 1000;

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
	/** Stores updates that VMs may have missed. */
	readonly evidence: EvidenceStore;
};

/**
 * Each VM passes an update on once it learns of it, so that no VM is needed for an update to reach the others, and the
 * number of messages of a VM does not grow with the fleet.
 */
export class UpdateExchange {
	private readonly _context: RegistryContext;
	private readonly _random: RandomSource;
	private readonly _peers: () => readonly PeerAddress[];
	private readonly _evidence: EvidenceStore;
	private readonly _entries = new Map<string, Entry>();
	private _sentAt: Instant = Number.NEGATIVE_INFINITY;

	constructor(context: RegistryContext, {random, peers, evidence}: UpdateExchangeOptions) {
		this._context = context;
		this._random = random;
		this._peers = peers;
		this._evidence = evidence;
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

	/** Adds crashes and cleared calls that other VMs have already; returns those that are new here. */
	addKnownToAll(updates: readonly LoadUpdate[]): LoadUpdate[] {
		return this._addNew(updates, rounds.length);
	}

	private _addNew(updates: readonly LoadUpdate[], round: number): LoadUpdate[] {
		const added = updates.filter(update => this._add(update, round));
		if (added.length > 0) {
			this._context.emit({type: 'peer-updates', updates: added});
		}

		return added;
	}

	/** Returns true if the update is new. */
	private _add(update: LoadUpdate, round: number): boolean {
		const key = keyOf(update);
		const isKnown = isEvidence(update) ? !this._evidence.add(update, this._context.now) : this._entries.has(key);
		if (isKnown || round >= rounds.length) {
			return !isKnown;
		}

		this._entries.delete(key);
		this._entries.set(key, {
			update, madeAt: this._context.now - update.ageMilliseconds, round, dueAt: this._dueAt(round, isUrgent(update) ? urgentIntervalMilliseconds : sendIntervalMilliseconds),
		});
		if (this._entries.size > maxUpdates) {
			this._entries.delete(this._entries.keys().next().value!);
		}

		return true;
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
		this._removeSent();
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

	private _removeSent(): void {
		for (const [key, {round}] of this._entries) {
			if (round >= rounds.length) {
				this._entries.delete(key);
			}
		}
	}
}

/** Whether the update is kept as evidence. */
function isEvidence({crash, isCrashCertain, cleared, rateLimit}: LoadUpdate): boolean {
	return (crash !== undefined && isCrashCertain === true) || cleared !== undefined || rateLimit !== undefined;
}

function isUrgent({crash, rateLimit}: LoadUpdate): boolean {
	return crash !== undefined || rateLimit !== undefined;
}

/** A later advertisement on the rate limit of a process replaces an earlier one that is not sent yet. */
function keyOf({identity, report, crash, suspects, cleared, rateLimit}: LoadUpdate): string {
	return JSON.stringify([identity, report?.instance, report?.isLeaving, crash, suspects, cleared, rateLimit?.process]);
}
