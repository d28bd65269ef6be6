/** Identifies calls that crash backend servers by the crashes that they have in common, and quarantines them. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type BackendServerIdentity, type PoisonRequestChange, type ProcessEndSign} from '../types.ts';
import {AnsweredCalls} from './answered-calls.ts';
import {isOfAnyCaller, keysOf} from './fingerprint-keys.ts';
import {findHarmful} from './poison-verdicts.ts';

/** Maximum number of stored crashes. Bounded, since callers determine the fingerprints. */
const maxCrashes = 256;

/** Maximum number of keys stored for one crash; a backend server runs only a few calls at once, with two keys each. */
const maxKeysPerCrash = 64;

/** Number of distinct crashes before a call is quarantined. A harmless call is hardly ever in flight at three crashes in a row. */
const crashesToQuarantine = 3;

/** Number of crashes from which a call runs one at a time on a VM, apart from other calls. */
const crashesToIsolate = 2;

/** Time after a crash for which such a call does not run: attempts under way elsewhere show meanwhile whether it is harmful. */
const isolationMilliseconds: Milliseconds = 250;

/** Time after a reset within which the end of the process confirms a crash. A later end may have another cause. */
const confirmationMilliseconds: Milliseconds = 10_000;

/** Answered callers of one call that a VM sends to the others while that call may be harmful. */
const maxSentCallers = 8;

/** Time after which a verdict is final: until then other VMs may report more calls in flight at the same crashes. */
const settlingMilliseconds: Milliseconds = 300;

/** Time before the crashes of a call of any caller in which answers show that it is popular. */
const popularityMilliseconds: Milliseconds = 3000;

/** Number of answered callers above which a call is popular: it is in flight on several backend servers at any time. */
const minAnsweredCallers = 10;

/**
 * Resets whose cause is still unknown after which a call is held back, and the time for which each of them counts. Lost
 * packets can delay the proof that a process has ended.
 */
const maxUndecidedResets = 2;
const undecidedMilliseconds: Milliseconds = 2000;

type Crash = {
	readonly server: BackendServerIdentity;
	/** Keys of the calls that were in flight. */
	readonly suspects: Set<string>;
	/** True once the end of the process is certain. */
	isConfirmed: boolean;
	readonly detectedAt: Instant;
	readonly expiresAt: Instant;
};

/** A quarantined fingerprint, with the number of its crashes and the remaining time of the quarantine. */
export type Quarantined = {readonly fingerprint: string; readonly crashes: number; readonly remainingMilliseconds: Milliseconds};

/** A confirmed crash, with calls that were in flight there. */
export type CrashEvidence = {
	/** Identity of the process that ended, the same on every VM. */
	readonly crash: string;
	readonly server: BackendServerIdentity;
	readonly suspects: readonly string[];
};

/** Receives what the detector finds out. */
export type PoisonRequestListener = {
	/** A change that logs and metrics show. */
	onChange(change: PoisonRequestChange): void;
	/** This VM has seen calls in flight at a confirmed crash; all VMs must know. */
	onCrashEvidence(evidence: CrashEvidence): void;
	/**
	 * All VMs must know that a call is cleared: this VM has forwarded an answer to it, or an operator has lifted its quarantine
	 * here. `ageMilliseconds` = time since then.
	 */
	onCleared(key: string, ageMilliseconds: Milliseconds): void;
};

/**
 * Suspects and quarantined calls. Protects backend servers from a call that crashes each of them and that its caller
 * repeats through any VM. Verdicts follow from the evidence alone, which all VMs share, so that all VMs reach the same
 * ones and withdraw them when the evidence changes.
 * A fingerprint is quarantined if it was in flight at three confirmed crashes that no other call explains, and has not been
 * answered. A frequent harmless call is soon cleared by an answer. A rare one is not in flight at three crashes of the
 * harmful call, since a suspect is never placed beside another one.
 * The same call of several callers is quarantined for all callers, except those that were answered and have no crash since.
 * Popular calls are exempt, as they are in flight wherever a backend server ends: those answered to many callers, and to
 * more than they have crashes, about the time of these.
 */
