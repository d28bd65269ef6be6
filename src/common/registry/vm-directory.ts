/** The VMs that callers may use, and the selection of those that a caller receives. */
import {type FleetMembers} from '../calls/types.ts';
import {type AddressAnswer, type PeerAddress} from '../fleet/types.ts';
import {type Relay} from '../links/types.ts';
import {type RandomSource} from '../model/units.ts';
import {describeFailure} from '../errors/failure.ts';
import {type StoreEntry} from '../platform/types.ts';
import {isLater, type StorePosition} from '../platform/store-position.ts';
import {type LapseOutcome, LapsedVms} from './lapsed-vms.ts';
import {type RegistryContext} from './registry-context.ts';
import {type ClaimRank} from './limit-claim-delay.ts';
import {type RemovalCertainty} from './removal-grace-period.ts';
import {type RegistryListener} from './server-registry.ts';
import {type DocumentCodec, type VmEntry} from './types.ts';
import {type VmProber} from './vm-prober.ts';

/** Most addresses in one answer: a caller uses only a few, and each costs bytes at every caller. */
const maxAddresses = 64;

/** Callers stay in their data centre while it has at least this fraction of an even share of the VMs. */
const minEvenShareFraction = 0.5;

/**
 * VMs of a data centre that are tried as sources after its readers, in case the first of them were lost together with
 * the readers.
 */
const standbyCount = 3;

/**
 * VMs of a data centre for each reader, which publishes to them and registers them: it sends one frame to each after
 * each store read.
 */
const vmsPerReader = 64;

/** A VM in the store. */
type KnownVm = {
	readonly key: string;
	readonly entry: VmEntry;
	readonly revision: StorePosition;
	/** Position at which the entry was created. */
	readonly createdAt: StorePosition;
};

/** Roles that follow from the rank order of the VMs in a data centre. */
export type VmRanks = {
	/** This VM reads the store for its data centre. */
	readonly isReader: boolean;
	/** This VM is the first to read the store if a reader falls silent. */
	readonly isStandby: boolean;
	/** VMs whose feed to follow, in order of preference. */
	readonly sources: readonly PeerAddress[];
	/** VMs of the same data centre that rank after this one: they may follow this VM, but not vice versa. */
	readonly lowerRanked: ReadonlySet<PeerAddress>;
};

/** Dependencies of the directory. */
export type VmDirectoryOptions = {
	readonly random: RandomSource;
	readonly prober: VmProber;
	readonly listener: Pick<RegistryListener, 'onRemoved' | 'isReading'> & {
		/** Whether other VMs are registered here. */
		hasMembers(): boolean;
	};
};

export class VmDirectory {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentCodec;
	private readonly _random: RandomSource;
	private readonly _entries = new Map<string, KnownVm>();
	private _ranks: VmRanks | undefined;
	private _generation = 0;
	/** VMs known to serve, one per call address; undefined = to be computed again. */
	private _namedVms: readonly KnownVm[] | undefined;
	private _ownCreatedAt: StorePosition | undefined;
	/** The last defined value of `_ownCreatedAt`. */
	private _lastOwnCreatedAt: StorePosition | undefined;
	private readonly _lapsed: LapsedVms;
	private readonly _onRemoved: (key: string) => void;

	constructor(context: RegistryContext, documents: DocumentCodec, {random, prober, listener}: VmDirectoryOptions) {
		this._context = context;
		this._documents = documents;
		this._random = random;
		this._onRemoved = listener.onRemoved;
		this._lapsed = new LapsedVms(context, prober, {
			isReading: listener.isReading,
			mustProbeAll: () => this.ranks.isReader || this.ranks.isStandby || listener.hasMembers(),
			onLost: (key, outcome) => {
				this._drop(key, outcome);
			},
		});
	}

	/** Call addresses of the VMs known to serve, without this one. */
	callAddresses(): string[] {
		return this._named().map(({entry}) => entry.callAddress);
	}

	/** Peer addresses of the VMs known to serve, without this one. */
	peerAddresses(): string[] {
		return this._named().map(({entry}) => entry.peerAddress);
	}

	/** The VMs known to serve, without this one, as relays of connections to backend servers. */
	relays(): Relay[] {
		return this._named().map(({entry: {peerAddress, dataCentre}}) => ({address: peerAddress, dataCentre}));
	}

