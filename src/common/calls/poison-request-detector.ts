/** Identifies calls that crash every backend server that runs them, and quarantines them. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type PoisonRequestChange} from './types.ts';

/** Maximum number of stored crashes and of quarantined fingerprints. Bounded, since callers determine the fingerprints. */
const maxCrashes = 256;

/** Maximum number of suspects stored for one crash; a backend server runs only a few calls at once. */
const maxSuspectsPerCrash = 64;

/** Number of distinct crashes before a call is quarantined. After one crash, all calls in flight are equally suspect. */
const crashesToQuarantine = 2;

/** Time after the first reset within which the end of the process confirms a crash. A later end may have another cause. */
const confirmationMilliseconds: Milliseconds = 10_000;

type Crash = {
	readonly suspects: Set<string>;
	/** True once the end of the process is certain: two connections were reset, it refuses connections, or a new process answers. */
	isConfirmed: boolean;
	readonly detectedAt: Instant;
	readonly expiresAt: Instant;
};

/** A quarantined fingerprint, with the number of its crashes and the remaining time of the quarantine. */
export type Quarantined = {readonly fingerprint: string; readonly crashes: number; readonly remainingMilliseconds: Milliseconds};

/**
 * Suspects and quarantined calls. Protects backend servers from a call that crashes each of them and that its caller repeats
 * through any VM. Each VM sees only one reset connection of that call, along with resets of harmless calls.
 * A fingerprint is quarantined only if it is the only one common to all of its confirmed crashes and has never been answered.
 * A frequent harmless call is soon cleared by an answer. A rare one is not in flight at two crashes of the harmful call,
 * since a suspect is never placed on a backend server that runs another suspect.
 */
export class PoisonRequestDetector {
	private readonly _retentionMilliseconds: Milliseconds;
	private readonly _onChange: (change: PoisonRequestChange) => void;
	private readonly _crashes = new Map<string, Crash>();
	private readonly _crashesByFingerprint = new Map<string, Set<string>>();
	private readonly _quarantined = new Map<string, {readonly crashes: number; readonly expiresAt: Instant}>();

	/** `onChange` is called for changes that logs and metrics show. */
	constructor(retentionMilliseconds: Milliseconds, onChange: (change: PoisonRequestChange) => void = () => undefined) {
		this._retentionMilliseconds = retentionMilliseconds;
		this._onChange = onChange;
	}

	/** Identity of a crash: that of the process that died, so that it is the same on every VM. */
	static crashIdentity(server: string, instance: string | undefined): string {
		return `${server}/${instance ?? ''}`;
	}

	/** Number of suspect fingerprints. */
	get size(): number {
		return this._crashesByFingerprint.size;
	}

	/** Number of quarantined fingerprints, including those whose quarantine has just ended. */
	get quarantinedCount(): number {
		return this._quarantined.size;
	}

	/** Adds calls that were in flight at a crash detected by this VM or a peer. Returns true if any of them was new for this crash. */
	addSuspects(crashIdentity: string, fingerprints: readonly string[], now: Instant): boolean {
		const crash = this._getOrCreateCrash(crashIdentity, now);
		let isNew = false;
		for (const fingerprint of fingerprints) {
			if (crash.suspects.has(fingerprint) || crash.suspects.size >= maxSuspectsPerCrash) {
				continue;
			}

			// A second reset shows that the process died, and not just one connection.
			const isConfirmedNow = !crash.isConfirmed && crash.suspects.size > 0;
			crash.isConfirmed ||= isConfirmedNow;
			crash.suspects.add(fingerprint);
			const crashes = this._crashesByFingerprint.get(fingerprint) ?? new Set();
			crashes.add(crashIdentity);
			this._crashesByFingerprint.set(fingerprint, crashes);
			isNew = true;
			if (isConfirmedNow) {
				this._onChange({kind: 'crash', crash: crashIdentity, suspects: [...crash.suspects]});
			}
		}

		this._checkSuspects(crash, now);
		return isNew;
	}

