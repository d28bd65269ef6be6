/** Reports of this VM's demand to the fleet while a service is short of capacity. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type ServiceState} from '../service-state.ts';
import {type CallEffect} from '../types.ts';

/** Five reports a second at most: the figures cover a second, and each report is a datagram. */
const reportMilliseconds: Milliseconds = 200;

export class DemandReports {
	private readonly _isEnabled: boolean;
	private readonly _shortServices = new Set<ServiceState>();
	private _reportedAt: Instant = Number.NEGATIVE_INFINITY;

	/** `isEnabled` = whether anything sends the reports to other VMs. */
	constructor(isEnabled: boolean) {
		this._isEnabled = isEnabled;
	}

	/** Includes the service in the reports until it is no longer short of capacity. */
	include(service: ServiceState): void {
		if (this._isEnabled) {
			this._shortServices.add(service);
		}
	}

	/** The report that is due, with all services that are short; empty if none is. */
	takeDue(now: Instant): CallEffect[] {
		if (this._shortServices.size === 0 || now - this._reportedAt < reportMilliseconds) {
			return [];
		}

		for (const service of this._shortServices) {
			if (!service.overload.isShort(now) && !service.overload.hasSummary(now)) {
				this._shortServices.delete(service);
			}
		}

		if (this._shortServices.size === 0) {
			return [];
		}

		this._reportedAt = now;
		return [{
			type: 'demand-report',
			services: Array.from(this._shortServices, ({declared: {name}, overload}) => ({service: name, isShort: overload.isShort(now), ...overload.report(now)})),
		}];
	}
}