	/**
	 * Names of the VMs known to serve by data centre, including this VM while it serves. The name is the call address,
	 * which a restart does not change.
	 */
	members(isServing: boolean): FleetMembers {
		const {own} = this._context.settings;
		const byDataCentre = new Map<string, string[]>();
		for (const {callAddress, dataCentre} of [...this._named().map(({entry}) => entry), ...(isServing ? [own] : [])]) {
			const names = byDataCentre.get(dataCentre) ?? [];
			names.push(callAddress);
			byDataCentre.set(dataCentre, names);
		}

		return {own: own.callAddress, byDataCentre};
	}

	/** Increases whenever the VMs known to serve change. */
	get generation(): number {
		return this._generation;
	}

	/** Number of VMs known to serve, without this one. */
	get size(): number {
		return this._named().length;
	}

	/**
	 * Determines which VMs read the store: those of each data centre with the fastest links, the oldest entries first.
	 * They have the bandwidth to publish to the others, and the oldest are the most likely to stay.
	 */
	get ranks(): VmRanks {
		this._ranks ??= this._rank();
		return this._ranks;
	}

	/** This VM's rank among the VMs that may claim a slot of the rate limits; not cached. */
	claimRank(): ClaimRank {
		const {own} = this._context.settings;
		const named = this._named();
		const near = named.filter(({entry}) => entry.dataCentre === own.dataCentre);
		const ownVm = this._ownVm(this._ownCreatedAt ?? Number.POSITIVE_INFINITY);
		return {
			place: near.filter(vm => byRank(vm, ownVm) < 0).length,
			size: near.length + 1,
			vmCount: named.length + 1,
			dataCentres: [...new Set([own.dataCentre, ...named.map(({entry}) => entry.dataCentre)])].toSorted(),
		};
	}

	/** Sets the revision at which this VM's own entry was created; undefined = it is not in the store. */
	setOwn(createdAt: StorePosition | undefined): void {
		if (this._ownCreatedAt !== createdAt) {
			this._ownCreatedAt = createdAt;
			this._lastOwnCreatedAt = createdAt ?? this._lastOwnCreatedAt;
			this._ranks = undefined;
		}
	}

	/** Stores an entry; true = it differs from the known one. */
	put({key, value, revision, createdAt = revision}: StoreEntry): boolean {
		if (key === this._ownKey) {
			return false;
		}

		this._lapsed.release(key);
		if (this._entries.get(key)?.revision === revision) {
			return false;
		}

		const read = this._documents.vm(value);
		if (read.isErr()) {
			this._context.log('warn', 'VM entry is invalid; callers are not sent to this VM', {key, failure: describeFailure(read.error)});
			this._entries.delete(key);
			this._invalidate();
			return true;
		}

		if (!this._entries.has(key)) {
			this._context.log('info', 'VM joined', {member: key, address: read.value.callAddress});
		}

		this._entries.set(key, {
			key, entry: read.value, revision, createdAt,
		});
		this._invalidate();
		return true;
	}

	has(key: string): boolean {
		return this._entries.has(key);
	}

	/**
	 * Handles the removal of an entry. `certain` = the sender has already found its VM lost; `restored` = the entry is
	 * missing from a store that was restored from a backup.
	 */
	remove(key: string, certainty: RemovalCertainty = 'uncertain'): void {
		const known = this._entries.get(key);
		if (known === undefined) {
			return;
		}

		if (certainty === 'certain') {
			this._drop(key, 'told');
		} else if (this._hasSuccessor(known)) {
			this._drop(key, 'superseded');
		} else {
			this._lapsed.hold(key, key.slice(this._context.settings.layout.vmPrefix.length), known.entry.peerAddress, certainty === 'restored');
		}
	}

	retain(keys: ReadonlySet<string>, certainty: RemovalCertainty): void {
		for (const key of this._entries.keys()) {
			if (!keys.has(key)) {
				this.remove(key, certainty);
			}
		}
	}

	/**
	 * Returns the VMs of the caller's data centre, or all VMs if too few serve there: in a data centre that has lost
	 * most of its VMs, the few that are left would receive all of its callers.
	 */
	answer(service: string, ownEntry: VmEntry | undefined, dataCentre: string | undefined): AddressAnswer {
		const all = [...this._named().map(vm => vm.entry), ...(ownEntry === undefined ? [] : [ownEntry])];
		const near = all.filter(entry => entry.dataCentre === dataCentre);
		const dataCentres = new Set(all.map(entry => entry.dataCentre)).size;
		const isEnough = near.length > 0 && near.length >= minEvenShareFraction * all.length / Math.max(1, dataCentres);
		const chosen = this._sample(isEnough ? near : all);
		return {
			service,
			addresses: chosen.map(entry => ({address: entry.callAddress, dataCentre: entry.dataCentre, weight: 1})),
			keepForMilliseconds: this._context.settings.addressTtlMilliseconds,
		};
	}

