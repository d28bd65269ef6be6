/** The VMs that callers may use, and the answer to which of them. */
import {type AddressAnswer, type PeerAddress} from '../fleet/types.ts';
import {type Milliseconds, type RandomSource} from '../model/units.ts';
import {describeFailure} from '../errors/failure.ts';
import {type Revision, type StoreEntry} from '../platform/types.ts';
import {DoubtfulRemovals} from './doubtful-removals.ts';
import {type RegistryContext} from './registry-context.ts';
import {type RegistryListener} from './server-registry.ts';
import {type DocumentReader, type VmEntry} from './types.ts';

/** Most addresses in one answer: a caller uses a few, and each costs bytes at every caller. */
const mostAddresses = 64;

/** A data centre keeps its callers while it has this part of an even share of the VMs. */
const leastEvenPart = 0.5;

/** VMs that live have written their entries anew this long after the store is back. */
const holdMilliseconds: Milliseconds = 3000;

/** VMs of a data centre that one reader tells its news: after each look, at most 1.25 times a second, 40 lines of 83 bytes. */
const followersAReader = 40;

/** A VM as it stands in the store. */
type KnownVm = {readonly key: string; readonly entry: VmEntry; readonly revision: Revision};

/** What follows from the VMs that are known for who reads the store. */
export type VmRanks = {
	/** This VM reads for its data centre. */
	readonly isReader: boolean;
	/** This VM is the first to read when a reader falls silent. */
	readonly isStandby: boolean;
	/** VMs to take news from, best first. */
	readonly sources: readonly PeerAddress[];
};

export class VmDirectory {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentReader;
	private readonly _random: RandomSource;
	private readonly _entries = new Map<string, KnownVm>();
	private _ranks: VmRanks | undefined;
	private _ownRevision: Revision | undefined;
	private readonly _doubts: DoubtfulRemovals;
	private readonly _onGone: (key: string) => void;

	constructor(context: RegistryContext, documents: DocumentReader, random: RandomSource, {onGone, isReading}: Pick<RegistryListener, 'onGone' | 'isReading'>) {
		this._context = context;
		this._documents = documents;
		this._random = random;
		this._onGone = onGone;
		this._doubts = new DoubtfulRemovals(context, 'vms', keys => {
			for (const key of keys) {
				this._drop(key);
			}
		}, isReading);
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

	/** The own entry stands in the store; undefined = it does not. */
	setOwnRevision(revision: Revision | undefined): void {
		this._ownRevision = revision;
		this._ranks = undefined;
	}

	onRegained(silence: Milliseconds): void {
		if (silence >= this._context.settings.leaseMilliseconds / 2) {
			this._doubts.beginDoubt(holdMilliseconds);
		}
	}

	/** Takes an entry in; true = it says something new. */
	put({key, value, revision}: StoreEntry): boolean {
		if (key === this._ownKey) {
			return false;
		}

		this._doubts.noteThere(key);
		const read = this._documents.vm(value);
		if (read.isErr()) {
			this._context.log('warn', 'the entry of a VM cannot be read; callers are not sent there', {key, failure: describeFailure(read.error)});
			this._entries.delete(key);
			this._ranks = undefined;
			return true;
		}

		if (!this._entries.has(key)) {
			this._context.log('info', 'VM joined', {vm: key, address: read.value.callAddress});
		}

		this._entries.set(key, {key, entry: read.value, revision});
		this._ranks = undefined;
		return true;
	}

	/** An entry has disappeared; `isCertain` = whoever says so has already waited for its owner to come back. */
	remove(key: string, isCertain = false): void {
		if (this._entries.has(key) && (isCertain || !this._doubts.hold(key))) {
			this._drop(key);
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
	private _living(): KnownVm[] {
		const latest = new Map<string, KnownVm>();
		for (const vm of this._entries.values()) {
			const other = latest.get(vm.entry.callAddress);
			if (vm.entry.callAddress !== this._context.settings.own.callAddress && (other === undefined || other.revision < vm.revision)) {
				latest.set(vm.entry.callAddress, vm);
			}
		}

		return [...latest.values()];
	}

	private _rank(): VmRanks {
		const {own} = this._context.settings;
		const ownVm: KnownVm[] = this._ownRevision === undefined ? [] : [{key: this._ownKey, entry: own, revision: this._ownRevision}];
		const ranked = [...this._living(), ...ownVm].toSorted((one, other) =>
			other.entry.linkMegabits - one.entry.linkMegabits || one.revision - other.revision);
		const near = ranked.filter(({entry}) => entry.dataCentre === own.dataCentre);
		const readers = Math.ceil(near.length / followersAReader);
		const place = near.findIndex(({key}) => key === this._ownKey);
		const local = near.slice(0, readers + 1);
		const turn = place === -1 ? 0 : place % Math.max(1, readers);
		const others = [...new Set(ranked.map(({entry}) => entry.dataCentre))].filter(dataCentre => dataCentre !== own.dataCentre)
			.map(dataCentre => ranked.find(({entry}) => entry.dataCentre === dataCentre)!);
		const sources = [...local.slice(turn, readers), ...local.slice(0, turn), ...local.slice(readers), ...others];
		return {
			isReader: place !== -1 && place < readers,
			isStandby: place === readers,
			sources: sources.filter(({key}) => key !== this._ownKey).map(({entry}) => entry.peerAddress),
		};
	}

	private _drop(key: string): void {
		if (this._entries.delete(key)) {
			this._ranks = undefined;
			this._onGone(key);
			this._context.log('info', 'VM gone', {vm: key});
		}
	}

	private get _ownKey(): string {
		return this._context.settings.layout.vmPrefix + this._context.settings.identity;
	}
}
