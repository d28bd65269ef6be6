/** Creates the report on service-level burn on the VM that receives the request. */
import {type BurnCopies} from '../common/burn/burn-copies.ts';
import {type BurnLedger} from '../common/burn/burn-ledger.ts';
import {makeBurnReport} from '../common/burn/burn-report.ts';
import {type BurnReport, type ProcessCounts} from '../common/burn/types.ts';
import {type CallEngine} from '../common/calls/types.ts';
import {type FleetEngine} from '../common/fleet/types.ts';
import {type Resource} from '../common/model/resources.ts';
import {type Clock} from '../node/clock.ts';
import {type BurnExchange} from '../node/peers/burn-exchange.ts';

/** Dependencies of the reporter. */
export type BurnReporterParts = {
	readonly identity: string;
	readonly vmName: string;
	readonly callAddress: string;
	readonly clock: Clock;
	readonly fleet: FleetEngine;
	readonly calls: CallEngine;
	readonly ledger: BurnLedger;
	readonly copies: BurnCopies;
};

function resourcesOfKind<Kind extends Resource['kind']>(fleet: FleetEngine, kind: Kind): Array<Extract<Resource, {kind: Kind}>> {
	return fleet.resources().map(({resource}) => resource).filter((resource): resource is Extract<Resource, {kind: Kind}> => resource.kind === kind);
}

/** Supplies this VM's own counts, and merges the counts of all VMs into a report. */
export class BurnReporter {
	private readonly _parts: BurnReporterParts;

	constructor(parts: BurnReporterParts) {
		this._parts = parts;
	}

	/** Counts of this process, by service. */
	ownCounts(): ProcessCounts {
		const {identity, vmName, clock, ledger, calls} = this._parts;
		const now = clock.now();
		const measuringSpent = new Map<string, number>();
		for (const server of calls.status(now).backendServers) {
			measuringSpent.set(server.service, (measuringSpent.get(server.service) ?? 0) + server.measuringSpent);
		}

		return {
			identity, vm: vmName, ageMilliseconds: 0, services: ledger.buckets(now, measuringSpent),
		};
	}

	/** Peer addresses of all other members that are not dead. */
	peerAddresses(): string[] {
		const {fleet, clock, identity} = this._parts;
		return fleet.status(clock.now()).members
			.filter(member => member.identity !== identity && member.state !== 'dead')
			.map(member => member.peerAddress);
	}

	async report(exchange: BurnExchange): Promise<BurnReport> {
		const gathered = await exchange.gather();
		return makeBurnReport({
			services: resourcesOfKind(this._parts.fleet, 'service'),
			backendServers: resourcesOfKind(this._parts.fleet, 'backend-server'),
			reported: [this.ownCounts(), ...gathered.reported],
			copies: gathered.copies,
			vmsCounted: [this._parts.callAddress, ...this._callAddresses(gathered.answered)],
			vmsMissing: this._callAddresses(gathered.silent),
		});
	}

	/** Converts peer addresses to the addresses of the callers' listeners, by which operators identify VMs. */
	private _callAddresses(peerAddresses: readonly string[]): string[] {
		const {members} = this._parts.fleet.status(this._parts.clock.now());
		return peerAddresses.map(address => members.find(member => member.peerAddress === address)?.callAddress ?? address);
	}
}
