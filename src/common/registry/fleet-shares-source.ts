/** Computes this VM's share of fleet-wide limits from the VMs known to serve. */
import {type RegistryContext} from './registry-context.ts';
import {type VmDirectory} from './vm-directory.ts';

/**
 * Connections to a backend server that this VM may open, as a multiple of an even share: callers are spread unevenly
 * over VMs, and the share of a VM that has left is unused.
 */
const connectionSlack = 2;

export class FleetSharesSource {
	private readonly _context: RegistryContext;
	private readonly _vms: VmDirectory;
	/** Inputs of the last computed shares. */
	private _lastInputs = '';

	constructor(context: RegistryContext, vms: VmDirectory) {
		this._context = context;
		this._vms = vms;
	}

	/** Computes the shares again if the VMs have changed, or this VM has started or stopped serving. */
	update(isServing: boolean): void {
		const inputs = `${this._vms.generation} ${isServing}`;
		if (inputs === this._lastInputs) {
			return;
		}

		this._lastInputs = inputs;
		const vmCount = this._vms.size + 1;
		this._context.emit({
			type: 'shares',
			shares: {
				loadProbeFraction: 0,
				loadProbesFrom: 0,
				loadProbesUntil: 0,
				connectionFraction: Math.min(1, connectionSlack / vmCount),
				vmCount,
				members: this._vms.members(isServing),
				relays: this._vms.relays(),
			},
		});
	}
}
