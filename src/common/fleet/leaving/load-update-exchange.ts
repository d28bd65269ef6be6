/** Spreads load reports, crashes and rate limits of backend servers among the VMs, so that many VMs use one measurement. Bounded in bytes and sends. */
import {type LoadUpdate} from '../../calls/types.ts';
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type FleetContext} from '../fleet-context.ts';

/** Maximum age of reports, beyond which they are of no use for choosing a server, and of crashes, which must reach all VMs. */
const maxReportAgeMilliseconds: Milliseconds = 2000;
const maxCrashAgeMilliseconds: Milliseconds = 30_000;

/** Sends of one update by each VM. Only the VM that made a report sends it, to a few others; a crash is passed on by every VM. */
const maxReportSends = 3;
const maxCrashSends = 8;

/** Maximum number of updates kept; at about 150 bytes each they stay well under a megabyte under any load. */
const maxEntries = 2000;

type Entry = {readonly update: LoadUpdate; readonly madeAt: Instant; readonly maxSends: number; sendCount: number};

/** Whether the update is about calls that crash backend servers, or a rate limit, which all VMs must know. */
function isEvidence({crash, cleared, rateLimit}: LoadUpdate): boolean {
	return crash !== undefined || cleared !== undefined || rateLimit !== undefined;
}

export class LoadUpdateExchange {
	private readonly _entries = new Map<string, Entry>();
	private readonly _onUpdates: (update: readonly LoadUpdate[]) => void;

	constructor(private readonly _context: FleetContext, onUpdates: (update: readonly LoadUpdate[]) => void) {
		this._onUpdates = onUpdates;
	}

	/** True if an update has not been sent yet. */
	get hasUnsent(): boolean {
		return [...this._entries.values()].some(({sendCount}) => sendCount === 0);
	}

	/** Adds an update from this VM's call engine. */
	addOwn(update: LoadUpdate): void {
		this._store(update, isEvidence(update) ? maxCrashSends : maxReportSends);
	}

	/** Handles updates from a peer: crashes and rate limits are passed on to other VMs, reports are not. */
	handlePeerUpdates(update: readonly LoadUpdate[]): void {
		const newUpdates = update.filter(entry => !this._entries.has(this._key(entry)) || !isEvidence(entry));
		for (const entry of newUpdates) {
			if (isEvidence(entry)) {
				this._store(entry, maxCrashSends);
			}
		}

		if (newUpdates.length > 0) {
			this._onUpdates(newUpdates);
		}
	}

	/** Updates below their send limit, the least sent first, at most `characters` long in JSON. Counts them as sent. */
	nextUpdates(characters: number): LoadUpdate[] {
		this._removeExpired();
		const pending = [...this._entries.values()].filter(entry => entry.sendCount < entry.maxSends).toSorted((a, b) => a.sendCount - b.sendCount);
		const updates: LoadUpdate[] = [];
		let remainingCharacters = characters;
		for (const entry of pending) {
			const update = {...entry.update, ageMilliseconds: Math.round(this._context.now - entry.madeAt)};
			remainingCharacters -= JSON.stringify(update).length;
			if (remainingCharacters < 0) {
				break;
			}

			entry.sendCount += 1;
			updates.push(update);
		}

		return updates;
	}

	private _key(update: LoadUpdate): string {
		const {identity, crash, isCrashCertain = false, suspects, cleared = [], rateLimit} = update;
		if (rateLimit !== undefined) {
			return `rate limit ${rateLimit.process} ${rateLimit.sequence} ${rateLimit.callsPerSecond}`;
		}

		// Several VMs report different suspects of one crash.
		return isEvidence(update) ? `evidence ${identity} ${crash} ${isCrashCertain} ${suspects.join(' ')} ${cleared.join(' ')}` : `report ${identity}`;
	}

	private _store(update: LoadUpdate, maxSends: number): void {
		const key = this._key(update);
		this._entries.delete(key);
		this._entries.set(key, {
			update, madeAt: this._context.now - update.ageMilliseconds, maxSends, sendCount: 0,
		});
		if (this._entries.size > maxEntries) {
			this._entries.delete(this._entries.keys().next().value!);
		}
	}

	private _removeExpired(): void {
		for (const [key, {update, madeAt}] of this._entries) {
			if (this._context.now - madeAt > (isEvidence(update) ? maxCrashAgeMilliseconds : maxReportAgeMilliseconds)) {
				this._entries.delete(key);
			}
		}
	}
}
