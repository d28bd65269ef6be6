/**
 * The answer to "which addresses": which VMs a caller should use for a service. It is the lever that decides
 * which VMs carry which services: at the target size each carries only some, and so knows only their servers.
 */
import {type RandomSource} from '../../model/units.ts';
import {type MemberRecord} from '../peer-messages.ts';
import {
	type AddressAnswer, type AddressChoice, type FleetSettings, type HashFunction,
} from '../types.ts';

/** A VM that may be named, by its latest record. */
export type AddressCandidate = {readonly record: Pick<MemberRecord, 'identity' | 'callAddress' | 'dataCentre' | 'utilisation'>};

/** All that may be named. */
export type AddressCandidates = {
	/** Another number whenever the VMs are others; the subsets are kept until then. */
	readonly revision: number;
	readonly vms: readonly AddressCandidate[];
};

type Subset = {readonly revision: number; readonly size: number; readonly vms: readonly AddressCandidate[]};

/** Subsets kept: more than there are services at the target size; callers may ask for names that no service has. */
const maxSubsets = 2000;

/** VMs in one answer: enough to survive the loss of a data centre, few enough that a caller keeps connections to all. */
const maxAddresses = 8;

/** A full VM still gets this part of the weight of an idle one: loads in answers are old, and all callers act on them. */
const minWeight = 0.25;

/** Utilisation of the caller's own data centre above which others begin to get its callers; at 1 they get all alike. */
const overflowUtilisation = 0.8;

/** Weight of VMs in other data centres while the own one has room: enough to keep connections to them warm. */
const remoteWeight = 0.05;

/** Load of a service that one VM should carry at most, as calls in flight, before the subset grows. */
const maxCallsInFlightPerVm = 200;

/** The subset is this much larger than its load needs, so that losing a data centre of three leaves enough. */
const spareCapacityFactor = 1.5;

/** Answers expire at different times, so that callers who came together do not ask again together. */
const ttlSpread = 0.2;

export class AddressSelector {
	private readonly _hash: HashFunction;
	private readonly _subsets = new Map<string, Subset>();

	constructor(private readonly _settings: FleetSettings, private readonly _random: RandomSource, hash: HashFunction) {
		this._hash = hash;
	}

	/** @param callsInFlight of the service in the whole fleet, an estimate */
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
			keepForMilliseconds: Math.round(this._settings.answerKeepMilliseconds * (1 - (ttlSpread * this._random.next()))),
		};
	}

	/**
	 * Rendezvous hashing: all VMs choose the same subset without a word between them, and one VM more or less
	 * moves only its own part. The size grows with the service's load, never below what the settings ask for.
	 */
	private _subset(service: string, {revision, vms}: AddressCandidates, callsInFlight: number): readonly AddressCandidate[] {
		const size = Math.max(this._settings.smallestSubset, Math.ceil(callsInFlight * spareCapacityFactor / maxCallsInFlightPerVm));
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

	/** Smooth, so that not all callers of a data centre change their mind at the same load. */
	private _remoteFactor(subset: readonly AddressCandidate[], dataCentre: string | undefined): number {
		const local = subset.filter(({record}) => record.dataCentre === dataCentre);
		if (local.length === 0) {
			return 1;
		}

		const utilisation = local.reduce((sum, {record}) => sum + record.utilisation, 0) / local.length;
		const overflow = Math.min(1, Math.max(0, (utilisation - overflowUtilisation) / (1 - overflowUtilisation)));
		return remoteWeight + ((1 - remoteWeight) * overflow);
	}

	/** A random order by weight (Efraimidis and Spirakis 2006): callers that use the first one only still spread. */
	private _sample(choices: readonly AddressChoice[]): AddressChoice[] {
		return choices
			.map(choice => ({choice, key: this._random.next() ** (1 / choice.weight)}))
			.toSorted((a, b) => b.key - a.key)
			.slice(0, maxAddresses)
			.map(({choice}) => choice);
	}
}
