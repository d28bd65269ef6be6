/** Claims the idempotency keys of calls before they are admitted. */
import {type Instant} from '../model/units.ts';
import {type Admission} from './admission/admission.ts';
import {type Call} from './call.ts';
import {type CallCompletion} from './call-completion.ts';
import {type EngineContext} from './engine-context.ts';
import {type CallId, type KeyClaim} from './types.ts';

export class KeyClaims {
	private readonly _context: EngineContext;
	private readonly _admission: Admission;
	private readonly _completion: CallCompletion;
	/** Calls whose claim is pending; some of them may have ended already. */
	private readonly _pending = new Map<CallId, Call>();

	constructor(context: EngineContext, admission: Admission, completion: CallCompletion) {
		this._context = context;
		this._admission = admission;
		this._completion = completion;
	}

	/** Claims the key of a call; it is admitted once the key is granted. */
	claim(call: Call, key: string): void {
		const {callId} = call.request;
		call.state = 'claiming';
		this._pending.set(callId, call);
		this._context.effects.push({
			type: 'claim-key', callId, service: call.service.name, key,
		});
	}

	/** Handles the platform's response to a claim. */
	onClaimed(callId: CallId, claim: KeyClaim, now: Instant): void {
		const call = this._pending.get(callId);
		this._pending.delete(callId);
		if (call === undefined) {
			return;
		}

		if (call.state !== 'claiming') {
			// The call ended while the claim was pending and will not use the key.
			if (claim.type === 'granted') {
				this._context.effects.push({type: 'release-key', service: call.service.name, key: call.request.idempotencyKey!});
			}

			return;
		}

		if (claim.type === 'granted') {
			call.hasKey = true;
			this._admission.admit(call, now);
			return;
		}

		// The key identifies the operation, not this request: an earlier request with the same key may have run.
		this._completion.refuse(call, claim.type === 'taken' ? 'key-taken' : 'key-unavailable', now, 'unknown');
	}
}