export class PoisonRequestDetector {
	private readonly _retentionMilliseconds: Milliseconds;
	private readonly _listener: PoisonRequestListener;
	private readonly _answered = new AnsweredCalls();
	private readonly _crashes = new Map<string, Crash>();
	private readonly _crashesByFingerprint = new Map<string, Set<string>>();
	private readonly _quarantined = new Map<string, {readonly crashes: number; readonly since: Instant; readonly expiresAt: Instant}>();
	/** Number of answered callers sent to other VMs, by the key of the call of any caller. */
	private readonly _sentCallers = new Map<string, number>();
	/** Number of attempts in flight on this VM, by key. */
	private readonly _running = new Map<string, number>();

	constructor(retentionMilliseconds: Milliseconds, listener: PoisonRequestListener) {
		this._retentionMilliseconds = retentionMilliseconds;
		this._listener = listener;
	}

	/** Number of suspect keys. */
	get size(): number {
		return this._crashesByFingerprint.size;
	}

	/** Number of quarantined fingerprints, including those whose quarantine has just ended. */
	get quarantinedCount(): number {
		return this._quarantined.size;
	}

	/** Records that the connection of a call was reset: its backend server may have crashed. */
	recordReset(crashIdentity: string, server: BackendServerIdentity, fingerprint: string, now: Instant): void {
		if (this._answered.clears(fingerprint, now)) {
			return;
		}

		const crash = this._getOrCreateCrash(crashIdentity, server, now);
		if (this._addSuspect(crashIdentity, crash, fingerprint, now) && crash.isConfirmed) {
			this._listener.onCrashEvidence({crash: crashIdentity, server, suspects: [fingerprint]});
			this._update(now);
		}
	}

	/** The process of this crash has certainly ended. Ignored if no call was reset there, or too long ago. */
	confirmCrash(crashIdentity: string, sign: ProcessEndSign, now: Instant): void {
		const crash = this._crashes.get(crashIdentity);
		if (crash !== undefined && !crash.isConfirmed && now - crash.detectedAt <= confirmationMilliseconds) {
			this._confirm(crashIdentity, crash, sign);
			this._update(now);
		}
	}

	/** The process has responded to something sent at `sentAt`: resets before that time had another cause than its end. */
	refuteCrash(crashIdentity: string, sentAt: Instant): void {
		const crash = this._crashes.get(crashIdentity);
		if (crash !== undefined && !crash.isConfirmed && crash.detectedAt < sentAt) {
			this._removeCrash(crashIdentity);
		}
	}

	/** Whether calls were reset there and it is still unknown whether the process has ended. */
	isUndecided(crashIdentity: string): boolean {
		return this._crashes.get(crashIdentity)?.isConfirmed === false;
	}

	/** Applies a crash confirmed by another VM, with calls in flight there through that VM. */
	applyPeerCrash({crash: crashIdentity, server, suspects}: CrashEvidence, detectedAt: Instant, now: Instant): void {
		const unanswered = suspects.filter(fingerprint => {
			const isCleared = this._answered.clears(fingerprint, detectedAt);
			if (isCleared) {
				this._listener.onCleared(fingerprint, now - this._answered.answeredAt(fingerprint)!);
			}

			return !isCleared;
		});
		const crash = this._getOrCreateCrash(crashIdentity, server, now, detectedAt);
		if (!crash.isConfirmed) {
			this._confirm(crashIdentity, crash, 'peer');
		}

		for (const fingerprint of unanswered) {
			this._addSuspect(crashIdentity, crash, fingerprint, now);
		}

		this._update(now);
	}

	/** A call was answered through this VM, which proves that it is harmless. */
	recordAnswer(fingerprint: string, now: Instant): void {
		const isSuspect = this._crashesByFingerprint.has(fingerprint);
		const mustBeSent = isSuspect || (!this._answered.has(fingerprint) && keysOf(fingerprint).some(key => this._countAnsweredCaller(key)));
		this._applyAnswer(fingerprint, {answeredAt: now, cause: 'answer'}, now);
		if (mustBeSent) {
			this._listener.onCleared(fingerprint, 0);
		}
	}

