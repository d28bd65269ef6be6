/** Finds the call that crashes whichever backend server runs it, and clears those that were beside it. */
import {type Instant, type Milliseconds} from '../model/units.ts';

/** Crashes remembered: enough for a bad day, bounded since callers make fingerprints. */
const mostCrashes = 256;

/** Suspects remembered of one crash: a backend server runs a handful of calls at once. */
const mostSuspects = 64;

/** Distinct crashes that accuse: one crash accuses all calls in flight alike. */
const crashesToConvict = 2;

/** A process that is seen to be gone later than this after a reset may have been stopped for another reason. */
const confirmationMilliseconds: Milliseconds = 10_000;

type Crash = {
	readonly suspects: Set<string>;
	/** The process is known to have died: two connections were reset, or it refuses connections, or a new one answers. */
	isConfirmed: boolean;
	readonly since: Instant;
	readonly until: Instant;
};

/** A quarantined fingerprint. */
export type Quarantined = {readonly fingerprint: string; readonly crashes: number; readonly remainingMilliseconds: Milliseconds};

/**
 * Suspicion and conviction. Guards against a call that crashes each backend server that runs it while
 * its caller sends it again through any VM: it shows as one reset connection at each VM, beside those of
 * innocent calls. A fingerprint is convicted only if it is the one that all of its crashes have in common
 * and has never come through: a popular innocent call is soon cleared by an answer, a rare one is not
 * beside the guilty one twice, since suspects are never retried beside one another.
 */
export class CrashSuspects {
	private readonly _memory: Milliseconds;
	private readonly _crashes = new Map<string, Crash>();
	private readonly _crashesOf = new Map<string, Set<string>>();
	private readonly _quarantined = new Map<string, {readonly crashes: number; readonly until: Instant}>();

	constructor(memory: Milliseconds) {
		this._memory = memory;
	}

	/** Identity of a crash that every VM gives the same: the process that died. */
	static crashIdentity(server: string, instance: string | undefined): string {
		return `${server}/${instance ?? ''}`;
	}

	/** Fingerprints under suspicion. */
	get size(): number {
		return this._crashesOf.size;
	}

	/** Takes in that these calls were in flight at a crash, seen here or by a peer; true = it was not known. */
	accuse(crashIdentity: string, fingerprints: readonly string[], now: Instant): boolean {
		const crash = this._crashOf(crashIdentity, now);
		let isNew = false;
		for (const fingerprint of fingerprints) {
			if (crash.suspects.has(fingerprint) || crash.suspects.size >= mostSuspects) {
				continue;
			}

			// A second connection reset with the first: the process died, not the connection.
			crash.isConfirmed ||= crash.suspects.size > 0;
			crash.suspects.add(fingerprint);
			const crashes = this._crashesOf.get(fingerprint) ?? new Set();
			crashes.add(crashIdentity);
			this._crashesOf.set(fingerprint, crashes);
			isNew = true;
		}

		this._judgeAll(crash, now);
		return isNew;
	}

	/** The process of this crash is gone for certain. */
	confirm(crashIdentity: string, now: Instant): void {
		const crash = this._crashes.get(crashIdentity);
		if (crash !== undefined && !crash.isConfirmed && now - crash.since <= confirmationMilliseconds) {
			crash.isConfirmed = true;
			this._judgeAll(crash, now);
		}
	}

	/** The call has come through: it does not kill. */
	clear(fingerprint: string, now: Instant): void {
		const crashes = this._crashesOf.get(fingerprint);
		if (crashes === undefined) {
			return;
		}

		this._crashesOf.delete(fingerprint);
		for (const identity of crashes) {
			const crash = this._crashes.get(identity);
			if (crash?.suspects.delete(fingerprint)) {
				this._judgeAll(crash, now);
			}
		}
	}

	isSuspect(fingerprint: string): boolean {
		return this._crashesOf.has(fingerprint);
	}

	isQuarantined(fingerprint: string, now: Instant): boolean {
		const entry = this._quarantined.get(fingerprint);
		if (entry === undefined) {
			return false;
		}

		if (entry.until > now) {
			return true;
		}

		this._quarantined.delete(fingerprint);
		return false;
	}

	/** An operator lets the call run again. */
	lift(fingerprint: string, now: Instant): void {
		this._quarantined.delete(fingerprint);
		this.clear(fingerprint, now);
	}

	quarantined(now: Instant): Quarantined[] {
		return Array.from(this._quarantined, ([fingerprint, {crashes, until}]) => ({fingerprint, crashes, remainingMilliseconds: until - now}))
			.filter(entry => entry.remainingMilliseconds > 0);
	}

	private _judgeAll(crash: Crash, now: Instant): void {
		for (const fingerprint of crash.suspects) {
			this._judge(fingerprint, now);
		}
	}

	private _judge(fingerprint: string, now: Instant): void {
		const crashes = Array.from(this._crashesOf.get(fingerprint) ?? [], identity => this._crashes.get(identity))
			.filter(crash => crash?.isConfirmed === true && crash.until > now);
		if (crashes.length < crashesToConvict || this._quarantined.has(fingerprint)) {
			return;
		}

		const isOnlyOne = [...crashes[0]!.suspects].every(other => other === fingerprint || !crashes.every(crash => crash!.suspects.has(other)));
		if (isOnlyOne) {
			this._quarantine(fingerprint, crashes.length, now);
		}
	}

	private _quarantine(fingerprint: string, crashes: number, now: Instant): void {
		if (this._quarantined.size >= mostCrashes) {
			this._quarantined.delete(this._quarantined.keys().next().value!);
		}

		this._quarantined.set(fingerprint, {crashes, until: now + this._memory});
	}

	private _crashOf(identity: string, now: Instant): Crash {
		const known = this._crashes.get(identity);
		if (known !== undefined && known.until > now) {
			return known;
		}

		this._forget(identity);
		// The map keeps the order of insertion, so the first one is the oldest.
		if (this._crashes.size >= mostCrashes) {
			this._forget(this._crashes.keys().next().value!);
		}

		const crash: Crash = {
			suspects: new Set(), isConfirmed: false, since: now, until: now + this._memory,
		};
		this._crashes.set(identity, crash);
		return crash;
	}

	private _forget(identity: string): void {
		const crash = this._crashes.get(identity);
		this._crashes.delete(identity);
		for (const fingerprint of crash?.suspects ?? []) {
			const crashes = this._crashesOf.get(fingerprint);
			crashes?.delete(identity);
			if (crashes?.size === 0) {
				this._crashesOf.delete(fingerprint);
			}
		}
	}
}
