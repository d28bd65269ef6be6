/** What all VMs must know: crashes of backend servers and the calls in flight there, calls cleared of suspicion, and announced rate limits. */
import {AnsweredCalls} from '../calls/poison-requests/answered-calls.ts';
import {isOfAnyCaller, keysOf} from '../calls/poison-requests/fingerprint-keys.ts';
import {type BackendServerIdentity, type LoadUpdate} from '../calls/types.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {RateLimitAdvertisements} from './rate-limit-advertisements.ts';
import {type EvidenceKey, type EvidenceReply} from './types.ts';

/** Between the identity of a process and a fingerprint in a key; neither has a space. */
const separator = ' ';

/** Time for which crashes are kept, as long as call engines use them. */
const retentionMilliseconds: Milliseconds = 600_000;

/** Maximum number of stored crashes, as in a call engine. */
const maxCrashes = 256;

/** Maximum number of suspects in one update. */
const maxSuspects = 64;

/** Maximum number of keys that VMs compare, those of the latest crashes first. */
const maxCompared = 64;

/** Maximum number of callers of one call in a message, the latest. */
const maxAnsweredCallers = 64;

/** Difference in age from which a clearing of the same call is another one. Ages grow a little less than time on their way. */
const anotherClearingMilliseconds: Milliseconds = 500;

type Crash = {
	readonly server: BackendServerIdentity;
	readonly at: Instant;
	/** Fingerprints of the calls that were in flight. */
	readonly suspects: Set<string>;
};

/** A call at one crash. */
type Evidence = {readonly key: EvidenceKey; readonly crash: string; readonly fingerprint: string};

export class EvidenceStore {
	/** Confirmed crashes by the identity of the process, the one known longest first. */
	private readonly _crashes = new Map<string, Crash>();
	private readonly _cleared = new AnsweredCalls();
	private readonly _limits = new RateLimitAdvertisements();
	/** Selection of the evidence that VMs compare; undefined = to be made again. */
	private _selection: ReadonlyMap<EvidenceKey, Evidence> | undefined;

	/** Whether this VM has evidence that other VMs need. */
	get hasEvidence(): boolean {
		return this._selected().size > 0 || !this._limits.isEmpty;
	}

	/** Keys of the evidence that VMs compare. */
	get keys(): EvidenceKey[] {
		return [...this._selected().keys(), ...this._limits.keys];
	}

	/** Adds a confirmed crash, cleared calls or a rate limit; returns false if all of it is known already. */
	add(update: LoadUpdate, now: Instant): boolean {
		const isLimitNew = this._limits.add(update, now);
		const at = now - update.ageMilliseconds;
		const isCrashNew = update.crash !== undefined && update.isCrashCertain === true && now - at <= retentionMilliseconds && this._addCrash(update.crash, update, at);
		const newlyCleared = (update.cleared ?? []).filter(fingerprint => at - (this._cleared.answeredAt(fingerprint) ?? -Infinity) >= anotherClearingMilliseconds);
		for (const key of newlyCleared) {
			this._cleared.add(key, at);
		}

		// Most calls that are cleared are no evidence: the selection stays as it is.
		const isSelectionChanged = isCrashNew || newlyCleared.some(fingerprint => this._isSelected(fingerprint));
		this._selection = isSelectionChanged ? undefined : this._selection;
		return isCrashNew || newlyCleared.length > 0 || isLimitNew;
	}

	/** The crashes with suspects that are not cleared, the callers to which recurring ones were answered, and the rate limits, with their age at `now`. */
	snapshot(now: Instant): LoadUpdate[] {
		this._removeExpired(now);
		const crashes = [...this._crashes].flatMap(([crash, details]) => {
			const suspects = [...details.suspects].filter(fingerprint => this._suspectKeysOf(fingerprint, details.at).length > 0);
			return suspects.length === 0 ? [] : [updateOf(crash, details, suspects.slice(0, maxSuspects), now)];
		});
		return [...crashes, ...this._answeredCallers([...this._selected().keys()], now), ...this._limits.select(undefined, now)];
	}

	/** The evidence of these keys, as far as it is known here. */
	select(keys: readonly EvidenceKey[], now: Instant): LoadUpdate[] {
		const crashes = keys.flatMap(key => {
			const evidence = this._selected().get(key);
			return evidence === undefined ? [] : [updateOf(evidence.crash, this._crashes.get(evidence.crash)!, [evidence.fingerprint], now)];
		});
		return [...crashes, ...this._limits.select(keys, now)];
	}

	/** Compares the evidence known here with that of another VM, whose keys are `known`. */
	compare(known: readonly EvidenceKey[], now: Instant): EvidenceReply {
		this._removeExpired(now);
		const lacking = this.keys.filter(key => !known.includes(key));
		const answered = this._answeredCallers(lacking.filter(key => !RateLimitAdvertisements.isKey(key)), now);
		const clearings = known.filter(key => !this._selected().has(key)).flatMap(key => this._clearingsOf(key, now));
		const limitKeys = new Set(this._limits.keys);
		const missing = known.filter(key => RateLimitAdvertisements.isKey(key) ? !limitKeys.has(key) : this._find(key) === undefined);
		return {updates: [...this.select(lacking, now), ...answered, ...clearings], missing: missing.slice(0, maxCompared)};
	}

