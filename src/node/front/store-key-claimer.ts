/**
 * Claims idempotency keys in the platform's store, so that a call with a given key runs only once even if two VMs receive
 * the key at the same time, or another VM receives it after the first one has crashed.
 */
import {type CallEffect, type KeyClaim} from '../../common/calls/types.ts';
import {type Instant, type Milliseconds} from '../../common/model/units.ts';
import {type Clock} from '../clock.ts';
import {type PlatformClient} from '../fleet/types.ts';
import {type KeyClaimer} from './call-effect-executor.ts';
import {type CallEventSink} from './types.ts';

const keyPrefix = 'jaydale/claims/';

/** Minimum duration of a claim. Callers must not reuse a key after this time. */
export const claimMilliseconds: Milliseconds = 86_400_000;

/** Time for which a lease is shared by new claims, so that a claim costs one write instead of two. */
const leaseReuseMilliseconds: Milliseconds = 600_000;

type Lease = {readonly id: string; readonly reuseUntil: Instant};

/** A claim is a compare-and-swap that succeeds only if the key does not exist. */
export class StoreKeyClaimer implements KeyClaimer {
	private readonly _platform: PlatformClient;
	private readonly _clock: Clock;
	private readonly _vmIdentity: string;
	private readonly _digest: (text: string) => string;
	private _lease: Promise<Lease | undefined> | undefined;

	constructor(platform: PlatformClient, clock: Clock, vmIdentity: string, digest: (text: string) => string) {
		this._platform = platform;
		this._clock = clock;
		this._vmIdentity = vmIdentity;
		this._digest = digest;
	}

	claim(effect: CallEffect & {type: 'claim-key'}, sink: CallEventSink): void {
		void this._claim(effect).then(claim => {
			sink.feed({type: 'key-claimed', callId: effect.callId, claim});
		});
	}

	/**
	 * Releases the key of a call that did not run. Reads the entry first and deletes it only if it is a claim of this VM. If the
	 * release fails the key stays claimed, so a later call with the same key is refused and never run twice.
	 */
	async release(effect: CallEffect & {type: 'release-key'}): Promise<void> {
		const key = this._storeKey(effect);
		const reply = await this._platform.execute({type: 'get', key});
		if (reply.type === 'entry' && reply.entry?.value.startsWith(`${this._vmIdentity}/`)) {
			await this._platform.execute({type: 'delete', key, expected: reply.entry.revision});
		}
	}

	private _storeKey(effect: {readonly service: string; readonly key: string}): string {
		return `${keyPrefix}${effect.service}/${this._digest(effect.key)}`;
	}

	private async _claim(effect: CallEffect & {type: 'claim-key'}): Promise<KeyClaim> {
		const lease = await this._usableLease();
		if (lease === undefined) {
			return {type: 'unavailable'};
		}

		const key = this._storeKey(effect);
		const value = `${this._vmIdentity}/${effect.callId}`;
		const reply = await this._platform.execute({
			type: 'compare-and-swap', key, expected: 0, value, leaseId: lease.id,
		});
		switch (reply.type) {
			case 'written': {
				return {type: 'granted'};
			}

			case 'conflict': {
				return {type: 'taken'};
			}

			case 'unknown': {
				return this._readBack(key, value);
			}

			default: {
				this._lease = undefined;
				return {type: 'unavailable'};
			}
		}
	}

	/** Reads the entry after the reply to a claim was lost, to determine whether the claim took effect. */
	private async _readBack(key: string, value: string): Promise<KeyClaim> {
		const reply = await this._platform.execute({type: 'get', key});
		if (reply.type !== 'entry') {
			return {type: 'unavailable'};
		}

		if (reply.entry === undefined) {
			// The write may still be in transit and take effect later, so the call must not run under another claim meanwhile.
			return {type: 'unavailable'};
		}

		return reply.entry.value === value ? {type: 'granted'} : {type: 'taken'};
	}

	/** Returns a lease for a new claim. Concurrent claims wait for the same lease while it is being granted. */
	private async _usableLease(): Promise<Lease | undefined> {
		this._lease ??= this._grantLease();
		const lease = await this._lease;
		if (lease !== undefined && lease.reuseUntil > this._clock.now()) {
			return lease;
		}

		this._lease = this._grantLease();
		return this._lease;
	}

	private async _grantLease(): Promise<Lease | undefined> {
		const reuseUntil = this._clock.now() + leaseReuseMilliseconds;
		const reply = await this._platform.execute({type: 'grant-lease', milliseconds: claimMilliseconds + leaseReuseMilliseconds});
		return reply.type === 'lease' ? {id: reply.leaseId, reuseUntil} : undefined;
	}
}