	/** Confirms that the process of this crash has ended. Ignored if the crash is unknown or its first reset was too long ago. */
	confirmCrash(crashIdentity: string, now: Instant): void {
		const crash = this._crashes.get(crashIdentity);
		if (crash !== undefined && !crash.isConfirmed && now - crash.detectedAt <= confirmationMilliseconds) {
			crash.isConfirmed = true;
			this._onChange({kind: 'crash', crash: crashIdentity, suspects: [...crash.suspects]});
			this._checkSuspects(crash, now);
		}
	}

	/** Removes a call from the suspects of all crashes. Called after an answer, which proves that the call is harmless. */
	clearSuspect(fingerprint: string, now: Instant, cause: 'answer' | 'operator' = 'answer'): void {
		const crashes = this._crashesByFingerprint.get(fingerprint);
		if (crashes === undefined) {
			return;
		}

		this._onChange({
			kind: 'cleared', fingerprint, crashes: crashes.size, wasQuarantined: cause === 'operator', cause,
		});

		this._crashesByFingerprint.delete(fingerprint);
		for (const identity of crashes) {
			const crash = this._crashes.get(identity);
			if (crash?.suspects.delete(fingerprint)) {
				this._checkSuspects(crash, now);
			}
		}
	}

	isSuspect(fingerprint: string): boolean {
		return this._crashesByFingerprint.has(fingerprint);
	}

	isQuarantined(fingerprint: string, now: Instant): boolean {
		const entry = this._quarantined.get(fingerprint);
		if (entry === undefined) {
			return false;
		}

		if (entry.expiresAt > now) {
			return true;
		}

		this._quarantined.delete(fingerprint);
		return false;
	}

	/** Ends the quarantine of a call at the request of an operator. */
	liftQuarantine(fingerprint: string, now: Instant): void {
		this._quarantined.delete(fingerprint);
		this.clearSuspect(fingerprint, now, 'operator');
	}

	quarantined(now: Instant): Quarantined[] {
		return Array.from(this._quarantined, ([fingerprint, {crashes, expiresAt}]) => ({fingerprint, crashes, remainingMilliseconds: expiresAt - now}))
			.filter(entry => entry.remainingMilliseconds > 0);
	}

	private _checkSuspects(crash: Crash, now: Instant): void {
		for (const fingerprint of crash.suspects) {
			this._checkSuspect(fingerprint, now);
		}
	}

	private _checkSuspect(fingerprint: string, now: Instant): void {
		const crashes = Array.from(this._crashesByFingerprint.get(fingerprint) ?? [], identity => this._crashes.get(identity))
			.filter(crash => crash?.isConfirmed === true && crash.expiresAt > now);
		if (crashes.length < crashesToQuarantine || this._quarantined.has(fingerprint)) {
			return;
		}

		const isOnlyCommonSuspect = [...crashes[0]!.suspects].every(other => other === fingerprint || !crashes.every(crash => crash!.suspects.has(other)));
		if (isOnlyCommonSuspect) {
			this._quarantine(fingerprint, crashes.length, now);
		}
	}

	private _quarantine(fingerprint: string, crashes: number, now: Instant): void {
		if (this._quarantined.size >= maxCrashes) {
			this._quarantined.delete(this._quarantined.keys().next().value!);
		}

		this._quarantined.set(fingerprint, {crashes, expiresAt: now + this._retentionMilliseconds});
		this._onChange({kind: 'quarantined', fingerprint, crashes});
	}

	private _getOrCreateCrash(identity: string, now: Instant): Crash {
		const known = this._crashes.get(identity);
		if (known !== undefined && known.expiresAt > now) {
			return known;
		}

		this._removeCrash(identity);
		// The map keeps the order of insertion, so the first entry is the oldest.
		if (this._crashes.size >= maxCrashes) {
			this._removeCrash(this._crashes.keys().next().value!);
		}

		const crash: Crash = {
			suspects: new Set(), isConfirmed: false, detectedAt: now, expiresAt: now + this._retentionMilliseconds,
		};
		this._crashes.set(identity, crash);
		return crash;
	}

	private _removeCrash(identity: string): void {
		const crash = this._crashes.get(identity);
		this._crashes.delete(identity);
		for (const fingerprint of crash?.suspects ?? []) {
			const crashes = this._crashesByFingerprint.get(fingerprint);
			crashes?.delete(identity);
			if (crashes?.size === 0) {
				this._crashesByFingerprint.delete(fingerprint);
			}
		}
	}
}
