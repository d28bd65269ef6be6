/** Asks VMs directly whether they serve, before their entries count as gone. */
import {type PeerAddress} from '../fleet/types.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type RegistryContext} from './registry-context.ts';
import {vmProbeTimeoutMilliseconds} from './vm-loss-budget.ts';

/** A timer that fires this late shows that this VM did not run: responses may wait to be read. */
const pausedMilliseconds: Milliseconds = 250;

type Probe = {
	readonly address: PeerAddress;
	readonly waiting: Array<(isServing: boolean) => void>;
};

export class VmProber {
	private readonly _context: RegistryContext;
	private readonly _probes = new Map<string, Probe>();

	constructor(context: RegistryContext) {
		this._context = context;
	}

	/** Asks the process `identity` at `address`; one request serves all that ask meanwhile. No response in time = it does not serve. */
	probe(identity: string, address: PeerAddress, onResult: (isServing: boolean) => void): void {
		const underWay = this._probes.get(identity);
		if (underWay !== undefined) {
			underWay.waiting.push(onResult);
			return;
		}

		this._probes.set(identity, {address, waiting: [onResult]});
		this._send(identity, address);
	}

	/** A response has come, or the connection was refused. */
	takeResult(identity: string, isServing: boolean): void {
		const probe = this._probes.get(identity);
		this._probes.delete(identity);
		this._context.timers.clear(timerName(identity));
		for (const onResult of probe?.waiting ?? []) {
			onResult(isServing);
		}
	}

	private _send(identity: string, address: PeerAddress): void {
		const endsAt: Instant = this._context.now + vmProbeTimeoutMilliseconds;
		this._context.emit({type: 'probe-vm', identity, address});
		this._context.timers.set(timerName(identity), endsAt, () => {
			if (this._context.now - endsAt > pausedMilliseconds) {
				this._send(identity, address);
			} else {
				this.takeResult(identity, false);
			}
		});
	}
}

function timerName(identity: string): string {
	return `vm-probe-${identity}`;
}
