/** The report on service-level burn, made on the VM that is asked. */
import {type BurnCopies} from '../common/burn/burn-copies.ts';
import {type BurnLedger} from '../common/burn/burn-ledger.ts';
import {makeBurnReport} from '../common/burn/burn-report.ts';
import {type BurnReport, type ProcessCounts} from '../common/burn/types.ts';
import {type CallEngine} from '../common/calls/types.ts';
import {type FleetEngine} from '../common/fleet/types.ts';
import {type Resource} from '../common/model/resources.ts';
import {type Clock} from '../node/clock.ts';
import {type BurnExchange} from '../node/peers/burn-exchange.ts';

/** What the reporter works with. */
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

function ofKind<Kind extends Resource['kind']>(fleet: FleetEngine, kind: Kind): Array<Extract<Resource, {kind: Kind}>> {
	return fleet.resources().map(({resource}) => resource).filter((resource): resource is Extract<Resource, {kind: Kind}> => resource.kind === kind);
}

/** Tells this VM's own counts, and merges those of all. */
export class BurnReporter {
	private readonly _parts: BurnReporterParts;

	constructor(parts: BurnReporterParts) {
		this._parts = parts;
	}

	/** What this process has counted. */
	own(): ProcessCounts {
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

	/** Addresses of the other VMs that serve. */
	peers(): string[] {
		const {fleet, clock, identity} = this._parts;
		return fleet.status(clock.now()).members
			.filter(member => member.identity !== identity && member.state !== 'dead')
			.map(member => member.peerAddress);
	}

	async report(exchange: BurnExchange): Promise<BurnReport> {
		const gathered = await exchange.gather();
		return makeBurnReport({
			services: ofKind(this._parts.fleet, 'service'),
			backendServers: ofKind(this._parts.fleet, 'backend-server'),
			told: [this.own(), ...gathered.told],
			copies: gathered.copies,
			vmsCounted: [this._parts.callAddress, ...this._callAddresses(gathered.answered)],
			vmsMissing: this._callAddresses(gathered.silent),
		});
	}

	/** Operators know VMs by the address of their callers' listener. */
	private _callAddresses(peerAddresses: readonly string[]): string[] {
		const {members} = this._parts.fleet.status(this._parts.clock.now());
		return peerAddresses.map(address => members.find(member => member.peerAddress === address)?.callAddress ?? address);
	}
}
