/** The VMs that callers may use, and the answer to which of them. */
import {type FleetMembers} from '../calls/types.ts';
import {type AddressAnswer, type PeerAddress} from '../fleet/types.ts';
import {type RandomSource} from '../model/units.ts';
import {describeFailure} from '../errors/failure.ts';
import {type Revision, type StoreEntry} from '../platform/types.ts';
import {type LapseOutcome, LapsedVms} from './lapsed-vms.ts';
import {type RegistryContext} from './registry-context.ts';
import {type RegistryListener} from './server-registry.ts';
import {type DocumentReader, type VmEntry} from './types.ts';
import {type VmProber} from './vm-prober.ts';

/** Most addresses in one answer: a caller uses a few, and each costs bytes at every caller. */
const mostAddresses = 64;

/** A data centre keeps its callers while it has this part of an even share of the VMs. */
const leastEvenPart = 0.5;

/** VMs of a data centre that are turned to after its readers: of the first ones some may have gone together with these. */
const standbys = 3;

/** VMs of a data centre that one reader publishes to and registers: a line to each after each look at the store. */
const followersAReader = 64;

/** A VM as it stands in the store. */
type KnownVm = {
	readonly key: string;
	readonly entry: VmEntry;
	readonly revision: Revision;
	/** Since when it has stood there, as a revision. */
	readonly createdAt: Revision;
};

/** What follows from the VMs that are known for who reads the store. */
export type VmRanks = {
	/** This VM reads for its data centre. */
	readonly isReader: boolean;
	/** This VM is the first to read when a reader falls silent. */
	readonly isStandby: boolean;
	/** VMs to follow, best first. */
	readonly sources: readonly PeerAddress[];
	/** VMs of the own data centre that are to rely on this one, and not the other way round. */
	readonly juniors: ReadonlySet<PeerAddress>;
};

/** What a directory is made of. */
export type VmDirectoryParts = {
	readonly random: RandomSource;
	readonly prober: VmProber;
	readonly listener: Pick<RegistryListener, 'onGone' | 'isReading'> & {
		/** Other VMs have their entries kept here. */
		hasMembers(): boolean;
	};
};

export class VmDirectory {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentReader;
	private readonly _random: RandomSource;
	private readonly _entries = new Map<string, KnownVm>();
	private _ranks: VmRanks | undefined;
	private _generation = 0;
	/** The VMs known to serve, one an address; undefined = not worked out since the last change. */
	private _latest: readonly KnownVm[] | undefined;
	private _ownCreatedAt: Revision | undefined;
	/** The same of the last time that it stood there. */
	private _ownLastCreatedAt: Revision | undefined;
	private readonly _lapsed: LapsedVms;
	private readonly _onGone: (key: string) => void;

	constructor(context: RegistryContext, documents: DocumentReader, {random, prober, listener}: VmDirectoryParts) {
		this._context = context;
		this._documents = documents;
		this._random = random;
		this._onGone = listener.onGone;
		this._lapsed = new LapsedVms(context, prober, {
			isReading: listener.isReading,
			isProbing: () => this.ranks.isReader || this.ranks.isStandby || listener.hasMembers(),
			onLost: (key, outcome) => {
				this._drop(key, outcome);
			},
		});
	}

	/** Where callers reach the VMs known to serve, this one not counted. */
	callAddresses(): string[] {
		return this._living().map(({entry}) => entry.callAddress);
	}

	/** Names of the VMs known to serve by data centre, with this one while it serves. An address outlives a restart. */
	members(isServing: boolean): FleetMembers {
		const {own} = this._context.settings;
		const byDataCentre = new Map<string, string[]>();
		for (const {callAddress, dataCentre} of [...this._living().map(({entry}) => entry), ...(isServing ? [own] : [])]) {
			const names = byDataCentre.get(dataCentre) ?? [];
			names.push(callAddress);
			byDataCentre.set(dataCentre, names);
		}

		return {own: own.callAddress, byDataCentre};
	}

	/** Changes with each change of the VMs known to serve. */
	get generation(): number {
		return this._generation;
	}

	/** VMs known to serve, this one not counted. */
	get size(): number {
		return this._living().length;
	}

	/**
	 * Who reads the store: of each data centre the VMs with the widest links, the longest-standing first. They have the
	 * room to tell the others, and those that have stood longest are the likeliest to stay.
	 */
	get ranks(): VmRanks {
		this._ranks ??= this._rank();
		return this._ranks;
	}

	/** The own entry has stood in the store since this revision; undefined = it does not. */
	setOwn(createdAt: Revision | undefined): void {
		if (this._ownCreatedAt !== createdAt) {
			this._ownCreatedAt = createdAt;
			this._ownLastCreatedAt = createdAt ?? this._ownLastCreatedAt;
			this._ranks = undefined;
		}
	}

