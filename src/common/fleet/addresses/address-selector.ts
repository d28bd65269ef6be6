/**
 * Selects the VMs that a caller should use for a service. The selection determines which VMs serve which services: at the
 * target size each VM serves only some services, and so needs the state of their backend servers only.
 */
import {type RandomSource} from '../../model/units.ts';
import {type MemberRecord} from '../peer-messages.ts';
import {
	type AddressAnswer, type AddressChoice, type FleetSettings, type HashFunction,
} from '../types.ts';

/** A VM that may be returned to callers, with its latest record. */
export type AddressCandidate = {readonly record: Pick<MemberRecord, 'identity' | 'callAddress' | 'dataCentre' | 'utilisation'>};

/** All VMs that may be returned to callers. */
export type AddressCandidates = {
	/** Changes whenever the list of VMs changes; subsets are cached until then. */
	readonly revision: number;
	readonly vms: readonly AddressCandidate[];
};

type Subset = {readonly revision: number; readonly size: number; readonly vms: readonly AddressCandidate[]};

/** Maximum number of cached subsets. Exceeds the number of services at the target size; a limit is needed because callers may request services that do not exist. */
const maxSubsets = 2000;

/** Maximum number of VMs in one answer: enough to survive the loss of a data centre, few enough for a caller to keep connections to all. */
const maxAddresses = 8;

/** Weight of a fully utilised VM relative to an idle one. It is above 0 because utilisation is out of date by the time callers act on it, and all callers react alike. */
const minWeight = 0.25;

/** Utilisation of the caller's data centre above which other data centres receive more of its callers; at 1 all data centres are weighted equally. */
const overflowUtilisation = 0.8;

/** Weight factor of VMs in other data centres while the caller's own has spare capacity: enough to keep connections to them open. */
const remoteWeight = 0.05;

/** Calls in flight of one service per VM, above which the subset grows. */
const maxCallsInFlightPerVm = 200;

/** Factor by which the subset exceeds what its load needs, so that enough VMs remain after the loss of one of three data centres. */
const spareCapacityFactor = 1.5;

/** Random spread of the answers' time to live, so that callers that started together do not query again together. */
const ttlSpread = 0.2;

export class AddressSelector {
	private readonly _hash: HashFunction;
	private readonly _subsets = new Map<string, Subset>();

	constructor(private readonly _settings: FleetSettings, private readonly _random: RandomSource, hash: HashFunction) {
		this._hash = hash;
	}

	/** @param callsInFlight estimated calls in flight of the service in the whole fleet */
	answer(service: string, candidates: AddressCandidates, callsInFlight: number, dataCentre: string | undefined): AddressAnswer {
		const subset = this._subset(service, candidates, callsInFlight);
		const remoteFactor = this._remoteFactor(subset, dataCentre);
		const weighted = subset.map(({record}) => ({
			address: record.callAddress,
			dataCentre: record.dataCentre,
			weight: (1 - ((1 - minWeight) * record.utilisation)) * (dataCentre === undefined || record.dataCentre === dataCentre ? 1 : remoteFactor),
		}));
		return {
			service,
			addresses: this._sample(weighted),
			keepForMilliseconds: Math.round(this._settings.addressTtlMilliseconds * (1 - (ttlSpread * this._random.next()))),
		};
	}

	/**
	 * Chooses the service's VMs by rendezvous hashing: all VMs choose the same subset without communication, and adding or
	 * removing a VM changes only its own place. The size grows with the service's load from the configured minimum.
	 */
	private _subset(service: string, {revision, vms}: AddressCandidates, callsInFlight: number): readonly AddressCandidate[] {
		const size = Math.max(this._settings.minSubsetSize, Math.ceil(callsInFlight * spareCapacityFactor / maxCallsInFlightPerVm));
		if (vms.length <= size) {
			return vms;
		}

		const cached = this._subsets.get(service);
		if (cached?.revision === revision && cached.size === size) {
			return cached.vms;
		}

		const chosen = vms
			.map(vm => ({vm, rank: this._hash(`${service} ${vm.record.identity}`)}))
			.toSorted((a, b) => b.rank - a.rank)
			.slice(0, size)
			.map(({vm}) => vm);
		if (this._subsets.size >= maxSubsets) {
			this._subsets.clear();
		}

		this._subsets.set(service, {revision, size, vms: chosen});
		return chosen;
	}

	/** Weight factor of other data centres. It rises gradually, so that a data centre's callers do not all switch at the same load. */
	private _remoteFactor(subset: readonly AddressCandidate[], dataCentre: string | undefined): number {
		const local = subset.filter(({record}) => record.dataCentre === dataCentre);
		if (local.length === 0) {
			return 1;
		}

		const utilisation = local.reduce((sum, {record}) => sum + record.utilisation, 0) / local.length;
		const overflow = Math.min(1, Math.max(0, (utilisation - overflowUtilisation) / (1 - overflowUtilisation)));
		return remoteWeight + ((1 - remoteWeight) * overflow);
	}

	/** Weighted random order (Efraimidis and Spirakis 2006), so that callers that use only the first address are spread as well. */
	private _sample(choices: readonly AddressChoice[]): AddressChoice[] {
		return choices
			.map(choice => ({choice, key: this._random.next() ** (1 / choice.weight)}))
			.toSorted((a, b) => b.key - a.key)
			.slice(0, maxAddresses)
			.map(({choice}) => choice);
	}
}