	/**
	 * Selects the calls that were in flight at several crashes, of the same caller or of any, and are not cleared. Calls
	 * that were in flight at a single one are left out, since most of them are harmless.
	 */
	private _selected(): ReadonlyMap<EvidenceKey, Evidence> {
		if (this._selection === undefined) {
			const suspected = [...this._crashes].flatMap(([crash, {at, suspects}]) => Array.from(suspects, fingerprint => ({
				crash, at, fingerprint, key: keyOf(crash, fingerprint), suspectedAs: this._suspectKeysOf(fingerprint, at),
			})));
			const crashesOf = new Map<string, Set<string>>();
			for (const {crash, suspectedAs} of suspected) {
				for (const key of suspectedAs) {
					crashesOf.set(key, (crashesOf.get(key) ?? new Set()).add(crash));
				}
			}

			const recurring = suspected.filter(({suspectedAs}) => suspectedAs.some(key => crashesOf.get(key)!.size > 1));
			this._selection = new Map(recurring.toSorted((one, other) => other.at - one.at).slice(0, maxCompared).map(evidence => [evidence.key, evidence]));
		}

		return this._selection;
	}

	/** Keys under which a call is suspect of a crash at this time, as in a call engine. */
	private _suspectKeysOf(fingerprint: string, crashedAt: Instant): string[] {
		return this._cleared.clears(fingerprint, crashedAt) ? [] : keysOf(fingerprint).filter(key => !this._cleared.clears(key, crashedAt));
	}

	/** Whether the call, of its caller or of any, is part of the evidence that VMs compare. */
	private _isSelected(cleared: string): boolean {
		const keys = new Set(keysOf(cleared));
		return this._selection === undefined || [...this._selection.values()].some(({fingerprint}) => keysOf(fingerprint).some(key => keys.has(key)));
	}

	private _addCrash(identity: string, {identity: server, suspects}: LoadUpdate, at: Instant): boolean {
		const crash = this._crashes.get(identity) ?? {server, at, suspects: new Set<string>()};
		const isNew = suspects.some(fingerprint => !crash.suspects.has(fingerprint));
		for (const fingerprint of suspects) {
			crash.suspects.add(fingerprint);
		}

		this._crashes.set(identity, crash);
		if (this._crashes.size > maxCrashes) {
			this._removeLeastUseful();
		}

		return isNew;
	}

	/** Removes the oldest crash that is no evidence against a call; if there is none, the oldest. */
	private _removeLeastUseful(): void {
		const useful = new Set(Array.from(this._selected().values(), ({crash}) => crash));
		const [oldest] = this._crashes.keys();
		this._crashes.delete([...this._crashes.keys()].find(crash => !useful.has(crash)) ?? oldest!);
		this._selection = undefined;
	}

	private _removeExpired(now: Instant): void {
		for (const [identity, {at}] of this._crashes) {
			if (now - at > retentionMilliseconds) {
				this._crashes.delete(identity);
				this._selection = undefined;
			}
		}
	}

	/** Callers to which the calls of this evidence were answered: a quarantine of any caller does not apply to them. */
	private _answeredCallers(keys: readonly EvidenceKey[], now: Instant): LoadUpdate[] {
		const anyCallerKeys = new Set(keys.flatMap(key => keysOf(this._selected().get(key)!.fingerprint).filter(isOfAnyCaller)));
		return [...anyCallerKeys].flatMap(key => this._cleared.sameCalls(key).slice(-maxAnsweredCallers).map(({fingerprint, answeredAt}) => clearingOf(fingerprint, now - answeredAt)));
	}

	/** What clears a call that is evidence for another VM, by its own caller or any; empty if nothing does. */
	private _clearingsOf(key: EvidenceKey, now: Instant): LoadUpdate[] {
		const found = this._find(key);
		return found === undefined
			? []
			: keysOf(found.fingerprint).filter(cleared => this._cleared.clears(cleared, found.at)).map(cleared => clearingOf(cleared, now - this._cleared.answeredAt(cleared)!));
	}

	private _find(key: EvidenceKey): {readonly fingerprint: string; readonly at: Instant} | undefined {
		const [crash = '', fingerprint = ''] = key.split(separator);
		const details = this._crashes.get(crash);
		return details?.suspects.has(fingerprint) === true ? {fingerprint, ...details} : undefined;
	}
}

function keyOf(crash: string, fingerprint: string): EvidenceKey {
	return crash + separator + fingerprint;
}

function clearingOf(key: string, ageMilliseconds: Milliseconds): LoadUpdate {
	return {
		identity: 'none', report: undefined, ageMilliseconds: Math.max(0, ageMilliseconds), suspects: [], crash: undefined, cleared: [key],
	};
}

function updateOf(crash: string, {server, at}: Crash, suspects: readonly string[], now: Instant): LoadUpdate {
	return {
		identity: server, report: undefined, ageMilliseconds: Math.max(0, now - at), suspects, crash, isCrashCertain: true,
	};
}
