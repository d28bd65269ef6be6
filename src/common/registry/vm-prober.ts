/** Probes whether VMs serve, before their entries are removed. */
import {type PeerAddress} from '../fleet/types.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type RegistryContext} from './registry-context.ts';
import {vmProbeTimeoutMilliseconds} from './vm-loss-budget.ts';

/** A timer that fires this late shows that the process was paused; responses may still be unread. */
const pauseDetectionMilliseconds: Milliseconds = 250;

type Probe = {
	readonly address: PeerAddress;
	readonly callbacks: Array<(isServing: boolean) => void>;
};

export class VmProber {
	private readonly _context: RegistryContext;
	private readonly _probes = new Map<string, Probe>();

	constructor(context: RegistryContext) {
		this._context = context;
	}

	/**
	 * Probes the process `identity` at `address`; simultaneous probes of a process share one request. No response in
	 * time counts as not serving.
	 */
	probe(identity: string, address: PeerAddress, onResult: (isServing: boolean) => void): void {
		const pending = this._probes.get(identity);
		if (pending !== undefined) {
			pending.callbacks.push(onResult);
			return;
		}

		this._probes.set(identity, {address, callbacks: [onResult]});
		this._send(identity, address);
	}

	/** Handles a response or a refused connection. */
	handleResult(identity: string, isServing: boolean): void {
		const probe = this._probes.get(identity);
		this._probes.delete(identity);
		this._context.timers.clear(timerName(identity));
		for (const onResult of probe?.callbacks ?? []) {
			onResult(isServing);
		}
	}

	private _send(identity: string, address: PeerAddress): void {
		const endsAt: Instant = this._context.now + vmProbeTimeoutMilliseconds;
		this._context.emit({type: 'probe-vm', identity, address});
		this._context.timers.set(timerName(identity), endsAt, () => {
			if (this._context.now - endsAt > pauseDetectionMilliseconds) {
				this._send(identity, address);
			} else {
				this.handleResult(identity, false);
			}
		});
	}
}

function timerName(identity: string): string {
	return `vm-probe-${identity}`;
}