	/** A call was answered through another VM, or its quarantine was lifted there. */
	applyPeerClearing(fingerprint: string, clearedAt: Instant, now: Instant): void {
		this._applyAnswer(fingerprint, {answeredAt: clearedAt, cause: 'peer'}, now);
	}

	/** Ends the quarantine of a call, or of a call of any caller, at the request of an operator. */
	liftQuarantine(fingerprint: string, now: Instant): void {
		if (this.isSuspect(fingerprint)) {
			for (const key of keysOf(fingerprint)) {
				this._answered.add(key, now);
				this._clear(key, 'operator', now);
				this._listener.onCleared(key, 0);
			}
		}
	}

	isSuspect(fingerprint: string): boolean {
		return this._suspectKeysOf(fingerprint).some(key => this._crashesByFingerprint.has(key));
	}

	/** Number of confirmed crashes at which the call was in flight. */
	crashCount(fingerprint: string): number {
		return this._crashesOf(fingerprint).filter(({isConfirmed}) => isConfirmed).length;
	}

	/** Whether other calls must keep away from a backend server that runs this one. */
	isLikelyHarmful(fingerprint: string): boolean {
		return this.crashCount(fingerprint) >= crashesToIsolate;
	}

	/** Whether a call must wait until earlier attempts of the same call have shown whether it is harmful. */
	isHeld(fingerprint: string, now: Instant): boolean {
		if (!this.isSuspect(fingerprint)) {
			return false;
		}

		const crashes = this._crashesOf(fingerprint);
		const undecided = crashes.filter(crash => !crash.isConfirmed && now - crash.detectedAt <= undecidedMilliseconds);
		if (undecided.length >= maxUndecidedResets) {
			return true;
		}

		const isRecent = crashes.some(crash => crash.isConfirmed && now - crash.detectedAt <= isolationMilliseconds);
		return this.isLikelyHarmful(fingerprint) && (isRecent || this._suspectKeysOf(fingerprint).some(key => this._running.has(key)));
	}

	/** Counts an attempt in flight. */
	recordStart(fingerprint: string): void {
		for (const key of keysOf(fingerprint)) {
			this._running.set(key, (this._running.get(key) ?? 0) + 1);
		}
	}

	recordEnd(fingerprint: string): void {
		for (const key of keysOf(fingerprint)) {
			const left = (this._running.get(key) ?? 1) - 1;
			if (left === 0) {
				this._running.delete(key);
			} else {
				this._running.set(key, left);
			}
		}
	}

	isQuarantined(fingerprint: string, now: Instant): boolean {
		for (const key of this._suspectKeysOf(fingerprint)) {
			const entry = this._quarantined.get(key);
			if (entry !== undefined && entry.expiresAt > now) {
				return true;
			}

			this._quarantined.delete(key);
		}

		return false;
	}

	/** Whether a quarantine is so recent that the evidence of other VMs may still end it. */
	isSettling(fingerprint: string, now: Instant): boolean {
		return this._suspectKeysOf(fingerprint).every(key => now - (this._quarantined.get(key)?.since ?? now) < settlingMilliseconds);
	}

	quarantined(now: Instant): Quarantined[] {
		return Array.from(this._quarantined, ([fingerprint, {crashes, expiresAt}]) => ({fingerprint, crashes, remainingMilliseconds: expiresAt - now}))
			.filter(entry => entry.remainingMilliseconds > 0);
	}

	private _confirm(crashIdentity: string, crash: Crash, sign: ProcessEndSign | 'peer'): void {
		crash.isConfirmed = true;
		const suspects = [...crash.suspects].filter(key => !isOfAnyCaller(key));
		this._listener.onChange({
			kind: 'crash', crash: crashIdentity, suspects, sign,
		});
		if (suspects.length > 0) {
			this._listener.onCrashEvidence({crash: crashIdentity, server: crash.server, suspects});
		}
	}

