/**
 * Idempotency keys are claimed in the platform's service, so that two VMs that see one key at once, or
 * a VM that took over from a dead one, cannot both run the call.
 */
import {type CallEffect, type KeyClaim} from '../../common/calls/types.ts';
import {type Instant, type Milliseconds} from '../../common/model/units.ts';
import {type Clock} from '../clock.ts';
import {type PlatformClient} from '../fleet/types.ts';
import {type KeyClaimer} from './call-carrier.ts';
import {type CallEventSink} from './types.ts';

const keyPrefix = 'jaydale/claims/';

/** How long a claim lasts at least: callers must not send a key again later than this. */
export const claimMilliseconds: Milliseconds = 86_400_000;

/** One lease serves the claims of this long, so that a claim costs one write and not two. */
const leaseReuseMilliseconds: Milliseconds = 600_000;

type Lease = {readonly id: string; readonly reuseUntil: Instant};

/** Claims by compare-and-swap against absence. */
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
	 * Frees the key of a call that did not run. The entry is read first, so that only a claim of this VM is
	 * ever removed; a release that fails leaves the key taken, which refuses a call and runs none.
	 */
	async release(effect: CallEffect & {type: 'release-key'}): Promise<void> {
		const key = this._keyOf(effect);
		const reply = await this._platform.execute({type: 'get', key});
		if (reply.type === 'entry' && reply.entry?.value.startsWith(`${this._vmIdentity}/`)) {
			await this._platform.execute({type: 'delete', key, expected: reply.entry.revision});
		}
	}

	private _keyOf(effect: {readonly service: string; readonly key: string}): string {
		return `${keyPrefix}${effect.service}/${this._digest(effect.key)}`;
	}

	private async _claim(effect: CallEffect & {type: 'claim-key'}): Promise<KeyClaim> {
		const lease = await this._usableLease();
		if (lease === undefined) {
			return {type: 'unavailable'};
		}

		const key = this._keyOf(effect);
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
				return this._resolve(key, value);
			}

			default: {
				this._lease = undefined;
				return {type: 'unavailable'};
			}
		}
	}

	/** The answer to the claim was lost: only what stands there now tells whether it took effect. */
	private async _resolve(key: string, value: string): Promise<KeyClaim> {
		const reply = await this._platform.execute({type: 'get', key});
		if (reply.type !== 'entry') {
			return {type: 'unavailable'};
		}

		if (reply.entry === undefined) {
			// The write may still be on its way: it must not find the call run under another claim.
			return {type: 'unavailable'};
		}

		return reply.entry.value === value ? {type: 'granted'} : {type: 'taken'};
	}

	/** Calls that come while a lease is being granted wait for the same one. */
	private async _usableLease(): Promise<Lease | undefined> {
		this._lease ??= this._grant();
		const lease = await this._lease;
		if (lease !== undefined && lease.reuseUntil > this._clock.now()) {
			return lease;
		}

		this._lease = this._grant();
		return this._lease;
	}

	private async _grant(): Promise<Lease | undefined> {
		const reuseUntil = this._clock.now() + leaseReuseMilliseconds;
		const reply = await this._platform.execute({type: 'grant-lease', milliseconds: claimMilliseconds + leaseReuseMilliseconds});
		return reply.type === 'lease' ? {id: reply.leaseId, reuseUntil} : undefined;
	}
}