	private _sample(entries: VmEntry[]): VmEntry[] {
		if (entries.length <= maxAddresses) {
			return entries;
		}

		const start = Math.floor(this._random.next() * entries.length);
		return [...entries.slice(start), ...entries.slice(0, start)].slice(0, maxAddresses);
	}

	/**
	 * The latest entry of each call address: the entry of a killed process remains until its lease ends, while its
	 * successor is already registered. Counted twice, the VM would receive twice its share of callers.
	 */
	private _named(): readonly KnownVm[] {
		if (this._namedVms === undefined) {
			const latest = new Map<string, KnownVm>();
			for (const vm of this._entries.values()) {
				const other = latest.get(vm.entry.callAddress);
				if (vm.entry.callAddress !== this._context.settings.own.callAddress && (other === undefined || isLater(vm.createdAt, other.createdAt))) {
					latest.set(vm.entry.callAddress, vm);
				}
			}

			this._namedVms = [...latest.values()];
		}

		return this._namedVms;
	}

	/** Discards the results computed from the entries; they are computed again on the next access. */
	private _invalidate(): void {
		this._namedVms = undefined;
		this._ranks = undefined;
		this._generation++;
	}

	private _rank(): VmRanks {
		const {own} = this._context.settings;
		const near = this._named().filter(({entry}) => entry.dataCentre === own.dataCentre);
		const lowerRanked = this._lowerRankedAmong(near);
		if (this._ownCreatedAt !== undefined) {
			near.push(this._ownVm(this._ownCreatedAt));
		}

		near.sort(byRank);
		const readers = Math.ceil(near.length / vmsPerReader);
		const place = near.findIndex(({key}) => key === this._ownKey);
		const local = near.slice(0, readers + standbyCount);
		const rotation = place === -1 ? 0 : place % Math.max(1, readers);
		const sources = [...local.slice(rotation, readers), ...local.slice(0, rotation), ...local.slice(readers), ...this._firstOfOtherDataCentres()];
		return {
			isReader: place !== -1 && place < readers,
			isStandby: place === readers,
			sources: sources.filter(({key}) => key !== this._ownKey).map(({entry}) => entry.peerAddress),
			lowerRanked,
		};
	}

	/**
	 * A VM whose entry has lapsed keeps its rank here, since the entries of two VMs that follow each other lapse
	 * together.
	 */
	private _lowerRankedAmong(near: readonly KnownVm[]): ReadonlySet<PeerAddress> {
		if (this._lastOwnCreatedAt === undefined) {
			return new Set();
		}

		const own = this._ownVm(this._lastOwnCreatedAt);
		return new Set(near.filter(vm => byRank(own, vm) < 0).map(({entry}) => entry.peerAddress));
	}

	private _ownVm(createdAt: StorePosition): KnownVm {
		return {
			key: this._ownKey, entry: this._context.settings.own, revision: createdAt, createdAt,
		};
	}

	/** The best-ranked VM of each other data centre, in order of rank. */
	private _firstOfOtherDataCentres(): KnownVm[] {
		const first = new Map<string, KnownVm>();
		for (const vm of this._named()) {
			const {dataCentre} = vm.entry;
			const other = first.get(dataCentre);
			if (dataCentre !== this._context.settings.own.dataCentre && (other === undefined || byRank(vm, other) < 0)) {
				first.set(dataCentre, vm);
			}
		}

		return [...first.values()].toSorted(byRank);
	}

	/**
	 * Whether a later process has registered with the same call address. The entry is then no longer used and needs no
	 * probe.
	 */
	private _hasSuccessor(known: KnownVm): boolean {
		return !this._named().includes(known);
	}

	private _drop(key: string, cause: LapseOutcome | 'told' | 'superseded'): void {
		this._lapsed.release(key);
		if (this._entries.delete(key)) {
			this._invalidate();
			this._onRemoved(key);
			this._context.log('info', 'VM gone', {member: key, cause});
		}
	}

	private get _ownKey(): string {
		return this._context.settings.layout.vmPrefix + this._context.settings.identity;
	}
}

/** Fastest link first, then oldest entry. */
function byRank(one: KnownVm, other: KnownVm): number {
	return other.entry.linkMegabits - one.entry.linkMegabits || one.createdAt - other.createdAt || (one.key < other.key ? -1 : 1);
}