	/** Returns true if the fingerprint is new for this crash. */
	private _addSuspect(crashIdentity: string, crash: Crash, fingerprint: string, now: Instant): boolean {
		if (crash.suspects.has(fingerprint) || crash.suspects.size >= maxKeysPerCrash) {
			return false;
		}

		if (this._answered.clears(fingerprint, crash.detectedAt)) {
			return true;
		}

		for (const key of keysOf(fingerprint).filter(key => !this._answered.clears(key, crash.detectedAt))) {
			crash.suspects.add(key);
			const crashes = this._crashesByFingerprint.get(key) ?? new Set();
			crashes.add(crashIdentity);
			this._crashesByFingerprint.set(key, crashes);
			if (isOfAnyCaller(key) && crashes.size === crashesToIsolate) {
				this._sendAnsweredCallers(key, now);
			}
		}

		return true;
	}

	private _applyAnswer(fingerprint: string, {answeredAt, cause}: {readonly answeredAt: Instant; readonly cause: 'answer' | 'peer'}, now: Instant): void {
		const isNew = !this._answered.has(fingerprint);
		this._answered.add(fingerprint, answeredAt);
		this._clear(fingerprint, cause, now);
		if (isNew && keysOf(fingerprint).some(key => this._crashesByFingerprint.has(key))) {
			this._update(now);
		}
	}

	/** Lets all VMs know to which callers the call was answered, before it is quarantined for all others. */
	private _sendAnsweredCallers(anyCallerKey: string, now: Instant): void {
		const answered = this._answered.sameCalls(anyCallerKey).slice(-maxSentCallers);
		this._sentCallers.set(anyCallerKey, answered.length);
		for (const {fingerprint, answeredAt} of answered) {
			this._listener.onCleared(fingerprint, now - answeredAt);
		}
	}

	/** Counts a first answer to one more caller of a call that may be harmful; true = it is to be sent to the other VMs. */
	private _countAnsweredCaller(anyCallerKey: string): boolean {
		const sent = this._sentCallers.get(anyCallerKey);
		if (sent === undefined || sent >= maxSentCallers) {
			return false;
		}

		this._sentCallers.set(anyCallerKey, sent + 1);
		return true;
	}

	/** Keys under which a call counts as suspect: not as one of any caller if it was answered to its own and has no crash since. */
	private _suspectKeysOf(fingerprint: string): string[] {
		const isProven = this._answered.has(fingerprint) && !this._crashesByFingerprint.has(fingerprint);
		return isProven ? [fingerprint] : keysOf(fingerprint);
	}

	/** Removes a call from the crashes that its answer explains; a call of one caller also as one of any, where no other caller is suspect. */
	private _clear(key: string, cause: 'answer' | 'operator' | 'peer', now: Instant): void {
		const identities = [...this._crashesByFingerprint.get(key) ?? []].filter(identity => this._answered.clears(key, this._crashes.get(identity)!.detectedAt));
		if (identities.length === 0) {
			return;
		}

		const crashes = identities.map(identity => this._crashes.get(identity)!);
		for (const identity of identities) {
			this._removeSuspect(identity, key);
			const [, anyCallerKey] = keysOf(key);
			const {suspects} = this._crashes.get(identity)!;
			if (anyCallerKey !== undefined && ![...suspects].some(suspect => suspect !== anyCallerKey && keysOf(suspect).includes(anyCallerKey))) {
				this._removeSuspect(identity, anyCallerKey);
			}
		}

		const wasQuarantined = !this._crashesByFingerprint.has(key) && this._quarantined.delete(key);
		if (crashes.some(({isConfirmed}) => isConfirmed)) {
			this._listener.onChange({
				kind: 'cleared', fingerprint: key, crashes: crashes.length, wasQuarantined, cause,
			});
		}

		this._update(now);
	}

	private _removeSuspect(crashIdentity: string, key: string): void {
		this._crashes.get(crashIdentity)?.suspects.delete(key);
		const crashes = this._crashesByFingerprint.get(key);
		crashes?.delete(crashIdentity);
		if (crashes?.size === 0) {
			this._crashesByFingerprint.delete(key);
			this._sentCallers.delete(key);
		}
	}