	/** Takes an entry in; true = it says something new. */
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
			this._context.log('warn', 'the entry of a VM cannot be read; callers are not sent there', {key, failure: describeFailure(read.error)});
			this._entries.delete(key);
			this._forgetOrder();
			return true;
		}

		if (!this._entries.has(key)) {
			this._context.log('info', 'VM joined', {member: key, address: read.value.callAddress});
		}

		this._entries.set(key, {
			key, entry: read.value, revision, createdAt,
		});
		this._forgetOrder();
		return true;
	}

	/** An entry has disappeared; `isCertain` = whoever says so has already found its owner lost. */
	remove(key: string, isCertain = false): void {
		const known = this._entries.get(key);
		if (known === undefined) {
			return;
		}

		if (isCertain) {
			this._drop(key, 'told');
		} else if (this._isSuperseded(known)) {
			this._drop(key, 'superseded');
		} else {
			this._lapsed.hold(key, key.slice(this._context.settings.layout.vmPrefix.length), known.entry.peerAddress);
		}
	}

	retain(keys: ReadonlySet<string>, isCertain = false): void {
		for (const key of this._entries.keys()) {
			if (!keys.has(key)) {
				this.remove(key, isCertain);
			}
		}
	}

	/**
	 * VMs near the caller, while enough of them are left. Guards a data centre that has lost most of its VMs: its
	 * callers would all come to the few that are left.
	 */
	answer(service: string, ownEntry: VmEntry | undefined, dataCentre: string | undefined): AddressAnswer {
		const all = [...this._living().map(vm => vm.entry), ...(ownEntry === undefined ? [] : [ownEntry])];
		const near = all.filter(entry => entry.dataCentre === dataCentre);
		const dataCentres = new Set(all.map(entry => entry.dataCentre)).size;
		const isEnough = near.length > 0 && near.length >= leastEvenPart * all.length / Math.max(1, dataCentres);
		const chosen = this._sample(isEnough ? near : all);
		return {
			service,
			addresses: chosen.map(entry => ({address: entry.callAddress, dataCentre: entry.dataCentre, weight: 1})),
			keepForMilliseconds: this._context.settings.answerKeepMilliseconds,
		};
	}

	private _sample(entries: VmEntry[]): VmEntry[] {
		if (entries.length <= mostAddresses) {
			return entries;
		}

		const start = Math.floor(this._random.next() * entries.length);
		return [...entries.slice(start), ...entries.slice(0, start)].slice(0, mostAddresses);
	}

	/**
	 * Of several entries with one address the latest: a process that was killed leaves its entry until the lease ends,
	 * while its successor stands there already. Counted twice, its VM would get twice its callers.
	 */
	private _living(): readonly KnownVm[] {
		if (this._latest === undefined) {
			const latest = new Map<string, KnownVm>();
			for (const vm of this._entries.values()) {
				const other = latest.get(vm.entry.callAddress);
				if (vm.entry.callAddress !== this._context.settings.own.callAddress && (other === undefined || other.revision < vm.revision)) {
					latest.set(vm.entry.callAddress, vm);
				}
			}

			this._latest = [...latest.values()];
		}

		return this._latest;
	}

	/** The VMs are others: what follows from them is worked out when it is asked for. */
	private _forgetOrder(): void {
		this._latest = undefined;
		this._ranks = undefined;
		this._generation++;
	}

	private _rank(): VmRanks {
		const {own} = this._context.settings;
		const near = this._living().filter(({entry}) => entry.dataCentre === own.dataCentre);
		const juniors = this._juniorsAmong(near);
		if (this._ownCreatedAt !== undefined) {
			near.push(this._ownSince(this._ownCreatedAt));
		}

		near.sort(byRank);
		const readers = Math.ceil(near.length / followersAReader);
		const place = near.findIndex(({key}) => key === this._ownKey);
		const local = near.slice(0, readers + standbys);
		const turn = place === -1 ? 0 : place % Math.max(1, readers);
		const sources = [...local.slice(turn, readers), ...local.slice(0, turn), ...local.slice(readers), ...this._firstOfOthers()];
		return {
			isReader: place !== -1 && place < readers,
			isStandby: place === readers,
			sources: sources.filter(({key}) => key !== this._ownKey).map(({entry}) => entry.peerAddress),
			juniors,
		};
	}

	/** A VM whose entry has lapsed keeps its rank: the entries of two that rely on each other lapse together. */
	private _juniorsAmong(near: readonly KnownVm[]): ReadonlySet<PeerAddress> {
		if (this._ownLastCreatedAt === undefined) {
			return new Set();
		}

		const own = this._ownSince(this._ownLastCreatedAt);
		return new Set(near.filter(vm => byRank(own, vm) < 0).map(({entry}) => entry.peerAddress));
	}

	private _ownSince(createdAt: Revision): KnownVm {
		return {
			key: this._ownKey, entry: this._context.settings.own, revision: createdAt, createdAt,
		};
	}

	/** The first of each other data centre, in order. */
	private _firstOfOthers(): KnownVm[] {
		const first = new Map<string, KnownVm>();
		for (const vm of this._living()) {
			const {dataCentre} = vm.entry;
			const other = first.get(dataCentre);
			if (dataCentre !== this._context.settings.own.dataCentre && (other === undefined || byRank(vm, other) < 0)) {
				first.set(dataCentre, vm);
			}
		}

		return [...first.values()].toSorted(byRank);
	}

	/** A later process has registered at its address: it is not named any more, and needs no probe. */
	private _isSuperseded(known: KnownVm): boolean {
		return !this._living().includes(known);
	}

	private _drop(key: string, cause: LapseOutcome | 'told' | 'superseded'): void {
		this._lapsed.release(key);
		if (this._entries.delete(key)) {
			this._forgetOrder();
			this._onGone(key);
			this._context.log('info', 'VM gone', {member: key, cause});
		}
	}

	private get _ownKey(): string {
		return this._context.settings.layout.vmPrefix + this._context.settings.identity;
	}
}

/** Widest link first, then the longest-standing. */
function byRank(one: KnownVm, other: KnownVm): number {
	return other.entry.linkMegabits - one.entry.linkMegabits || one.createdAt - other.createdAt || (one.key < other.key ? -1 : 1);
}
