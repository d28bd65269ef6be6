/** This VM's part of what all VMs share, by the VMs that are known to serve. */
import {type RegistryContext} from './registry-context.ts';
import {type VmDirectory} from './vm-directory.ts';

/**
 * Connections to a backend server that this VM may hold, as a multiple of an even part: callers spread unevenly over
 * VMs, and a VM that has gone leaves its part unused.
 */
const connectionSlack = 2;

export class FleetSharesSource {
	private readonly _context: RegistryContext;
	private readonly _vms: VmDirectory;
	/** What the shares were last worked out from. */
	private _basis = '';

	constructor(context: RegistryContext, vms: VmDirectory) {
		this._context = context;
		this._vms = vms;
	}

	/** The VMs may be others, or this one may have begun or ceased to serve. */
	review(isServing: boolean): void {
		const basis = `${this._vms.generation} ${isServing}`;
		if (basis === this._basis) {
			return;
		}

		this._basis = basis;
		const vmCount = this._vms.size + 1;
		this._context.emit({
			type: 'shares',
			shares: {
				measuringPart: 0,
				measuringFrom: 0,
				measuringUntil: 0,
				connectionPart: Math.min(1, connectionSlack / vmCount),
				vmCount,
				members: this._vms.members(isServing),
			},
		});
	}
}