	/** Begins and ends quarantines as the present evidence requires. */
	private _update(now: Instant): void {
		const recurring = [...this._crashesByFingerprint.keys()].filter(key => this._isRecurring(key));
		if (this._quarantined.size === 0 && recurring.length === 0) {
			return;
		}

		const confirmed = [...this._crashes.values()].filter(({isConfirmed, expiresAt}) => isConfirmed && expiresAt > now);
		const popular = recurring.find(key => this._isPopular(key, confirmed, now));
		if (popular !== undefined) {
			// Begins again without this call.
			this._clearPopular(popular, confirmed, now);
			return;
		}

		const verdicts = findHarmful(confirmed.map(({suspects}) => suspects), crashesToQuarantine);
		for (const [fingerprint, {crashes, expiresAt}] of this._quarantined) {
			if (!verdicts.has(fingerprint) && expiresAt > now) {
				this._quarantined.delete(fingerprint);
				this._listener.onChange({
					kind: 'cleared', fingerprint, crashes, wasQuarantined: true, cause: 'evidence',
				});
			}
		}

		for (const [fingerprint, crashes] of verdicts) {
			if (!this._quarantined.has(fingerprint)) {
				this._quarantined.set(fingerprint, {crashes, since: now, expiresAt: now + this._retentionMilliseconds});
				this._listener.onChange({kind: 'quarantined', fingerprint, crashes});
			}
		}
	}

	/** Whether this call of any caller was answered to many callers, and to more than it has crashes, shortly before and while these happened. */
	private _isPopular(key: string, confirmed: readonly Crash[], now: Instant): boolean {
		const quarantine = this._quarantined.get(key);
		const isFinal = quarantine !== undefined && now - quarantine.since >= settlingMilliseconds;
		if (!isOfAnyCaller(key) || isFinal) {
			return false;
		}

		const times = timesOf(key, confirmed);
		if (times.length < crashesToIsolate) {
			return false;
		}

		const [from, until] = [Math.min(...times) - popularityMilliseconds, Math.max(...times) + settlingMilliseconds];
		const answered = this._answered.sameCalls(key).filter(({answeredAt}) => answeredAt >= from && answeredAt <= until);
		return answered.length > Math.max(times.length, minAnsweredCallers);
	}

	private _isRecurring(key: string): boolean {
		return (this._crashesByFingerprint.get(key)?.size ?? 0) >= crashesToIsolate;
	}

	private _clearPopular(key: string, confirmed: readonly Crash[], now: Instant): void {
		const answeredAt = Math.max(...timesOf(key, confirmed));
		this._listener.onCleared(key, now - answeredAt);
		this._applyAnswer(key, {answeredAt, cause: 'answer'}, now);
	}

	/** Crashes of the call, also by other callers. */
	private _crashesOf(fingerprint: string): Crash[] {
		const identities = new Set(this._suspectKeysOf(fingerprint).flatMap(key => [...this._crashesByFingerprint.get(key) ?? []]));
		return Array.from(identities, identity => this._crashes.get(identity)!);
	}

	private _getOrCreateCrash(identity: string, server: BackendServerIdentity, now: Instant, detectedAt = now): Crash {
		const known = this._crashes.get(identity);
		if (known !== undefined && known.expiresAt > now) {
			return known;
		}

		this._removeCrash(identity);
		// The map keeps the order of insertion, so the first entry is the oldest.
		if (this._crashes.size >= maxCrashes) {
			this._removeCrash(this._oldestUnexplained());
		}

		const crash: Crash = {
			server, suspects: new Set(), isConfirmed: false, detectedAt, expiresAt: detectedAt + this._retentionMilliseconds,
		};
		this._crashes.set(identity, crash);
		return crash;
	}

	/** The oldest crash that supports no quarantine; if there is none, the oldest. */
	private _oldestUnexplained(): string {
		for (const [identity, {suspects}] of this._crashes) {
			if (![...suspects].some(fingerprint => this._quarantined.has(fingerprint))) {
				return identity;
			}
		}

		return this._crashes.keys().next().value!;
	}

	private _removeCrash(identity: string): void {
		const crash = this._crashes.get(identity);
		this._crashes.delete(identity);
		for (const key of crash?.suspects ?? []) {
			this._removeSuspect(identity, key);
		}
	}
}

/** When the crashes with this suspect happened. */
function timesOf(key: string, crashes: readonly Crash[]): Instant[] {
	return crashes.filter(({suspects}) => suspects.has(key)).map(({detectedAt}) => detectedAt);
}
